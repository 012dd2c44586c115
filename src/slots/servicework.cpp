#include "servicework.h"

#include "slots/plainserver.h"

#include <algorithm>
#include <cmath>

namespace indigoway::slots {

namespace {

/** Answer time at the usual speed before the first answer. */
constexpr double DefaultWorkMilliseconds = 50;
constexpr double WorkSampleWeight = 0.05;
constexpr double MaxWorkMilliseconds = 60'000;
/** Time over which the rate of grants to claims that meet their target is averaged. */
constexpr Duration RateWindow = std::chrono::seconds(1);
/** Least part of the capacity that late claims are assumed to get. */
constexpr double MinLateShare = 0.05;
constexpr Duration MaxExpectedWait = std::chrono::hours(1);
/** Network time of a call between failure domains and of the claim and its grant before it. */
constexpr Duration RoundTripTime = std::chrono::milliseconds(5);
/**
 * The part 1/OnTimeWaitDivisor of the time that an answer leaves until its target may be spent
 * waiting; the speed may fall meanwhile.
 */
constexpr int OnTimeWaitDivisor = 2;
/** Lower bound of maxOnTimeWait(). */
constexpr Duration MinOnTimeWait = std::chrono::milliseconds(20);
/** Time after its latest claim for which a route's target limits the wait of on-time claims. */
constexpr Duration RouteUseTime = std::chrono::seconds(10);
/** Routes of a service whose work is averaged separately; the service's mean holds for others. */
constexpr std::size_t MaxRoutes = 64;

double millisecondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

} // namespace

Duration durationOf(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

double ServiceWork::recordClaim(const SlotClaim &claim, TimePoint now)
{
    const bool isSeparate = m_routes.size() < MaxRoutes || m_routes.contains(claim.route);
    RouteWork &route = m_routes[isSeparate ? claim.route : RouteName()];
    route.usedAt = now;
    route.target = std::max(route.target, claim.timeToTarget);
    return workOf(route);
}

void ServiceWork::recordAnswer(const RouteName &route, Duration answerTime, double workPercent)
{
    const double usual = millisecondsOf(answerTime) * UsualWorkPercent / workPercent;
    const double sample = std::clamp(usual, 1.0, MaxWorkMilliseconds);
    const auto update = [sample](double &mean) {
        mean = mean == 0 ? sample : mean + WorkSampleWeight * (sample - mean);
    };
    update(m_milliseconds);
    if (const auto it = m_routes.find(route); it != m_routes.end()) {
        update(it->second.milliseconds);
    }
}

void ServiceWork::recordOnTimeGrant(double workMilliseconds, TimePoint now)
{
    m_onTimeRate = onTimeRate(now) + workMilliseconds / millisecondsOf(RateWindow);
    m_onTimeRateAt = now;
}

double ServiceWork::mean() const
{
    return m_milliseconds == 0 ? DefaultWorkMilliseconds : m_milliseconds;
}

Duration ServiceWork::expectedWait(const ServiceSpeed &speed, bool isLate, double aheadMilliseconds,
                                   TimePoint now) const
{
    if (aheadMilliseconds == 0 && speed.hasRoom) {
        return Duration(0);
    }
    double rate = speed.workRate;
    if (isLate) {
        // Claims that can meet their target keep arriving and go first.
        rate = std::max(rate - onTimeRate(now), MinLateShare * rate);
    }
    // The next slot becomes free after a part of the time that a request takes.
    const double milliseconds = (aheadMilliseconds + mean()) / std::max(rate, MinWorkRate);
    return std::min(durationOf(milliseconds), MaxExpectedWait);
}

Duration ServiceWork::expectedAnswer(const ServiceSpeed &speed, double workMilliseconds)
{
    return durationOf(workMilliseconds * speed.workPercent / UsualWorkPercent
                      + speed.queueMilliseconds)
        + RoundTripTime;
}

Duration ServiceWork::maxOnTimeWait(const ServiceSpeed &speed, TimePoint now) const
{
    Duration least = MaxExpectedWait;
    for (const auto &[name, route] : m_routes) {
        const Duration slack = route.target - expectedAnswer(speed, workOf(route));
        // A target that cannot be met at the present speed must not keep all others from waiting.
        if (now < route.usedAt + RouteUseTime && slack > Duration(0)) {
            least = std::min(least, slack / OnTimeWaitDivisor);
        }
    }
    return std::max(least, MinOnTimeWait);
}

double ServiceWork::workOf(const RouteWork &route) const
{
    return route.milliseconds == 0 ? mean() : route.milliseconds;
}

double ServiceWork::onTimeRate(TimePoint now) const
{
    const double age = millisecondsOf(now - m_onTimeRateAt);
    return m_onTimeRate * std::exp(-age / millisecondsOf(RateWindow));
}

} // namespace indigoway::slots
