#pragma once

#include "dispatch/dispatchstate.h"

#include <deque>
#include <optional>
#include <utility>

namespace indigoway::dispatch {

/**
 * Passes answers to requests, and what other nodes know, to CrashingParts, and shares the results.
 */
class PartCrashExchange
{
public:
    explicit PartCrashExchange(DispatchState &state)
        : m_state(state)
    { }

    /** Notes that the server of the current call of @p request has begun to write its answer. */
    void writingBegan(Step &step, OpenRequest &request);
    /** Records the complete answer to @p request. */
    void answered(Step &step, const OpenRequest &request, const CallEnded &event);
    /** Shares the series of crashes that this node has observed. */
    void share(Step &step, crashes::PartCrashNotes notes);
    /** Merges series of crashes that another node has sent. */
    void notesArrived(Step &step, const PartCrashesArrived &event);
    /** Merges a series of crashes from the store; returns whether it was news. */
    bool noteStored(const PartCrashNote &note, TimePoint now);
    /** Processes the answers that have been written for long enough. */
    void tick(Step &step);
    std::optional<TimePoint> nextTick() const;
    /** Returns whether parts have been refused since the last call. */
    bool takeNewRefusals() { return std::exchange(m_hasNewRefusals, false); }

private:
    /** An answer that has begun. */
    struct Writing
    {
        RequestNumber request;
        CallNumber call;
        TimePoint due {};
    };

    void recordAnswer(Step &step, const OpenRequest &request, TimePoint since);
    void noteRefusals(const crashes::PartCrashNotes &notes);

    DispatchState &m_state;
    std::deque<Writing> m_writing;
    bool m_hasNewRefusals = false;
};

} // namespace indigoway::dispatch
