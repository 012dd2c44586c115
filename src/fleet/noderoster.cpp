#include "noderoster.h"

#include "core/jsontext.h"
#include "core/turnrandom.h"

#include <algorithm>

namespace indigoway {

std::string encodeNodeEntry(const NodeEntry &entry)
{
    Json::Value value;
    value["name"] = entry.name.text();
    value["domain"] = entry.domain.text();
    value["callers"] = entry.callers;
    value["control"] = entry.control;
    value["scheduling"] = entry.scheduling;
    value["processors"] = entry.processors;
    return jsonText(value);
}

std::optional<NodeEntry> decodeNodeEntry(std::string_view text)
{
    const Json::Value value = parseJson(std::string(text));
    NodeEntry entry;
    entry.name = NodeName(stringMember(value, "name"));
    entry.domain = DomainName(stringMember(value, "domain"));
    entry.callers = stringMember(value, "callers");
    entry.control = stringMember(value, "control");
    entry.scheduling = stringMember(value, "scheduling");
    entry.processors = realMember(value, "processors");
    if (entry.name.isEmpty() || entry.callers.empty()) {
        return std::nullopt;
    }
    return entry;
}

NodeRoster::NodeRoster(NodeEntry self)
    : m_self(std::move(self))
{ }

void NodeRoster::announce(const std::string &key, NodeEntry entry)
{
    m_nodes[key] = {std::move(entry), std::nullopt};
}

void NodeRoster::withdraw(const std::string &key, TimePoint now)
{
    const auto it = m_nodes.find(key);
    if (it != m_nodes.end() && !it->second.vanishedAt) {
        it->second.vanishedAt = now;
    }
}

std::vector<std::string> NodeRoster::callerAddresses(TimePoint now, std::size_t most,
                                                     std::uint64_t entropy) const
{
    std::vector<std::string> addresses;
    for (const auto &[key, known] : m_nodes) {
        if (known.entry.name != m_self.name && isPresent(known, now)) {
            addresses.push_back(known.entry.callers);
        }
    }
    TurnRandom random(entropy);
    std::shuffle(addresses.begin(), addresses.end(), random);
    if (!m_isLeaving || addresses.empty()) {
        addresses.insert(addresses.begin(), m_self.callers);
    }
    if (addresses.size() > most) {
        addresses.resize(most);
    }
    return addresses;
}

std::vector<NodeEntry> NodeRoster::members(TimePoint now) const
{
    std::vector<NodeEntry> members;
    for (const auto &[key, known] : m_nodes) {
        if (isPresent(known, now)) {
            members.push_back(known.entry);
        }
    }
    return members;
}

std::uint32_t NodeRoster::count(TimePoint now) const
{
    std::uint32_t others = 0;
    for (const auto &[key, known] : m_nodes) {
        others += known.entry.name != m_self.name && isPresent(known, now) ? 1 : 0;
    }
    return others + 1;
}

bool NodeRoster::isPresent(const Known &known, TimePoint now)
{
    return !known.vanishedAt || now < *known.vanishedAt + VanishedKept;
}

} // namespace indigoway
