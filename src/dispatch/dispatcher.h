#pragma once

#include "dispatch/crashdetector.h"
#include "dispatch/dispatchstate.h"
#include "dispatch/generationflow.h"
#include "dispatch/partcrashexchange.h"
#include "dispatch/plainflow.h"
#include "dispatch/quotaadmission.h"
#include "dispatch/serverlives.h"
#include "dispatch/streamresumption.h"
#include "dispatch/streamversions.h"

#include "core/deadlines.h"

#include <memory>
#include <optional>

namespace indigoway::dispatch {

/**
 * Decides which backend server gets each request, when, and how the request ends. Implements a
 * reducer: it never blocks, reads a clock or opens a socket; calls and answers are returned as
 * effects.
 */
class Dispatcher
{
public:
    Dispatcher(DispatchSettings settings, TimePoint startedAt);

    /**
     * Replaces the routing table. Open requests keep the previous table, except that requests whose
     * key was revoked are rejected if no server can have started them.
     */
    void setRoutes(std::shared_ptr<const RouteTable> table);
    const RouteTable *routes() const { return m_table.get(); }
    /**
     * Sets the number of nodes that serve callers, including this one; the retry budget is divided
     * among them.
     */
    void setNodes(std::uint32_t nodes, TimePoint now);
    /** Sets the nodes that keep the origins of streams for others; nothing if this one does not. */
    void setOriginHolders(TimePoint now, const std::vector<origins::Holder> &nodes,
                          const std::optional<origins::Holder> &self = {})
    {
        m_state.origins.setNodes(now, nodes, self);
    }
    /** Applies a note of a software version in the store; null if it was removed. */
    void applyVersionNote(const std::string &key, const std::string *value, std::uint64_t revision)
    {
        m_versions.applyNote(key, value, revision);
    }
    /** Returns the notes that this node has to write, see VersionNotes::dueWrites(). */
    std::vector<origins::VersionNotes::Write> dueVersionNotes(TimePoint now, Duration delay)
    {
        return m_versions.dueWrites(now, delay);
    }
    const origins::VersionNotes &versionNotes() const { return m_state.versionNotes; }
    const origins::StreamOrigins &origins() const { return m_state.origins; }
    /** Sets the age of the copy of the servers' entries, see ServerLives::setCopyAge(). */
    void setCopyAge(std::optional<Duration> age) { m_lives.setCopyAge(age); }
    void announce(AnnouncedServer server);
    void withdraw(const ServerName &name, TimePoint now);
    /** Removes a server instance that has ended or must not be used. */
    void remove(const ServerName &name);
    const ServerDirectory &servers() const { return m_state.servers; }
    /** Sets whether this node holds the right to order phase changes. */
    void setOrderRight(bool holds) { m_holdsOrderRight = holds; }
    /** Returns whether phase orders are due but the order token is missing. */
    bool wantsOrderToken() const { return m_generations.phases().wantsToken(); }
    /** Returns the number of evaluations of phase orders so far. */
    std::uint64_t orderEvaluations() const { return m_generations.phases().evaluations(); }
    /** Sets the fencing token that is required to order phase changes; nothing if there is none. */
    void setOrderToken(std::optional<std::uint64_t> token) { m_orderToken = token; }
    /**
     * Sets the node that schedules the engines and the plain servers, keeps the quotas and runs the
     * rate limiter; nothing if this node decides locally.
     */
    void setScheduler(std::optional<NodeName> name);
    /**
     * Starts the drain of this node. Requests that cannot complete by @p endsAt are rejected; those
     * that have no answer by then get one.
     */
    void startDrain(TimePoint now, TimePoint endsAt);

    /**
     * Applies a crash note that a node has stored.
     * @param revision The store revision of @p note.
     * @return Whether the refusal of its content has changed.
     */
    bool crashRecorded(const CrashNote &note, std::uint64_t revision, TimePoint now);
    const CrashRecords &crashes() const { return m_state.crashes; }
    /** Applies a series of crashes that a node has stored; returns whether it was news. */
    bool partCrashStored(const PartCrashNote &note, TimePoint now)
    {
        return m_partCrashes.noteStored(note, now);
    }
    const crashes::CrashingParts &crashingParts() const { return m_state.crashingParts; }
    bool isPaused(const ServerName &server, TimePoint now) const
    {
        return m_state.pauses.pausedUntil(server, now).has_value();
    }
    std::size_t pausedServers() const { return m_state.pauses.size(); }
    const ratelimits::ServerPermits &permits() const { return m_state.permits; }

    DispatchEffects reduce(TimePoint now, std::uint64_t entropy, const DispatchEvent &event);
    /** Returns the latest time for the next TimePassed event. */
    std::optional<TimePoint> nextDeadline() const;

    std::size_t open() const { return m_state.requests.size(); }
    const RunCounts &runCounts() const { return m_generations.runCounts(); }
    std::size_t waiting() const { return m_generations.waiting() + m_plain.waiting(); }

private:
    void handle(Step &step, const ArrivedRequest &event);
    void handle(Step &step, const CallerLeft &event);
    void handle(Step &step, const StreamStarted &event);
    void handle(Step &step, const StreamSilent &event);
    void handle(Step &step, const StreamProgress &event);
    void handle(Step &step, const CallEnded &event);
    void handle(Step &step, const SchedulerAnswered &event);
    void handle(Step &step, const QuotaKeeperAnswered &event);
    void handle(Step &step, const RateLimiterAnswered &event);
    void handle(Step &step, const PlainSchedulerAnswered &event);
    void handle(Step &step, const OriginMessageArrived &event);
    void handle(Step &step, const StoredOriginsRead &event);
    void handle(Step &step, const PartCrashesArrived &event);
    void handle(Step &step, const TimePassed &event);
    /** Ends a call whose answer must not be forwarded. */
    void rejectAnswer(Step &step, CallNumber call);
    void recordCallResult(Step &step, const OpenCall &call, const OpenRequest &request,
                          const CallEnded &event);
    /** Returns whether the request may still be open when this node ends. */
    bool exceedsShutdown(TimePoint now, const OpenRequest &request) const;
    /** Answers all requests whose answer has not begun, since this node is about to end. */
    void answerBeforeEnd(Step &step);
    void timeOut(Step &step, OpenRequest &request, const std::string &reason);
    /**
     * Returns whether the server may have closed the connection since the time that it was given is
     * over, though the answer looks whole.
     */
    static bool mayBeOutOfTime(TimePoint now, const OpenCall &call, const CallEnded &event);
    // Each of these steps returns false if it has answered the request.
    bool findRoute(Step &step, OpenRequest &request);
    bool admitCaller(Step &step, OpenRequest &request);
    bool chooseService(Step &step, OpenRequest &request);
    /**
     * Checks that the content is not refused and that the request can complete before a shutdown.
     */
    bool isAcceptable(Step &step, const OpenRequest &request);
    /** Starts a request that has a route and, if it resumes a stream, its origin. */
    void serve(Step &step, OpenRequest &request);
    void originsDecided(Step &step, const AdmissionOutcomes &outcomes);
    void quotasDecided(Step &step, const AdmissionOutcomes &outcomes);
    void tickPermits(Step &step);
    void permitDecided(Step &step, const ratelimits::PermitResult &result);
    /** Takes back what a request that ends has asked for and holds. */
    void withdraw(Step &step, OpenRequest &request);
    /** Rejects the request because the local configuration is too old to decide. */
    void rejectStaleConfiguration(Step &step, const ArrivedRequest &event);
    std::string unknownKeyText(const ArrivedRequest &event) const;
    /** Rejects open requests whose key is missing from the new routing table. */
    void rejectRevokedKeys(Step &step);
    /** Ends the open requests with a part that has been refused, unless their answer has begun. */
    void rejectCrashing(Step &step);
    void rejectArrival(Step &step, const ArrivedRequest &event, int status,
                       std::optional<Duration> retryAfter, const std::string &reason);
    void forget(const ServerName &name);
    RequestFlow &flowOf(const OpenRequest &request);

    DispatchState m_state;
    PlainFlow m_plain;
    GenerationFlow m_generations;
    PartCrashExchange m_partCrashes;
    CrashDetector m_crashDetector;
    StreamResumption m_resumption;
    StreamVersions m_versions;
    std::shared_ptr<const RouteTable> m_table;
    QuotaAdmission m_quotas;
    ServerLives m_lives;
    bool m_hasNewRoutes = false; ///< Since the last TimePassed event.
    Deadlines<RequestNumber> m_timeouts;
    std::optional<TimePoint> m_nextTick;
    bool m_holdsOrderRight = false;
    std::optional<std::uint64_t> m_orderToken;
    TimePoint m_lastOrderEvaluation {}; ///< Last evaluation of phase orders.
    std::optional<TimePoint> m_drainingSince;
    TimePoint m_endsAt {};
};

} // namespace indigoway::dispatch
