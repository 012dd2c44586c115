#pragma once

#include "dispatch/runrecovery.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <map>

namespace indigoway::dispatch {

/**
 * The requests to stop a run that an engine may still carry out, or has carried out unseen. An
 * engine that stops a run closes its stream as at the run's own end.
 */
class UnsettledStops
{
public:
    /** Adds a request that is about to be sent to @p engine. */
    void add(const ServerName &engine) { ++m_stops[engine]; }
    /** Removes a request to @p engine if @p result proves what has become of it. */
    void settle(const ServerName &engine, StopResult result);
    /** Returns whether a stop may close, or have closed, the stream of the run at @p engine. */
    bool contains(const ServerName &engine) const { return m_stops.contains(engine); }
    std::uint32_t count(const ServerName &engine) const;

private:
    std::map<ServerName, std::uint32_t> m_stops; ///< Without engines that have none.
};

} // namespace indigoway::dispatch
