#include "schedulerchoice.h"

#include <tuple>

namespace indigoway::scheduling {

std::optional<NodeEntry> schedulerOf(const std::vector<const NodeEntry *> &members)
{
    const NodeEntry *chosen = nullptr;
    for (const NodeEntry *member : members) {
        if (member->schedulingAddress.empty()) {
            continue;
        }
        const auto rank = [](const NodeEntry &node) {
            return std::tuple<double, std::uint64_t, const NodeName &>(
                -node.cpuShare, node.announcedSince, node.name);
        };
        chosen = !chosen || rank(*member) < rank(*chosen) ? member : chosen;
    }
    return chosen ? std::optional(*chosen) : std::nullopt;
}

} // namespace indigoway::scheduling
