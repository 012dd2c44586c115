#pragma once

#include "core/deadlines.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>
#include <indigoway/messages.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace indigoway {

class Turn;

/**
 * Where nodes find each other: a bounded number of places in the store, each held by a node
 * under a lease. A node that holds a place also asks the store for the configuration. All other
 * nodes hear of both from peers, so that the store's calls do not grow with the fleet.
 */
class Registry
{
public:
    /** Places in the store; at today's sizes every node holds one. */
    static constexpr std::size_t Places = 16;

    void start(Turn &turn);
    /** Gives the place up. */
    void leave(Turn &turn);
    /** Returns whether the call was one of this subsystem's. */
    bool storeAnswered(Turn &turn, const StoreAnswered &answer);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    bool holdsPlace() const { return m_place.has_value(); }
    /** Nodes of the latest listing that are to be met; taken once. */
    std::vector<MemberUpdate> takeListed() { return std::exchange(m_listed, {}); }
    /** Whether the latest listing had @p life; nothing if no listing is recent. */
    std::optional<bool> lists(TimePoint now, const NodeLife &life) const;
    /** Whether any listing has ever shown another node. */
    bool hasSeenOthers() const { return m_hasSeenOthers; }

private:
    enum class Purpose {
        Lease,
        KeepAlive,
        List,
        Take,
    };
    enum class Timer {
        List,
        KeepAlive,
    };

    void list(Turn &turn);
    void take(Turn &turn);
    void call(Turn &turn, Purpose purpose, StoreRequest request);
    void listed(Turn &turn, const StoreResult &result);

    std::map<StoreCallNumber, Purpose> m_calls;
    Deadlines<Timer> m_timers;
    std::int64_t m_lease = 0;
    TimePoint m_leaseEnds {};
    std::optional<std::size_t> m_place;
    std::size_t m_wanted = 0; ///< The place that was asked for.
    std::set<std::size_t> m_taken;
    std::set<NodeLife> m_lives;
    std::optional<TimePoint> m_listedAt;
    std::vector<MemberUpdate> m_listed;
    bool m_hasSeenOthers = false;
    bool m_isLeaving = false;
};

/** A member as the store and the peers' protocol carry it. */
std::string memberText(const MemberUpdate &member);
/** Nothing if @p text is not a member. */
std::optional<MemberUpdate> parseMember(const std::string &text);

} // namespace indigoway
