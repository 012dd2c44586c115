#include <indigoway/deployment.h>

namespace indigoway {

namespace {

template <typename Map, typename Key>
const typename Map::mapped_type *findValue(const Map &map, const Key &key)
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

} // namespace

const Target *Deployment::target(const TargetName &name) const
{
    return findValue(targets, name);
}

const Pool *Deployment::pool(const PoolName &name) const
{
    return findValue(pools, name);
}

const Server *Deployment::server(const ServerName &name) const
{
    return findValue(servers, name);
}

const Target *Deployment::serviceFor(const std::string &path) const
{
    const Target *best = nullptr;
    for (const auto &[name, target] : targets) {
        if (!target.isService || target.prefix.empty() || !path.starts_with(target.prefix)) {
            continue;
        }
        if (!best || target.prefix.size() > best->prefix.size()) {
            best = &target;
        }
    }
    return best;
}

std::vector<const Server *> Deployment::serversOf(const TargetName &target, Role role) const
{
    std::vector<const Server *> found;
    for (const auto &[name, server] : servers) {
        const Pool *declaredPool = pool(server.pool);
        if (declaredPool && declaredPool->role == role && declaredPool->target == target) {
            found.push_back(&server);
        }
    }
    return found;
}

std::optional<Role> Deployment::roleOf(const ServerName &server) const
{
    const Server *declared = this->server(server);
    const Pool *declaredPool = declared ? pool(declared->pool) : nullptr;
    if (!declaredPool) {
        return std::nullopt;
    }
    return declaredPool->role;
}

} // namespace indigoway
