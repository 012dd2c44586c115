#pragma once

#include "dispatch/dispatchevents.h"

#include <indigoway/announcedserver.h>

#include <map>
#include <optional>
#include <vector>

namespace indigoway::dispatch {

/**
 * Keeps statistics of backend servers from this node's own calls. Health checks are not used: a
 * server can pass them and fail its requests, and each one occupies a slot.
 */
class ServerTracker
{
public:
    void callStarted(const ServerName &server);
    /** Records the end of a call without a result for the statistics. */
    void callClosed(const ServerName &server);
    /**
     * Records an answer.
     * @param took The answer time.
     * @param isSuccess False for a server error.
     */
    void recordAnswer(const ServerName &server, Duration took, bool isSuccess, TimePoint now);
    /** Records a rejection, which does not indicate a failure. */
    void recordRejection(const ServerName &server);
    /** Records an aborted or timed-out call. */
    void recordFailure(const ServerName &server, TimePoint now);
    /** Records a failed connection attempt. The server is avoided at once. */
    void recordUnreachable(const ServerName &server, TimePoint now);
    void recordLoad(const ServerName &server, const ServerLoad &load, TimePoint now);
    void forget(const ServerName &server);

    std::uint32_t openCalls(const ServerName &server) const;
    std::optional<ServerLoad> recentLoad(const ServerName &server, TimePoint now) const;
    /** Returns whether new work should go to other servers if there are any. */
    bool isAvoided(const ServerName &server, TimePoint now) const;
    /**
     * Returns @p servers without the avoided ones, or all of them if fewer than half would remain.
     */
    std::vector<const AnnouncedServer *>
    preferredServers(const std::vector<const AnnouncedServer *> &servers, TimePoint now) const;
    /** Returns the mean answer time of @p servers, in milliseconds. */
    double meanAnswerMilliseconds(const std::vector<const AnnouncedServer *> &servers) const;
    /**
     * Returns the expected time to a successful answer to a new call, in milliseconds, from the
     * answer times, failures, open calls and reported speed. For comparisons between servers of one
     * service.
     * @param mean The mean answer time of the service; half of it is assumed for servers without
     * recent samples.
     */
    double expectedAnswerMilliseconds(const ServerName &server, double mean, TimePoint now) const;

private:
    struct ServerStatistics
    {
        std::uint32_t openCalls = 0;
        double averageMilliseconds = 0; ///< Moving average; 0 without samples.
        /** Moving average of the speeds reported with these answers; 0 without samples. */
        double averageWorkPercent = 0;
        double failureRate = 0; ///< Moving average.
        std::uint32_t consecutiveFailures = 0;
        TimePoint lastSampleAt {};
        TimePoint avoidedUntil {};
        std::optional<ServerLoad> load;
        TimePoint loadReportedAt {};
    };

    void addFailureSample(ServerStatistics &statistics, bool isFailure, TimePoint now);
    /**
     * Returns the expected answer time relative to averageMilliseconds, from the last reported
     * speed and the mean speed of the answers in that average. It approaches 1 as the report ages.
     */
    double slowdown(const ServerStatistics &statistics, TimePoint now) const;

    std::map<ServerName, ServerStatistics> m_statistics;
};

} // namespace indigoway::dispatch
