#pragma once

#include <indigoway/ids.h>

#include <event2/util.h>

#include <chrono>

namespace indigoway {

inline TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/** Returns @p duration for the timers of libevent. */
inline timeval timevalOf(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {seconds.count(), (duration - seconds).count()};
}

} // namespace indigoway
