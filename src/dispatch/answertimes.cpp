#include "answertimes.h"

#include <algorithm>

namespace indigoway::dispatch {

AnswerTimes::Windows AnswerTimes::movedTo(Windows windows, TimePoint now)
{
    if (now >= windows.since + 2 * WindowTime) {
        return {now, Duration(0), Duration(0)};
    }
    if (now >= windows.since + WindowTime) {
        return {windows.since + WindowTime, Duration(0), windows.present};
    }
    return windows;
}

void AnswerTimes::record(const RouteName &route, Duration time, TimePoint now)
{
    Windows &windows = m_routes[route];
    windows = movedTo(windows, now);
    windows.present = std::max(windows.present, time);
}

std::optional<Duration> AnswerTimes::longest(const RouteName &route, TimePoint now) const
{
    const auto it = m_routes.find(route);
    if (it == m_routes.end()) {
        return std::nullopt;
    }
    const Windows windows = movedTo(it->second, now);
    const Duration time = std::max(windows.present, windows.earlier);
    return time.count() > 0 ? std::optional(time) : std::nullopt;
}

} // namespace indigoway::dispatch
