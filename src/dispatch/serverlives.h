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
    /** Handles the end of a call that asked the server of @p request for its life. */
    void reportEnded(Step &step, OpenRequest &request, const OpenCall &call,
                     const CallEnded &event);
    /**
     * Sets the age of the node's copy of the entries; nothing if it gets no changes. While the copy
     * is old, or several versions may serve, a server is asked for its life when it begins a
     * stream: the entry of a newer life may be on its way for as long as the store is out of reach.
     */
    void setCopyAge(std::optional<Duration> age) { m_isCopyOld = !age || *age > MaxCopyAge; }

    /**
     * Time for which bytes of the older life may still be on their way, or wait in the buffers of a
     * node that stood still.
     */
    static constexpr Duration DeliveryTime = std::chrono::milliseconds(300);
    /** Longer than the news takes on its way through the nodes while all is well. */
    static constexpr Duration MaxCopyAge = std::chrono::milliseconds(2500);

private:
    static bool isOfNewerLife(const OpenRequest &request, TimePoint now);
    bool isServedByOlderLife(const OpenRequest &request, const AnnouncedServer &server) const;
    /** Returns whether @p server announces the other life that has answered for @p request. */
    bool hasOtherLife(const OpenRequest &request, const AnnouncedServer &server) const;
    bool mustConfirmLife(const OpenRequest &request, const AnnouncedServer &server) const;
    void askForLife(Step &step, OpenRequest &request, const AnnouncedServer &server);
    /** Asks once more if the last question got no answer. */
    void askAgain(Step &step, OpenRequest &request);

    DispatchState &m_state;
    bool m_isCopyOld = false;
    std::vector<AnnouncedServer> m_newLives; ///< Announced since the last tick().
};

/**
 * Call when the call that brings the stream of @p request has ended or is abandoned before the end
 * of the stream. If it isn't known which life of the server has begun it, no server may continue
 * it, here or at another node.
 */
void streamBroken(Step &step, DispatchState &state, OpenRequest &request);

} // namespace indigoway::dispatch
