#pragma once

#include "dispatch/dispatcher.h"
#include "relay/callerlistener.h"
#include "relay/dialect.h"
#include "relay/eventcutter.h"
#include "relay/serverconnections.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace indigoway {

/**
 * Carries the dispatcher's effects out over sockets, and tells it what came of them. The bytes of
 * requests and answers are here and never in the dispatcher.
 */
class RequestRelay : public ServerCallObserver
{
public:
    using RecordHandler = std::function<void(const dispatch::LogDecision &)>;
    using SchedulerHandler = std::function<void(const scheduling::ToScheduler &)>;
    using QuotaHandler = std::function<void(const quotas::ToKeeper &)>;
    using CrashHandler = std::function<void(const dispatch::PublishCrash &)>;
    using EndedHandler = std::function<void(const dispatch::RequestEnded &)>;

    RequestRelay(event_base *base, dispatch::Dispatcher &dispatcher, const Dialect &dialect,
                 std::uint64_t seed);

    void setRecordHandler(RecordHandler handler) { m_recordHandler = std::move(handler); }
    void setSchedulerHandler(SchedulerHandler handler) { m_schedulerHandler = std::move(handler); }
    void setQuotaHandler(QuotaHandler handler) { m_quotaHandler = std::move(handler); }
    void setCrashHandler(CrashHandler handler) { m_crashHandler = std::move(handler); }
    /** How old this node's copy of the desired state may be; nothing: not known. */
    using CopyAge = std::function<std::optional<Duration>()>;
    void setCopyAge(CopyAge copyAge) { m_copyAge = std::move(copyAge); }
    void setEndedHandler(EndedHandler handler) { m_endedHandler = std::move(handler); }
    std::optional<std::string> listenOn(const std::string &address);
    void setLimits(const CallerLimits &limits) { m_callers.setLimits(limits); }
    void beginLeaving() { m_callers.beginLeaving(); }
    /** Has the dispatcher look at the time; for what changed outside of a request. */
    void wake() { post(dispatch::TimePassed {}); }
    /** An event from outside of the relay's own sockets. */
    void post(const dispatch::DispatchEvent &event);
    const CallerListener &callers() const { return m_callers; }
    const ServerConnections &serverConnections() const { return m_servers; }

    bool isAnswerTo(CallNumber call, const MessageHead &head) override;
    void answerBegan(CallNumber call, const MessageHead &head) override;
    void answerData(CallNumber call, std::string_view data) override;
    void callEnded(CallNumber call, TransferEnd end, const std::string &why) override;

private:
    /** A request whose caller waits. */
    struct OpenExchange
    {
        CallerRequest request;
        std::string callerId;
        EventCutter events;
        bool isStreaming = false;
    };
    /** A call that is under way. */
    struct OpenCall
    {
        dispatch::StartCall call;
        std::string callerId;
        MessageHead head;
        AnswerFacts facts;
        std::string body;  ///< Of answers that are passed on whole.
        std::string ready; ///< Whole events that the dispatcher has not let pass yet.
        bool isStream = false;
        bool isForwarded = false;
        bool hasBegun = false;
    };

    void requestArrived(RequestNumber number, CallerRequest request);
    void callerGone(RequestNumber number);
    void run(const dispatch::StartCall &effect);
    void run(const dispatch::AbandonCall &effect);
    void run(const dispatch::DeliverAnswer &effect);
    void run(const dispatch::ForwardStream &effect);
    void run(const dispatch::EndStream &effect);
    void run(const dispatch::BreakStream &effect);
    void run(const dispatch::RejectRequest &effect);
    void run(const dispatch::SendToScheduler &effect);
    void run(const dispatch::SendToQuotaKeeper &effect);
    void run(const dispatch::PublishCrash &effect);
    void run(const dispatch::LogDecision &effect);
    void run(const dispatch::RequestEnded &effect);
    void armTimer();
    dispatch::CallEnded outcomeOf(const OpenCall &open, TransferEnd end,
                                  const std::string &why) const;
    static void handleTimer(int socket, short what, void *self);

    dispatch::Dispatcher &m_dispatcher;
    const Dialect &m_dialect;
    std::mt19937_64 m_random;
    EventHandle m_timer;
    std::optional<TimePoint> m_timerAt;
    CallerListener m_callers;
    ServerConnections m_servers;
    std::map<RequestNumber, OpenExchange> m_exchanges;
    std::map<CallNumber, OpenCall> m_calls;
    /** Calls whose end was told; their answers may be delivered while the effects run. */
    std::map<CallNumber, OpenCall> m_answered;
    RecordHandler m_recordHandler;
    SchedulerHandler m_schedulerHandler;
    QuotaHandler m_quotaHandler;
    CrashHandler m_crashHandler;
    EndedHandler m_endedHandler;
    CopyAge m_copyAge;
};

} // namespace indigoway
