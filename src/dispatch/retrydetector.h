#pragma once

#include "dispatch/openrequests.h"

#include <map>

namespace indigoway::dispatch {

/**
 * Detects requests that are retries of a rejected caller. Each attempt has its own id, but callers
 * send the time they have left, which is clearly shorter after a wait.
 */
class RetryDetector
{
public:
    bool isRetry(const OpenRequest &request);

private:
    /** Longest remaining time by route. */
    std::map<RouteName, Duration> m_most;
};

} // namespace indigoway::dispatch
