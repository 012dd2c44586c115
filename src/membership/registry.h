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
 * Node discovery through the store. A bounded number of nodes is registered there, each under a
 * lease; registered nodes also poll the store for the configuration. All other nodes learn of both
 * from peers, so that the load of the store does not grow with the number of nodes.
 */
class Registry
{
public:
    /** Number of registration keys in the store. */
    static constexpr std::size_t MaxRegistrations = 16;

    void start(Turn &turn);
    /** Removes this node's registration. */
    void leave(Turn &turn);
    /** Returns whether @p answer belongs to a call of this subsystem. */
    bool storeAnswered(Turn &turn, const StoreAnswered &answer);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    bool isRegistered() const { return m_registration.has_value(); }
    /** Returns and clears the other nodes found by the latest listing. */
    std::vector<MemberUpdate> takeDiscovered() { return std::exchange(m_discovered, {}); }
    /** Returns whether the latest listing contains @p life, or nothing if it is too old. */
    std::optional<bool> lists(TimePoint now, const NodeLife &life) const;
    /** Returns whether any listing has ever contained another node. */
    bool hasDiscoveredOthers() const { return m_hasDiscoveredOthers; }

private:
    enum class Purpose {
        Lease,
        KeepAlive,
        List,
        Register,
    };
    enum class Timer {
        List,
        KeepAlive,
    };

    void list(Turn &turn);
    void registerSelf(Turn &turn);
    void call(Turn &turn, Purpose purpose, StoreRequest request);
    void handleListing(Turn &turn, const StoreResult &result);

    std::map<StoreCallNumber, Purpose> m_calls;
    Deadlines<Timer> m_timers;
    std::int64_t m_lease = 0;
    TimePoint m_leaseExpiresAt {};
    std::optional<std::size_t> m_registration;
    std::size_t m_requestedIndex = 0; ///< Index of the pending registration.
    std::set<std::size_t> m_occupied;
    std::set<NodeLife> m_listedLives;
    std::optional<TimePoint> m_listedAt;
    std::vector<MemberUpdate> m_discovered;
    bool m_hasDiscoveredOthers = false;
    bool m_isLeaving = false;
};

/** Returns @p member as JSON, in the form used in the store. */
std::string memberText(const MemberUpdate &member);
/** Parses the result of memberText(). Returns nothing if @p text is invalid. */
std::optional<MemberUpdate> parseMember(const std::string &text);

} // namespace indigoway
