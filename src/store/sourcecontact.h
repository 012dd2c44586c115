#pragma once

#include "core/boottime.h"

#include <optional>

namespace indigoway {

/**
 * Keeps the time at which the store last answered the node from which this one's changes come.
 *
 * Nodes pass it on with their answers. It only advances while there is a live chain of nodes up to
 * the store, so it tells nodes that can reach the store from those that have not yet noticed that
 * they cannot. A node that changes its source only to one with a newer contact than its own never
 * follows itself through other nodes, since what these know from it is older. Where a node returns
 * to its regular parent without this condition, the parent's SourcePath takes its place.
 */
class SourceContact
{
public:
    /** Handles an answer of the store, or of the followed node whose contact was @p contact. */
    void advanceTo(BootTime contact) { m_at = m_at && *m_at > contact ? m_at : contact; }
    /** Handles the loss of this node's source: contacts from before are no proof of another one. */
    void sourceLost(BootTime now) { m_lostAt = now; }
    /** Returns true if a source with its latest contact at @p contact may be followed from now. */
    bool isNewer(BootTime contact) const
    {
        return (!m_at || contact > *m_at) && (!m_lostAt || contact > *m_lostAt);
    }
    /** Returns the time since the latest contact; nothing if there was none. */
    std::optional<Duration> age(BootTime now) const
    {
        return m_at ? std::optional(Duration(now - *m_at)) : std::nullopt;
    }

private:
    std::optional<BootTime> m_at;
    std::optional<BootTime> m_lostAt;
};

} // namespace indigoway
