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

/** The request may be dispatched; no other request with its key has been or will be. */
struct Reserved
{
    RequestNumber request;
};

/** An earlier request holds the same key. */
struct ReservedByOther
{
    RequestNumber request;
    bool isDone = false; ///< It was executed and answered completely.
    bool mayRun = false; ///< Its node may be alive and still running it.
};

/** The store is unavailable; the request must not be dispatched. */
struct ReservationUnavailable
{
    RequestNumber request;
};

using ReservationResult = std::variant<Reserved, ReservedByOther, ReservationUnavailable>;

/** The outcome of a reserved request. */
enum class ReservationEnd {
    Done,
    NotExecuted, ///< The key can be reserved again.
    InDoubt,
};

/**
 * Ensures at-most-once execution of requests that are not repeatable. Before a request is
 * dispatched, a key derived from the caller's idempotency key is created in the store by
 * compare-and-swap. The request is not dispatched if the key exists or the store is unavailable.
 */
class Reservations
{
public:
    void reserve(Turn &turn, RequestNumber request, const std::string &key);
    /**
     * Records the outcome in the store and retries until it is stored. Ignores requests without
     * a reservation.
     */
    void end(Turn &turn, RequestNumber request, ReservationEnd outcome);
    /** Frees the key of a request that was not dispatched. */
    void abandon(Turn &turn, RequestNumber request)
    {
        end(turn, request, ReservationEnd::NotExecuted);
    }

    /** Returns a result if @p answer settles a reservation. */
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
        int attempts = 0;
        ReservationEnd outcome = ReservationEnd::InDoubt;
    };

    void sendReserve(Turn &turn, RequestNumber request, Entry &entry);
    void sendEnd(Turn &turn, RequestNumber request, Entry &entry);
    void requestLease(Turn &turn);
    std::string recordText(const Turn &turn, RequestNumber request, const char *state) const;
    std::optional<ReservationResult> handleReserveAnswer(Turn &turn, RequestNumber request,
                                                         Entry &entry, const StoreAnswered &answer);
    void handleEndAnswer(Turn &turn, RequestNumber request, Entry &entry,
                         const StoreAnswered &answer);

    std::map<RequestNumber, Entry> m_entries;
    std::map<StoreCallNumber, RequestNumber> m_calls;
    Deadlines<RequestNumber> m_timers;
    std::int64_t m_lease = 0;
    TimePoint m_leaseGrantedAt {};
    StoreCallNumber m_leaseCall;
};

} // namespace indigoway
