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

/** One entry of the record of changes, as it lies in the store. */
struct ChangeRecord
{
    Revision revision;
    Revision from;
    std::string who;
    std::string when;
    std::string command;
    std::string changes; ///< Lines that differ, "+ ..." and "- ...".
    std::string id;      ///< Of the command that made it.
};

std::string changeRecordText(const ChangeRecord &record);
/** A record with revision 0 if @p text is none. */
ChangeRecord parseChangeRecord(const std::string &text);

/** Where the store keeps the configuration and its record. */
namespace storekeys {
extern const std::string Head;    ///< The revision's number alone: cheap to poll.
extern const std::string Text;    ///< "revision\n" and the declarations.
extern const std::string Changes; ///< Prefix of the record of changes.
std::string change(Revision revision);
} // namespace storekeys

/**
 * The configuration in force on this node, and the operators' changes to it. A change is
 * accepted when its compare-and-swap has taken effect, record and all; the revision rises by
 * one with each and never falls on any node.
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
    /** A peer has spoken of @p heard; it is fetched from there if it is newer. */
    void heard(Turn &turn, Revision heard, const NodeName &from);
    void handleFetch(Turn &turn, PeerRequestNumber number) const;
    /** Returns whether the call was one of this subsystem's. */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    bool storeAnswered(Turn &turn, const StoreAnswered &answer);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    /** Whether this node asks the store itself; the others hear from peers. */
    void setPolling(bool isPolling) { m_isPolling = isPolling; }
    /** True once after the configuration has changed. */
    bool takeChanged() { return std::exchange(m_hasChanged, false); }
    /** When the store last answered; nothing before that. */
    std::optional<TimePoint> storeSeen() const { return m_storeSeen; }

private:
    enum class Phase {
        Reading,
        Writing,
        Settling, ///< The write's answer was lost.
    };
    struct Command
    {
        CommandArrived arrived;
        Phase phase = Phase::Reading;
        TimePoint since {};
        Revision base;
        std::int64_t baseModRevision = 0;
        Deployment next;
        std::string nextText;
        std::string id;
        StoreTransaction transaction;
    };
    enum class Purpose {
        PollHead,
        FetchText,
        ForCommand,
    };
    struct Call
    {
        Purpose purpose = Purpose::PollHead;
        CommandNumber command;
    };
    enum class Timer {
        Poll,
        Settle,
    };
    using TimerKey = std::pair<Timer, CommandNumber>;

    void poll(Turn &turn);
    void fetchText(Turn &turn);
    bool adopt(Turn &turn, Revision revision, const std::string &text);
    void takeValue(Turn &turn, const StoreEntry &entry);
    void commandRead(Turn &turn, CommandNumber number, const StoreAnswered &answer);
    void write(Turn &turn, CommandNumber number, Command &command);
    void commandWritten(Turn &turn, CommandNumber number, const StoreAnswered &answer);
    void commandSettled(Turn &turn, CommandNumber number, const StoreAnswered &answer);
    void accepted(Turn &turn, CommandNumber number);
    void lostRace(Turn &turn, CommandNumber number, const std::string &winner);
    void answer(Turn &turn, CommandNumber number, CommandOutcome outcome);

    Deployment m_deployment;
    CellMap m_cells;
    Revision m_revision;
    std::string m_text;
    std::map<CommandNumber, Command> m_commands;
    std::map<StoreCallNumber, Call> m_calls;
    std::optional<PeerCallNumber> m_peerFetch;
    Deadlines<TimerKey> m_timers;
    std::optional<TimePoint> m_storeSeen;
    bool m_isPolling = true;
    bool m_hasChanged = false;
    bool m_isFetching = false;
};

} // namespace indigoway
