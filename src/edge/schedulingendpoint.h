#pragma once

#include "dispatch/dispatchevents.h"
#include "edge/datagramsocket.h"
#include "origins/originmessages.h"
#include "quotas/quotacodec.h"
#include "quotas/quotakeeper.h"
#include "ratelimits/ratelimiter.h"
#include "scheduling/enginescheduler.h"
#include "scheduling/schedulercodec.h"
#include "slots/plainscheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace indigoway {

/**
 * Exchanges datagrams with the node that schedules the engines and the plain servers, keeps the
 * quotas and limits the request rates of servers. Sends this node's messages to it, and runs the
 * schedulers, the quota keeper and the rate limiter for the nodes that send theirs to this one.
 */
class SchedulingEndpoint
{
public:
    struct Dependencies
    {
        quotas::QuotaBounds quotaBounds;
        /** Address of the node that schedules the engines; nothing if there is none. */
        std::function<std::optional<DatagramAddress>()> schedulerAddress;
        /** Engines and routes; nothing until this node has routes. */
        std::function<std::optional<scheduling::EngineScheduler::View>()> view;
        /** Number of nodes that serve callers. */
        std::function<std::uint32_t()> nodeCount;
        /** Addresses of all nodes for datagrams. */
        std::function<std::vector<DatagramAddress>()> nodeAddresses;
        /** Delivers an answer of the scheduling node to the dispatcher. */
        std::function<void(const dispatch::DispatchEvent &)> deliver;
        std::function<void(const std::string &kind, const std::string &detail)> record;
    };

    SchedulingEndpoint(event_base *base, NodeLife self, Dependencies dependencies);

    std::optional<DatagramAddress> listenOn(const DatagramAddress &address)
    {
        return m_socket.listenOn(address);
    }
    void send(const scheduling::ToScheduler &message);
    void send(const quotas::ToKeeper &message);
    void send(const ratelimits::ToRateLimiter &message);
    void send(const slots::ToPlainScheduler &message);
    /** Sends a message about the origin of a stream to @p node, if its address is known. */
    void send(const NodeName &node, const origins::OriginMessage &message);
    /** Sends @p notes to a few nodes, which pass them on; see crashes::spreadTargets(). */
    void spread(const std::vector<PartCrashNote> &notes);
    /** Sends @p notes to a node that has started. */
    void sendTo(const DatagramAddress &node, const std::vector<PartCrashNote> &notes);
    void setNodeAddresses(std::map<NodeName, DatagramAddress> addresses)
    {
        m_nodeAddresses = std::move(addresses);
    }
    /** Tells a node that has started of the rate limits that this node's limiter knows. */
    void sendLimitsTo(const DatagramAddress &node);
    const quotas::QuotaKeeper &quotaKeeper() const { return m_quotaKeeper; }
    const ratelimits::RateLimiter &rateLimiter() const { return m_rateLimiter; }
    const scheduling::EngineScheduler &scheduler() const { return m_scheduler; }
    const slots::PlainScheduler &plainScheduler() const { return m_plainScheduler; }
    /** Returns the figures of a bounded number of plain servers that this node assigns. */
    std::vector<slots::PlainScheduler::ServerState> plainServers() const;
    std::uint64_t unsent() const { return m_socket.unsent(); }

private:
    void handleDatagram(const DatagramAddress &from, const std::string &text);
    /** Returns false if @p value is not a message to the scheduler. */
    bool handleSchedulerMessage(const DatagramAddress &from, const Json::Value &value);
    /** Returns false if @p value is not a message to the quota keeper. */
    bool handleQuotaMessage(const DatagramAddress &from, const Json::Value &value);
    /** Returns false if @p value is not a message to the rate limiter. */
    bool handleRateLimitMessage(const DatagramAddress &from, const Json::Value &value);
    /** Returns false if @p value is not a message to the scheduler of plain services. */
    bool handleSlotMessage(const DatagramAddress &from, const Json::Value &value);
    /** Returns whether @p value was an answer to a message of this node. */
    bool deliverAnswer(const Json::Value &value);
    /** Tells all nodes of new rate limits. */
    void sendNotice();
    void armNoticeTimer();
    void tick();
    void reply(const scheduling::SchedulerReplies &replies);
    void reply(const slots::SlotReplies &replies);
    void armTimer();
    /** Logs a grant that names a backup, with the figures that decided. */
    void recordBackup(const scheduling::SchedulerReply &reply);
    /** Logs the scheduler's state at most once a second while claims are waiting. */
    void recordState(TimePoint now, const scheduling::EngineScheduler::View &view);
    /** Logs the figures of the plain servers at most once a second. */
    void recordPlainServers(TimePoint now);

    NodeLife m_self;
    Dependencies m_dependencies;
    scheduling::EngineScheduler m_scheduler;
    quotas::QuotaKeeper m_quotaKeeper;
    ratelimits::RateLimiter m_rateLimiter;
    slots::PlainScheduler m_plainScheduler;
    DatagramSocket m_socket;
    EventHandle m_timer;
    EventHandle m_noticeTimer;
    TimePoint m_stateLoggedAt {};
    TimePoint m_plainServersLoggedAt {};
    TimePoint m_timerAt {};                          ///< Expiry of the timer while it is armed.
    std::map<NodeName, DatagramAddress> m_addresses; ///< Reply addresses, by sender.
    std::map<NodeName, DatagramAddress> m_nodeAddresses;
    std::mt19937_64 m_random;
};

} // namespace indigoway
