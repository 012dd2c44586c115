#pragma once

#include "dispatch/dispatchstate.h"

namespace indigoway::dispatch {

/**
 * Handles requests to plain services with one call; idempotent requests are retried at another
 * server.
 */
class PlainFlow : public RequestFlow
{
public:
    explicit PlainFlow(DispatchState &state)
        : m_state(state)
    { }

    void begin(Step &step, OpenRequest &request) override;
    void streamStarted(Step &step, OpenRequest &request, const StreamStarted &event) override;
    void callEnded(Step &step, OpenRequest &request, const OpenCall &call,
                   const CallEnded &event) override;
    void orphanedCallEnded(Step &step, const OpenCall &call, const CallEnded &event) override;
    void permitDecided(Step &step, OpenRequest &request, const ServerName &server,
                       bool isGranted) override;
    void release(Step &step, OpenRequest &request) override;
    std::optional<TimePoint> tick(Step &step) override;

private:
    /** Sends the request to the best server for which there is a permit. */
    void send(Step &step, OpenRequest &request);
    void sendTo(Step &step, OpenRequest &request, const AnnouncedServer &server);
    /** Refuses a request whose content is refused; returns whether it was. */
    bool refuseContent(Step &step, OpenRequest &request);
    /** Asks the caller to return when a server accepts requests again. */
    void rejectNotExecuted(Step &step, OpenRequest &request, const std::string &reason);
    const AnnouncedServer *pickServer(Step &step, const OpenRequest &request) const;
    bool mayRetry(const OpenRequest &request) const;
    void handleAnswer(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void handleRejection(Step &step, OpenRequest &request, const std::string &reason);
    void handleFailure(Step &step, OpenRequest &request, const CallEnded &event);

    DispatchState &m_state;
};

} // namespace indigoway::dispatch
