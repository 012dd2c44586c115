#pragma once

#include "slots/slotmessages.h"

#include <map>

namespace indigoway::slots {

/** Returns @p milliseconds as a duration. */
Duration durationOf(double milliseconds);

/** What the servers of a service do together at one moment. */
struct ServiceSpeed
{
    /** Work at the usual speed that all slots do, in milliseconds a millisecond. */
    double workRate = 0;
    double workPercent = 100;     ///< Mean of the servers' figures, weighted by their slots.
    double queueMilliseconds = 0; ///< Expected time in the queue of a server.
    bool hasRoom = false;         ///< A server can start or queue a further request.
};

/**
 * Estimates how much work the requests of a service are, in milliseconds at the usual speed, and
 * from it how long claims wait and calls take.
 */
class ServiceWork
{
public:
    /** Records a claim of a route and its target; returns the expected work of its request. */
    double recordClaim(const SlotClaim &claim, TimePoint now);
    /** Updates the mean work of the service and the route from an answered call. */
    void recordAnswer(const RouteName &route, Duration answerTime, double workPercent);
    /** Records a grant to a claim that can meet its target. */
    void recordOnTimeGrant(double workMilliseconds, TimePoint now);
    /** Returns the mean work of a request of any route. */
    double mean() const;
    /** Returns the expected wait of a claim with @p aheadMilliseconds of work before it. */
    Duration expectedWait(const ServiceSpeed &speed, bool isLate, double aheadMilliseconds,
                          TimePoint now) const;
    /** Returns the expected answer time after a grant while all servers are busy. */
    static Duration expectedAnswer(const ServiceSpeed &speed, double workMilliseconds);
    /**
     * Returns the longest wait of claims that are served before late ones. It is the same for all
     * routes: else the requests of routes with long targets would fill the queue and leave no
     * capacity to those with short ones.
     */
    Duration maxOnTimeWait(const ServiceSpeed &speed, TimePoint now) const;

    /** Keeps a new request from an infinite expected wait while all servers are very slow. */
    static constexpr double MinWorkRate = 1e-3;

private:
    struct RouteWork
    {
        double milliseconds = 0; ///< Moving average at the usual speed; 0 if unknown.
        Duration target {};      ///< Longest time to the target of a claim.
        TimePoint usedAt {};
    };

    double workOf(const RouteWork &route) const;
    double onTimeRate(TimePoint now) const;

    std::map<RouteName, RouteWork> m_routes;
    double m_milliseconds = 0; ///< Moving average over all routes; 0 if unknown.
    /** Work granted to claims that can meet their target, in milliseconds a millisecond. */
    double m_onTimeRate = 0;
    TimePoint m_onTimeRateAt {};
};

} // namespace indigoway::slots
