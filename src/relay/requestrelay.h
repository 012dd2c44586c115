#pragma once

#include "core/boottime.h"
#include "dispatch/dispatcher.h"
#include "http/httplistener.h"
#include "relay/dialect.h"
#include "relay/eventstreamparser.h"
#include "relay/serverconnections.h"
#include "relay/tunnellistener.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace indigoway {

/**
 * Executes the dispatcher's effects on sockets and passes the results to it as events. The relay
 * holds the bodies of requests and answers; the dispatcher never sees them.
 */
class RequestRelay : public ServerCallObserver, public RoomWaiter
{
public:
    using DecisionHandler = std::function<void(const dispatch::LogDecision &)>;
    using SchedulerHandler = std::function<void(const scheduling::ToScheduler &)>;
    using QuotaHandler = std::function<void(const quotas::ToKeeper &)>;
    using RateLimitHandler = std::function<void(const ratelimits::ToRateLimiter &)>;
    using PlainSchedulerHandler = std::function<void(const slots::ToPlainScheduler &)>;
    using NodeMessageHandler = std::function<void(const dispatch::SendToNode &)>;
    using OriginRecordHandler = std::function<void(const dispatch::RecordStreamOrigins &)>;
    using OriginReadHandler = std::function<void()>;
    using CrashHandler = std::function<void(const dispatch::PublishCrash &)>;
    using PartCrashHandler = std::function<void(const dispatch::SharePartCrashes &)>;
    using RequestEndedHandler = std::function<void(const dispatch::RequestEnded &)>;

    /** @param guard Limits what is held for callers and for other nodes. */
    RequestRelay(event_base *base, OverloadGuard &guard, dispatch::Dispatcher &dispatcher,
                 const Dialect &dialect, std::uint64_t seed);
    ~RequestRelay() override;

    void setDecisionHandler(DecisionHandler handler) { m_decisionHandler = std::move(handler); }
    void setSchedulerHandler(SchedulerHandler handler) { m_schedulerHandler = std::move(handler); }
    void setQuotaHandler(QuotaHandler handler) { m_quotaHandler = std::move(handler); }
    void setRateLimitHandler(RateLimitHandler handler) { m_rateLimitHandler = std::move(handler); }
    void setPlainSchedulerHandler(PlainSchedulerHandler handler)
    {
        m_plainSchedulerHandler = std::move(handler);
    }
    void setNodeMessageHandler(NodeMessageHandler handler)
    {
        m_nodeMessageHandler = std::move(handler);
    }
    void setOriginHandlers(OriginRecordHandler record, OriginReadHandler read)
    {
        m_originRecordHandler = std::move(record);
        m_originReadHandler = std::move(read);
    }
    void setCrashHandler(CrashHandler handler) { m_crashHandler = std::move(handler); }
    void setPartCrashHandler(PartCrashHandler handler) { m_partCrashHandler = std::move(handler); }
    /** Returns the maximum age of this node's copy of the desired state; nothing if unknown. */
    using CopyAge = std::function<std::optional<Duration>()>;
    void setCopyAge(CopyAge copyAge) { m_copyAge = std::move(copyAge); }
    void setRequestEndedHandler(RequestEndedHandler handler)
    {
        m_requestEndedHandler = std::move(handler);
    }
    std::optional<std::string> listenOn(const std::string &address);
    /** Listens for other nodes that cannot connect to servers themselves. */
    std::optional<std::string> listenForNodes(const std::string &address)
    {
        return m_tunnels.listenOn(address);
    }
    /** Sets the other nodes that open connections for this one. */
    void setRelays(const std::vector<RelayNode> &nodes, TimePoint now)
    {
        m_servers.paths().relays.setNodes(nodes, now);
    }
    void setLimits(const CallerLimits &limits) { m_callers.setLimits(limits); }
    void beginLeaving()
    {
        m_callers.beginLeaving();
        m_tunnels.beginLeaving();
    }
    /** Makes the dispatcher check its deadlines after a change outside of the relay. */
    void checkDeadlines() { post(dispatch::TimePassed {}); }
    /** Passes @p event to the dispatcher and executes the resulting effects. */
    void post(const dispatch::DispatchEvent &event);
    const HttpListener &callers() const { return m_callers; }
    const ServerConnections &serverConnections() const { return m_servers; }
    const TunnelListener &tunnels() const { return m_tunnels; }
    /** Records that the process reads its connections; called several times a second. */
    void recordTick(BootTime now);

    void callRelayed(CallNumber call, const NodeName &relay) override;
    bool isAnswerTo(CallNumber call, const MessageHead &head) override;
    void answerStarted(CallNumber call, const MessageHead &head) override;
    void answerDataReceived(CallNumber call, std::string_view data) override;
    void callSilent(CallNumber call) override;
    void callEnded(CallNumber call, TransferEnd end, const std::string &reason) override;

    void reviewWaiting(TimePoint now) override;
    bool hasWaiting() const override { return !m_waitingAnswers.empty(); }

private:
    /** A caller's request and the state of its answer. */
    struct OpenExchange
    {
        CallerRequest request;
        std::string callerId;
        EventStreamParser eventParser;
        bool isStreaming = false;
    };
    /** A call to a backend server and the state of its answer. */
    struct OpenCall
    {
        dispatch::StartCall call;
        BootTime started = BootClock::now();
        std::string callerId;
        MessageHead head;
        AnswerInfo info;
        MessageBody body;           ///< Body of an answer that is not a stream.
        std::string bufferedEvents; ///< Complete events received before ForwardStream.
        bool isStream = false;
        NodeName relay; ///< The node that opened the connection; empty for this one.
        bool isForwarded = false;
        bool hasStarted = false;
        std::size_t announcedBytes = 0;   ///< Length of the answer; 0 if unknown.
        std::size_t wantedBytes = 0;      ///< For which there was no room.
        std::uint32_t reportedEvents = 0; ///< Events in the last StreamProgress.
    };

    void requestArrived(RequestNumber number, CallerRequest request);
    void callerGone(RequestNumber number);
    void run(const dispatch::StartCall &effect);
    void run(const dispatch::AbandonCall &effect);
    void run(const dispatch::ReportNextEvent &effect);
    void run(const dispatch::DeliverAnswer &effect);
    void run(const dispatch::ForwardStream &effect);
    void run(const dispatch::EndStream &effect);
    void run(const dispatch::BreakStream &effect);
    void run(const dispatch::RejectRequest &effect);
    void run(const dispatch::SendToScheduler &effect);
    void run(const dispatch::SendToQuotaKeeper &effect);
    void run(const dispatch::SendToRateLimiter &effect);
    void run(const dispatch::SendToPlainScheduler &effect);
    void run(const dispatch::SendToNode &effect);
    void run(const dispatch::RecordStreamOrigins &effect);
    void run(const dispatch::ReadStoredOrigins &effect);
    void run(const dispatch::PublishCrash &effect);
    void run(const dispatch::SharePartCrashes &effect);
    void run(const dispatch::LogDecision &effect);
    void recordPathChanges();
    TunnelListener::Dependencies tunnelDependencies();
    std::optional<TunnelListener::Target> tunnelTarget(const ServerName &server) const;
    std::optional<TunnelListener::Target> otherTunnelTarget(const ServerName &server);
    void run(const dispatch::RequestEnded &effect);
    void armTimer();
    std::uint32_t forwardedEvents(RequestNumber request) const;
    /** Asks for room for a large answer; the server is not read until there is room. */
    void askForRoom(OpenCall &open, std::size_t bytes);
    void reportProgress(OpenCall &open);
    dispatch::CallEnded resultOf(const OpenCall &open, TransferEnd end,
                                 const std::string &reason) const;
    static void handleTimer(int socket, short events, void *self);

    OverloadGuard &m_guard;
    dispatch::Dispatcher &m_dispatcher;
    const Dialect &m_dialect;
    std::mt19937_64 m_random;
    EventHandle m_timer;
    std::optional<TimePoint> m_timerDeadline;
    HttpListener m_callers;
    ServerConnections m_servers;
    TunnelListener m_tunnels;
    std::map<RequestNumber, OpenExchange> m_exchanges;
    std::map<CallNumber, OpenCall> m_calls;
    /** Calls whose CallEnded is being processed; DeliverAnswer uses their answers. */
    std::map<CallNumber, OpenCall> m_endedCalls;
    /** Calls whose answers wait for room, the first one first. */
    std::deque<CallNumber> m_waitingAnswers;
    DecisionHandler m_decisionHandler;
    SchedulerHandler m_schedulerHandler;
    QuotaHandler m_quotaHandler;
    RateLimitHandler m_rateLimitHandler;
    PlainSchedulerHandler m_plainSchedulerHandler;
    NodeMessageHandler m_nodeMessageHandler;
    OriginRecordHandler m_originRecordHandler;
    OriginReadHandler m_originReadHandler;
    CrashHandler m_crashHandler;
    PartCrashHandler m_partCrashHandler;
    RequestEndedHandler m_requestEndedHandler;
    CopyAge m_copyAge;
};

} // namespace indigoway
