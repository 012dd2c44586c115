#pragma once

#include "core/deadlines.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>
#include <indigoway/ids.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

class Turn;

/** The request may be dispatched: no other attempt with its key ever was or will be. */
struct Reserved
{
    RequestNumber request;
};

/** Another request with the same key was here first. */
struct ReservedByOther
{
    RequestNumber request;
    bool isDone = false; ///< It was executed and answered whole.
    bool mayRun = false; ///< Its node lives; it may still be running.
};

/** The store is away; nothing was dispatched. */
struct ReservationUnavailable
{
    RequestNumber request;
};

using ReservationResult = std::variant<Reserved, ReservedByOther, ReservationUnavailable>;

/** How a reserved request ended. */
enum class ReservationEnd {
    Done,
    NotExecuted, ///< Certainly not: the key is free again.
    InDoubt,
};

/**
 * At most once for requests that may not be repeated: before anything is dispatched, a key
 * derived from the caller's idempotency key is created in the store by compare-and-swap. Whoever
 * finds the key there does not dispatch. When the store is away nothing is dispatched either.
 */
class Reservations
{
public:
    void reserve(Turn &turn, RequestNumber request, const std::string &key);
    /** Records the end; repeated until the store has it. Ignores requests without reservation. */
    void end(Turn &turn, RequestNumber request, ReservationEnd how);
    /** The caller gave up before the answer: nothing was dispatched, the key is freed. */
    void abandon(Turn &turn, RequestNumber request)
    {
        end(turn, request, ReservationEnd::NotExecuted);
    }

    /** Nothing if the call is not this subsystem's, or there is no news for a request. */
    std::optional<ReservationResult> handleAnswer(Turn &turn, const StoreAnswered &answer);
    std::vector<ReservationResult> runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    std::size_t unfinished() const { return m_entries.size(); }

private:
    enum class State {
        NeedsLease,
        Reserving,
        Held,
        Ending,
    };
    struct Entry
    {
        std::string storeKey;
        State state = State::NeedsLease;
        StoreCallNumber call;
        int tries = 0;
        ReservationEnd how = ReservationEnd::InDoubt;
    };

    void sendReserve(Turn &turn, RequestNumber request, Entry &entry);
    void sendEnd(Turn &turn, RequestNumber request, Entry &entry);
    void askForLease(Turn &turn);
    std::string record(const Turn &turn, RequestNumber request, const char *state) const;
    std::optional<ReservationResult> reserveAnswered(Turn &turn, RequestNumber request,
                                                     Entry &entry, const StoreAnswered &answer);
    void endAnswered(Turn &turn, RequestNumber request, Entry &entry, const StoreAnswered &answer);

    std::map<RequestNumber, Entry> m_entries;
    std::map<StoreCallNumber, RequestNumber> m_calls;
    Deadlines<RequestNumber> m_timers;
    std::int64_t m_lease = 0;
    TimePoint m_leaseSince {};
    StoreCallNumber m_leaseCall;
};

} // namespace indigoway
