#include "nodedirectory.h"

#include "core/jsontext.h"
#include "core/turnrandom.h"

#include <algorithm>
#include <tuple>

namespace indigoway {

std::string encodeNodeEntry(const NodeEntry &entry)
{
    Json::Value value;
    value["name"] = entry.name.text();
    value["domain"] = entry.domain.text();
    value["callers"] = entry.callerAddress;
    value["control"] = entry.controlAddress;
    value["scheduling"] = entry.schedulingAddress;
    if (!entry.relayAddress.empty()) {
        value["relay"] = entry.relayAddress;
    }
    value["frames"] = entry.framesRelayed;
    value["processors"] = entry.cpuShare;
    return jsonText(value);
}

std::optional<NodeEntry> decodeNodeEntry(std::string_view text)
{
    const Json::Value value = parseEntry(std::string(text));
    NodeEntry entry;
    entry.name = NodeName(stringMember(value, "name"));
    entry.domain = DomainName(stringMember(value, "domain"));
    entry.callerAddress = stringMember(value, "callers");
    entry.controlAddress = stringMember(value, "control");
    entry.schedulingAddress = stringMember(value, "scheduling");
    entry.relayAddress = stringMember(value, "relay");
    entry.cpuShare = realMember(value, "processors");
    entry.framesRelayed = value.isObject() && value["frames"].isBool() && value["frames"].asBool();
    if (entry.name.isEmpty() || entry.callerAddress.empty()) {
        return std::nullopt;
    }
    return entry;
}

bool NodeRank::operator<(const NodeRank &other) const
{
    return std::tie(other.cpuShare, name) < std::tie(cpuShare, other.name);
}

NodeDirectory::NodeDirectory(NodeEntry self)
    : m_self(std::move(self))
{ }

void NodeDirectory::announce(const std::string &key, NodeEntry entry)
{
    ++m_changes;
    TrackedNode &tracked = m_nodes[key];
    removeFromDomain(tracked.entry);
    tracked = {std::move(entry), std::nullopt};
    m_domains[tracked.entry.domain][{tracked.entry.cpuShare, tracked.entry.name}] = &tracked.entry;
}

void NodeDirectory::withdraw(const std::string &key, TimePoint now)
{
    const auto it = m_nodes.find(key);
    if (it != m_nodes.end() && !it->second.withdrawnAt) {
        it->second.withdrawnAt = now;
        m_withdrawn.push_back({key, now});
    }
}

void NodeDirectory::purgeWithdrawn(TimePoint now)
{
    while (!m_withdrawn.empty() && now >= m_withdrawn.front().at + RetentionTime) {
        const auto it = m_nodes.find(m_withdrawn.front().key);
        if (it != m_nodes.end() && !isRetained(it->second, now)) {
            removeFromDomain(it->second.entry);
            m_nodes.erase(it);
            ++m_changes;
        }
        m_withdrawn.pop_front();
    }
}

void NodeDirectory::removeFromDomain(const NodeEntry &entry)
{
    const auto domain = m_domains.find(entry.domain);
    if (domain == m_domains.end()) {
        return;
    }
    const auto it = domain->second.find({entry.cpuShare, entry.name});
    if (it != domain->second.end() && it->second == &entry) {
        domain->second.erase(it);
    }
}

std::vector<std::string> NodeDirectory::callerAddresses(TimePoint now, std::size_t maxCount,
                                                        std::uint64_t entropy) const
{
    std::vector<std::string> addresses;
    for (const auto &[key, tracked] : m_nodes) {
        if (tracked.entry.name != m_self.name && isRetained(tracked, now)) {
            addresses.push_back(tracked.entry.callerAddress);
        }
    }
    TurnRandom random(entropy);
    std::shuffle(addresses.begin(), addresses.end(), random);
    if (!m_isLeaving || addresses.empty()) {
        addresses.insert(addresses.begin(), m_self.callerAddress);
    }
    if (addresses.size() > maxCount) {
        addresses.resize(maxCount);
    }
    return addresses;
}

std::vector<const NodeEntry *> NodeDirectory::members() const
{
    std::vector<const NodeEntry *> members;
    members.reserve(m_nodes.size());
    for (const auto &[key, tracked] : m_nodes) {
        members.push_back(&tracked.entry);
    }
    return members;
}

const RankedNodes &NodeDirectory::nodesInDomain(const DomainName &domain) const
{
    static const RankedNodes None;
    const auto it = m_domains.find(domain);
    return it == m_domains.end() ? None : it->second;
}

std::uint32_t NodeDirectory::count(TimePoint now) const
{
    std::uint32_t others = 0;
    for (const auto &[key, tracked] : m_nodes) {
        others += tracked.entry.name != m_self.name && isRetained(tracked, now) ? 1 : 0;
    }
    return others + 1;
}

bool NodeDirectory::isRetained(const TrackedNode &tracked, TimePoint now)
{
    return !tracked.withdrawnAt || now < *tracked.withdrawnAt + RetentionTime;
}

} // namespace indigoway
