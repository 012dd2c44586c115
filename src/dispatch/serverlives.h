#pragma once

#include "dispatch/dispatchstate.h"

#include <chrono>
#include <string>
#include <vector>

namespace indigoway::dispatch {

/**
 * Finds out which life of a server has begun a stream. A server may start again under its id with
 * another software version, and take calls before this node learns of it. A connection does not
 * outlive its server's life: if a call that began before the news still brings bytes some time
 * after it, they are the newer life's.
 */
class ServerLives
{
public:
    explicit ServerLives(DispatchState &state)
        : m_state(state)
    { }

    /** Call before the server directory knows @p server. */
    void serverAnnounced(const AnnouncedServer &server);
    /** Marks the requests whose calls a newer life may answer. */
    void tick(Step &step);
    /** Decides the version of an answer that begins; returns false if it must not be forwarded. */
    bool streamStarted(Step &step, OpenRequest &request);
    /** Binds the stream of @p request to the newer life, whose events it has. */
    void eventCame(Step &step, OpenRequest &request);
    /** Handles the end of a call of which it is not known which life has answered it. */
    void callEnded(Step &step, OpenRequest &request, const CallEnded &event);

    /**
     * Time for which bytes of the older life may still be on their way, or wait in the buffers of a
     * node that stood still.
     */
    static constexpr Duration DeliveryTime = std::chrono::milliseconds(300);

private:
    static bool isOfNewerLife(const OpenRequest &request, TimePoint now);
    bool isServedByOlderLife(const OpenRequest &request, const AnnouncedServer &server) const;
    static void logChange(Step &step, const OpenRequest &request, const std::string &decision);

    DispatchState &m_state;
    std::vector<AnnouncedServer> m_newLives; ///< Announced since the last tick().
};

} // namespace indigoway::dispatch
