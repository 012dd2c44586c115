#pragma once

#include "dispatch/dispatchstate.h"
#include "slots/slotclaims.h"

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
    /** Sets the node that assigns the slots of plain servers, or none. */
    void setScheduler(std::optional<NodeName> name) { m_slots.setScheduler(std::move(name)); }
    void schedulerAnswered(Step &step, const PlainSchedulerAnswered &event);
    void forget(const ServerName &server) { m_slots.forget(server); }
    std::size_t waiting() const { return m_slots.waiting(); }

private:
    /** Claims a slot if the service is scheduled, else sends the request to the best server. */
    void send(Step &step, OpenRequest &request);
    /** Sends the request to the best server for which there is a permit. */
    void sendLocally(Step &step, OpenRequest &request);
    /** Claims a slot for the request; returns false if this node must choose the server. */
    bool claimSlot(Step &step, OpenRequest &request);
    void slotDecided(Step &step, const slots::SlotDecision &decision);
    void sendToGranted(Step &step, OpenRequest &request, const ServerName &name);
    /** Frees the slot of the request, if it has or waits for one. */
    void endSlot(Step &step, OpenRequest &request, slots::SlotOutcome outcome, Duration answerTime,
                 const std::optional<ServerLoad> &load);
    bool isUsable(const ServerName &name, TimePoint now) const;
    void sendTo(Step &step, OpenRequest &request, const AnnouncedServer &server);
    /** Refuses a request whose content is refused; returns whether it was. */
    bool refuseCrashing(Step &step, OpenRequest &request);
    /** Asks the caller to return when a server accepts requests again. */
    void rejectNotExecuted(Step &step, OpenRequest &request, const std::string &reason);
    const AnnouncedServer *pickServer(Step &step, const OpenRequest &request) const;
    bool mayRetry(const OpenRequest &request) const;
    void handleAnswer(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void handleRejection(Step &step, OpenRequest &request, const std::string &reason);
    void handleFailure(Step &step, OpenRequest &request, const CallEnded &event);

    DispatchState &m_state;
    slots::SlotClaims m_slots;
};

} // namespace indigoway::dispatch
