#include "patienceseen.h"

namespace indigoway::dispatch {

namespace {

/**
 * Of the longest: callers of one route were seen to differ by a sixth from the start. Who comes
 * back after some seconds of fourteen has less; who does so sooner passes for new.
 */
constexpr double ClearlyLess = 0.83;
/** Names of routes that were dropped would pile up; a fleet has some hundred at a time. */
constexpr std::size_t MostRoutes = 10'000;

} // namespace

bool PatienceSeen::isComingBack(const OpenRequest &request)
{
    if (!request.facts.patience) {
        return false;
    }
    const Duration patience = *request.facts.patience;
    if (m_most.size() > MostRoutes) {
        m_most.clear();
    }
    Duration &most = m_most[request.route->name];
    most = std::max(most, patience);
    return static_cast<double>(patience.count()) < ClearlyLess * static_cast<double>(most.count());
}

} // namespace indigoway::dispatch
