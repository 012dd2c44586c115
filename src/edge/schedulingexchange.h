#pragma once

#include "dispatch/dispatchevents.h"
#include "edge/schedulerlink.h"
#include "quotas/quotacodec.h"
#include "quotas/quotakeeper.h"
#include "scheduling/enginescheduler.h"
#include "scheduling/schedulercodec.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace indigoway {

/**
 * Both ends of the datagrams between a node and the one that schedules the engines and keeps the
 * quotas: carries this node's claims and questions there, and runs both for nodes that take this
 * one for it.
 */
class SchedulingExchange
{
public:
    struct Wiring
    {
        /** Claims' address of the node that schedules; nothing if there is none. */
        std::function<std::optional<DatagramAddress>()> scheduler;
        /** Nothing while this node knows no routing. */
        std::function<std::optional<scheduling::EngineScheduler::View>()> view;
        /** Nodes that serve callers. */
        std::function<std::uint32_t()> nodes;
        std::function<void(const dispatch::DispatchEvent &)> answered;
        std::function<void(const std::string &kind, const std::string &detail)> record;
    };

    SchedulingExchange(event_base *base, NodeLife self, Wiring wiring);

    std::optional<DatagramAddress> listenOn(const DatagramAddress &address)
    {
        return m_link.listenOn(address);
    }
    void tell(const scheduling::ToScheduler &message);
    void tell(const quotas::ToKeeper &message);
    const quotas::QuotaKeeper &quotaKeeper() const { return m_quotaKeeper; }
    const scheduling::EngineScheduler &scheduler() const { return m_scheduler; }
    std::uint64_t unsent() const { return m_link.unsent(); }

private:
    void received(const DatagramAddress &from, const std::string &text);
    /** False if @p value is no question to the scheduler, or to the keeper of the quotas. */
    bool takeClaim(const DatagramAddress &from, const Json::Value &value);
    bool takeQuotaMessage(const DatagramAddress &from, const Json::Value &value);
    void tick();
    void reply(const scheduling::SchedulerReplies &replies);
    void armTimer();
    /** A line a second while claims wait: what a refusal that was unexpected is explained by. */
    void recordState(TimePoint now, const scheduling::EngineScheduler::View &view);

    NodeLife m_self;
    Wiring m_wiring;
    scheduling::EngineScheduler m_scheduler;
    quotas::QuotaKeeper m_quotaKeeper;
    SchedulerLink m_link;
    EventHandle m_timer;
    TimePoint m_stateRecordedAt {};
    TimePoint m_tickAt {};                           ///< While the timer is armed.
    std::map<NodeName, DatagramAddress> m_addresses; ///< Of the nodes whose claims came here.
};

} // namespace indigoway
