#pragma once

#include "dispatch/admissionstep.h"
#include "dispatch/dispatchstate.h"

#include <optional>
#include <vector>

namespace indigoway::dispatch {

/**
 * Binds streams to the service and the software version of the server that sent their first event:
 * records them at that event, and looks them up when a caller resumes a stream. A stream whose
 * origin is not known, or whose version no server has any more, is rejected as not executed.
 */
class StreamResumption
{
public:
    explicit StreamResumption(DispatchState &state)
        : m_state(state)
    { }

    /** Returns whether @p request resumes a stream that another attempt has begun. */
    static bool isResumption(const OpenRequest &request)
    {
        return request.arrival.isContinuation && request.route->isStream;
    }
    /** Looks up the origin of the stream that @p request resumes. */
    AdmissionStep begin(Step &step, OpenRequest &request);
    /** Returns the decided lookups; requests that pass are bound to their servers. */
    AdmissionOutcomes messageArrived(Step &step, const OriginMessageArrived &event);
    AdmissionOutcomes storeRead(Step &step, const StoredOriginsRead &event);
    AdmissionOutcomes tick(Step &step);
    std::optional<TimePoint> nextTick() const;

private:
    AdmissionStep decide(Step &step, const origins::OriginResult &result);
    /** Looks the stream up in the store, since no node knows it. */
    void lookUpInStore(Step &step, OpenRequest &request, const origins::OriginResult &result);
    AdmissionOutcomes decideAll(Step &step, const std::vector<origins::OriginResult> &results);
    void reject(Step &step, OpenRequest &request, std::optional<Duration> retryAfter,
                const std::string &reason);

    DispatchState &m_state;
};

/**
 * Binds @p request to the software version of the server whose first event is about to be
 * forwarded, and tells other nodes if the stream can be resumed.
 * @param isCorrection Whether this replaces what was told before.
 */
void recordStreamOrigin(Step &step, DispatchState &state, OpenRequest &request,
                        bool isCorrection = false);
/** Ends the messages about the origin of a stream that its caller has completely. */
void forgetStreamOrigin(DispatchState &state, const OpenRequest &request);
/**
 * Returns whether the life of @p server has to be checked before it continues the stream of
 * @p request: an id may have come back with another software version, which the node's copy of the
 * store does not tell yet.
 */
bool needsLifeCheck(const OpenRequest &request, const AnnouncedServer &server);
/** Asks @p server when it was started; the end of the call tells, see isSameLife(). */
void startLifeCheck(Step &step, DispatchState &state, OpenRequest &request,
                    const AnnouncedServer &server);
/** Returns whether the server that was asked for a report is the one that was announced. */
bool isSameLife(const OpenCall &call, const CallEnded &event);
/**
 * Returns whether a server may serve @p request later on, though perhaps not now; false if it is
 * bound to a software version that no server has any more.
 */
bool isServable(const DispatchState &state, const OpenRequest &request, TimePoint now);

} // namespace indigoway::dispatch
