#include "patienceseen.h"

namespace indigoway::dispatch {

namespace {

/** Callers who are told to come back do so after a second at the least. */
constexpr Duration ClearlyLess = std::chrono::milliseconds(700);

} // namespace

bool PatienceSeen::isComingBack(const OpenRequest &request)
{
    if (!request.facts.patience) {
        return false;
    }
    const Duration patience = *request.facts.patience;
    Duration &most = m_most[request.route->name];
    most = std::max(most, patience);
    return patience + ClearlyLess < most;
}

} // namespace indigoway::dispatch
