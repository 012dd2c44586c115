#include "schedulerchoice.h"

namespace indigoway::scheduling {

std::optional<NodeEntry> schedulerOf(const std::vector<NodeEntry> &members)
{
    const NodeEntry *chosen = nullptr;
    for (const NodeEntry &member : members) {
        if (member.scheduling.empty()) {
            continue;
        }
        const bool isBetter = !chosen || member.processors > chosen->processors
            || (member.processors == chosen->processors && member.name < chosen->name);
        chosen = isBetter ? &member : chosen;
    }
    return chosen ? std::optional(*chosen) : std::nullopt;
}

} // namespace indigoway::scheduling
