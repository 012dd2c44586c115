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
    void release(Step &step, OpenRequest &request) override;
    std::optional<TimePoint> tick(Step &step) override;

private:
    void send(Step &step, OpenRequest &request);
    const AnnouncedServer *pickServer(Step &step, const OpenRequest &request) const;
    bool mayRetry(const OpenRequest &request) const;
    void handleAnswer(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void handleRejection(Step &step, OpenRequest &request, const std::string &reason);
    void handleFailure(Step &step, OpenRequest &request, const CallEnded &event);

    DispatchState &m_state;
};

} // namespace indigoway::dispatch
