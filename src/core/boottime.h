#pragma once

#include <indigoway/ids.h>

#include <chrono>
#include <ctime>

namespace indigoway {

/**
 * A monotonic clock that also counts the time during which the machine is suspended. Measures the
 * age of data that other processes may have changed in the meantime.
 */
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required name

    static time_point now()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

using BootTime = BootClock::time_point;

} // namespace indigoway
