#pragma once

#include <indigoway/ids.h>
#include <indigoway/routing.h>

#include <chrono>
#include <map>
#include <optional>

namespace indigoway::dispatch {

/** Learns how long the requests of each route take, from their arrival to the end of the answer. */
class AnswerTimes
{
public:
    /** A time is remembered for this long at least, and for twice as long at most. */
    static constexpr Duration WindowTime = std::chrono::seconds(30);

    void record(const RouteName &route, Duration time, TimePoint now);
    /** Returns the longest time of late; nothing if no request of @p route was answered. */
    std::optional<Duration> longest(const RouteName &route, TimePoint now) const;

private:
    struct Windows
    {
        TimePoint since {}; ///< Begin of the present window.
        Duration present {};
        Duration earlier {}; ///< Of the window before.
    };

    static Windows movedTo(Windows windows, TimePoint now);

    std::map<RouteName, Windows> m_routes;
};

} // namespace indigoway::dispatch
