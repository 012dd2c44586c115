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

/** The lock under which this node issues a cell's orders, as shown to operators. */
struct OrderLockView
{
    Cell cell;
    std::uint64_t fence = 0;
    Duration safeFor {}; ///< Remaining time for which orders may be issued.
};

/**
 * Orders the engines to serve the model version that their target declares, one server of each role
 * in a cell at a time. The orders of a cell are issued by the holder of a lock, which is a key
 * under a lease. The key's modification revision is the fencing number and rises with each holder.
 *
 * Engines that check the fencing number reject a former holder. For the other engines the lock
 * relies on time: by its own clock, a holder issues no order later than half of the lease time
 * after its last successful extension was sent, and each order carries the time after which it must
 * not be sent.
 */
class Orders
{
public:
    /** Times on which the mutual exclusion of holders relies. */
    static constexpr Duration LeaseTime = std::chrono::seconds(20);
    static constexpr Duration SafeTime = std::chrono::seconds(10);
    static constexpr Duration OrderTimeout = std::chrono::seconds(2);

    /** Records the model version that a server reports. */
    void handleReport(const ReportArrived &report);
    void handleOrderFinished(Turn &turn, const OrderFinished &event);
    /** Handles an answer of the store. @return whether the call was made by this class */
    bool storeAnswered(Turn &turn, const StoreAnswered &answer);
    void runDue(Turn &turn, const Scheduler &scheduler);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    void start(Turn &turn);
    std::vector<OrderLockView> locks(TimePoint now) const;

private:
    enum class State {
        Acquiring,
        Confirming, ///< Reading the key for its modification revision.
        Held,
    };
    struct Lock
    {
        State state = State::Acquiring;
        std::uint64_t fence = 0;
    };
    enum class Purpose {
        GrantLease,
        KeepAlive,
        AcquireLock,
        ConfirmLock,
        ReleaseLock,
    };
    struct Call
    {
        Purpose purpose = Purpose::GrantLease;
        Cell cell;
        TimePoint sent {};
    };
    enum class Timer {
        Round,
        KeepAlive,
    };

    void runRound(Turn &turn, const Scheduler &scheduler);
    /** Returns the first server per role in @p cell that does not have the declared version. */
    std::vector<ServerName> outdatedServers(const Turn &turn, const Cell &cell) const;
    void acquireLock(Turn &turn, const Cell &cell);
    void issueOrders(Turn &turn, const Cell &cell, std::uint64_t fence);
    void releaseLock(Turn &turn, const Cell &cell);
    void callStore(Turn &turn, Purpose purpose, const Cell &cell, StoreRequest request);
    void handleAcquireAnswer(Turn &turn, const Cell &cell, const StoreResult &result);
    void handleConfirmAnswer(Turn &turn, const Cell &cell, const StoreResult &result);
    void dropAllLocks();
    std::string recordText(const Turn &turn) const;

    std::map<ServerName, std::string> m_reportedVersions;
    std::map<ServerName, TimePoint> m_issuedAt; ///< Time of the latest order that was not rejected.
    std::map<Cell, Lock> m_locks;
    std::map<StoreCallNumber, Call> m_calls;
    Deadlines<Timer> m_timers;
    std::int64_t m_lease = 0;
    TimePoint m_lockValidUntil {};
};

} // namespace indigoway
