#pragma once

#include "dispatch/dispatchstate.h"
#include "origins/versionnotes.h"
#include "routing/routetable.h"

#include <set>
#include <string>
#include <vector>

namespace indigoway::dispatch {

/**
 * Decides at which software versions resumable streams may begin. A version has to be noted in the
 * store before, so that the notes tell at which versions a stream can have begun even if no node
 * remembers it. A version without a note is not used while another one can be.
 */
class StreamVersions
{
public:
    explicit StreamVersions(DispatchState &state)
        : m_state(state)
    { }

    void setRoutes(const RouteTable &table);
    /** Applies the item of a note in the store; @p value is null if it was removed. */
    void applyNote(const std::string &key, const std::string *value, std::uint64_t revision);
    /** Holds back the servers of @p server's version until review(), if it has no note. */
    void serverAnnounced(const AnnouncedServer &server);
    void serversChanged() { m_isChanged = true; }
    /** Uses and holds back versions after a change. */
    void review(TimePoint now);
    /** Returns the notes that this node has to write now, see VersionNotes::dueWrites(). */
    std::vector<origins::VersionNotes::Write> dueWrites(TimePoint now, Duration delay);

private:
    bool isAnyUsable(const ServiceName &service, const std::set<std::string> &versions,
                     TimePoint now) const;

    DispatchState &m_state;
    std::set<ServiceName> m_services; ///< Those that resumable routes lead to.
    /** Of those, the ones of routes that lead to several: no note tells at which a stream began. */
    std::set<ServiceName> m_splitServices;
    bool m_isChanged = true;
    bool m_isAnyClosed = false;
};

} // namespace indigoway::dispatch
