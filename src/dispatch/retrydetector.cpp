#include "retrydetector.h"

namespace indigoway::dispatch {

namespace {

/**
 * Ratio to the longest remaining time below which a request counts as a retry. First attempts of
 * one route differ by up to a sixth.
 */
constexpr double RetryPatienceRatio = 0.83;
/** Bounds the memory used by names of removed routes. */
constexpr std::size_t MostRoutes = 10'000;

} // namespace

bool RetryDetector::isRetry(const OpenRequest &request)
{
    if (!request.arrival.patience) {
        return false;
    }
    const Duration patience = *request.arrival.patience;
    if (m_most.size() > MostRoutes) {
        m_most.clear();
    }
    Duration &most = m_most[request.route->name];
    most = std::max(most, patience);
    return static_cast<double>(patience.count())
        < RetryPatienceRatio * static_cast<double>(most.count());
}

} // namespace indigoway::dispatch
