#pragma once

#include "core/deadlines.h"
#include "placement/cells.h"

#include <indigoway/deployment.h>
#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <map>
#include <optional>
#include <string>

namespace indigoway {

class Turn;

/** One entry of the change history in the store. */
struct ChangeRecord
{
    Revision revision;
    Revision from;
    std::string who;
    std::string when;
    std::string command;
    std::string changes; ///< Lines that differ, "+ ..." and "- ...".
    std::string id;      ///< Of the command that made the change.
};

/** Returns @p record as JSON. */
std::string changeRecordText(const ChangeRecord &record);
/** Parses the result of changeRecordText(). Returns revision 0 if @p text is invalid. */
ChangeRecord parseChangeRecord(const std::string &text);

/** Store keys of the configuration and its change history. */
namespace storekeys {
extern const std::string Head;    ///< The revision number only, cheap to poll.
extern const std::string Text;    ///< "revision\n" followed by the declarations.
extern const std::string Changes; ///< Key prefix of the change history.
std::string change(Revision revision);
} // namespace storekeys

/**
 * The active configuration of this node, and the operators' changes to it. A change is accepted
 * when one compare-and-swap has written the new text and its history entry. The revision rises by
 * one with each change and never falls on any node.
 */
class Configuration
{
public:
    const Deployment &deployment() const { return m_deployment; }
    const CellMap &cells() const { return m_cells; }
    Revision revision() const { return m_revision; }
    const std::string &text() const { return m_text; }
    bool isKnown() const { return !m_revision.isNone(); }

    void start(Turn &turn);
    void command(Turn &turn, const CommandArrived &command);
    /** Fetches the configuration from @p from if @p revision is newer than the active one. */
    void fetchIfNewer(Turn &turn, Revision revision, const NodeName &from);
    void handleFetch(Turn &turn, PeerRequestNumber number) const;
    /** Returns whether @p call was made by this subsystem. */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    bool storeAnswered(Turn &turn, const StoreAnswered &answer);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    /** Sets whether this node polls the store; other nodes get changes from peers. */
    void setPolling(bool isPolling) { m_isPolling = isPolling; }
    /** Returns whether the configuration has changed since the last call. */
    bool takeChanged() { return std::exchange(m_hasChanged, false); }
    /** Returns when the store last answered, or nothing if it never did. */
    std::optional<TimePoint> lastStoreAnswer() const { return m_lastStoreAnswer; }

private:
    enum class Phase {
        Reading,
        Writing,
        RetryingWrite, ///< The answer to the write was lost.
    };
    struct Command
    {
        CommandArrived arrived;
        Phase phase = Phase::Reading;
        TimePoint startedAt {};
        Revision base;
        std::int64_t baseModRevision = 0;
        Deployment next;
        std::string nextText;
        std::string id;
        StoreTransaction transaction;
    };
    enum class Purpose {
        PollRevision,
        FetchText,
        ForCommand,
    };
    struct Call
    {
        Purpose purpose = Purpose::PollRevision;
        CommandNumber command;
    };
    enum class Timer {
        Poll,
        RetryWrite,
    };
    using TimerKey = std::pair<Timer, CommandNumber>;

    void poll(Turn &turn);
    void fetchText(Turn &turn);
    bool adopt(Turn &turn, Revision revision, const std::string &text);
    void adoptEntry(Turn &turn, const StoreEntry &entry);
    void handleBaseRead(Turn &turn, CommandNumber number, const StoreAnswered &answer);
    void write(Turn &turn, CommandNumber number, Command &command);
    void handleFirstWrite(Turn &turn, CommandNumber number, const StoreAnswered &answer);
    void handleWriteResult(Turn &turn, CommandNumber number, const StoreAnswered &answer);
    void acceptCommand(Turn &turn, CommandNumber number);
    void answerConflict(Turn &turn, CommandNumber number, const std::string &winner);
    void answer(Turn &turn, CommandNumber number, CommandOutcome outcome);

    Deployment m_deployment;
    CellMap m_cells;
    Revision m_revision;
    std::string m_text;
    std::map<CommandNumber, Command> m_commands;
    std::map<StoreCallNumber, Call> m_calls;
    std::optional<PeerCallNumber> m_peerFetch;
    Deadlines<TimerKey> m_timers;
    std::optional<TimePoint> m_lastStoreAnswer;
    bool m_isPolling = true;
    bool m_hasChanged = false;
    bool m_isFetching = false;
};

} // namespace indigoway
