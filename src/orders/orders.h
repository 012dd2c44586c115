#pragma once

#include "core/deadlines.h"
#include "placement/cells.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

class Scheduler;
class Turn;

/** A cell's orders that this node may give, as operators see them. */
struct OrderHoldView
{
    Cell cell;
    std::uint64_t fence = 0;
    Duration safeFor {}; ///< How long it may still give orders without hearing from the store.
};

/**
 * Orders to engines: brings each to the model version that its target declares, one server of a
 * pool at a time. Orders for a cell are given by one holder of a key under a lease, with the
 * key's modification revision as fencing number, which rises with each holder.
 *
 * Engines that check the number refuse a former holder. With those that do not, only time
 * protects: a holder gives no order later than half of its lease after it last asked for an
 * extension, by its own clock, and each order names the time after which it must not be sent.
 */
class Orders
{
public:
    /** Times that the proofs rely on. */
    static constexpr Duration LeaseTime = std::chrono::seconds(20);
    static constexpr Duration SafeTime = std::chrono::seconds(10);
    static constexpr Duration OrderTimeout = std::chrono::seconds(2);

    /** Takes note of the version that a server says it has. */
    void report(const ReportArrived &report);
    void finished(Turn &turn, const OrderFinished &event);
    /** Returns whether the call was one of this subsystem's. */
    bool storeAnswered(Turn &turn, const StoreAnswered &answer);
    void runDue(Turn &turn, const Scheduler &scheduler);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    void start(Turn &turn);
    std::vector<OrderHoldView> holds(TimePoint now) const;

private:
    enum class State {
        Taking,
        Confirming, ///< Reads the key back for its revision.
        Held,
    };
    struct Hold
    {
        State state = State::Taking;
        std::uint64_t fence = 0;
    };
    enum class Purpose {
        Lease,
        KeepAlive,
        Take,
        Confirm,
        Release,
    };
    struct Call
    {
        Purpose purpose = Purpose::Lease;
        Cell cell;
        TimePoint sent {};
    };
    enum class Timer {
        Round,
        KeepAlive,
    };

    void round(Turn &turn, const Scheduler &scheduler);
    /** The first server of each pool of @p cell that has not the declared version. */
    std::vector<ServerName> behind(const Turn &turn, const Cell &cell) const;
    void take(Turn &turn, const Cell &cell);
    void give(Turn &turn, const Cell &cell, std::uint64_t fence);
    void release(Turn &turn, const Cell &cell);
    void callStore(Turn &turn, Purpose purpose, const Cell &cell, StoreRequest request);
    void taken(Turn &turn, const Cell &cell, const StoreResult &result);
    void confirmed(Turn &turn, const Cell &cell, const StoreResult &result);
    void loseAll();
    std::string record(const Turn &turn) const;

    std::map<ServerName, std::string> m_versions;
    std::map<ServerName, TimePoint> m_underway; ///< Orders not answered yet.
    std::map<Cell, Hold> m_holds;
    std::map<StoreCallNumber, Call> m_calls;
    Deadlines<Timer> m_timers;
    std::int64_t m_lease = 0;
    TimePoint m_safeUntil {};
};

} // namespace indigoway
