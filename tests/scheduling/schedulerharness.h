#pragma once

#include "scheduling/enginescheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

namespace indigoway::scheduling {

/** Runs a scheduler with its engines in virtual time; the test acts as the nodes. */
class SchedulerHarness
{
public:
    static constexpr std::uint64_t Memory = 50'000;

    SchedulerHarness()
    {
        RoutingState state;
        state.version = 1;
        Service llm;
        llm.name = ServiceName("llm");
        llm.engine = EngineTraits {64, Memory, std::chrono::milliseconds(500),
                                   std::chrono::milliseconds(2000)};
        state.services[llm.name] = llm;
        m_routes.emplace(std::move(state));
    }

    static TimePoint at(int milliseconds)
    {
        return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
    }
    static NodeLife node(const std::string &name, std::uint64_t life = 1)
    {
        return {NodeName(name), Incarnation(life)};
    }

    void addEngine(const std::string &name, EnginePhase phase, const std::string &domain = "a",
                   const std::string &version = "v1")
    {
        AnnouncedServer server;
        server.version = version;
        server.name = ServerName(name);
        server.service = ServiceName("llm");
        server.address = name + ":80";
        server.domain = DomainName(domain);
        server.phase = phase;
        m_servers.announce(std::move(server));
    }

    void removeEngine(const std::string &name) { m_servers.remove(ServerName(name)); }
    void setStoreStale(bool isStale) { m_isStoreStale = isStale; }

    static Claim claimOf(std::uint64_t number, std::uint64_t tokens = 5'000)
    {
        Claim claim;
        claim.claim = ClaimId(number);
        claim.service = ServiceName("llm");
        claim.domain = DomainName("a");
        constexpr std::uint64_t LongestPrompt = 11'000;
        claim.promptTokens = static_cast<std::uint32_t>(std::min(tokens, LongestPrompt));
        claim.memory = {tokens, 0, 0};
        claim.maxWait = std::chrono::milliseconds(700);
        claim.timeToTarget = std::chrono::milliseconds(900);
        claim.maxDuration = std::chrono::seconds(14);
        return claim;
    }

    /** Returns the claim with a long maximum wait and a distant target. */
    static Claim withLongWait(Claim claim)
    {
        claim.maxWait = std::chrono::seconds(9);
        claim.timeToTarget = std::chrono::seconds(9);
        return claim;
    }

    void send(int milliseconds, const NodeLife &from, const ToScheduler &message)
    {
        record(m_scheduler.handle(at(milliseconds), view(), from, message));
    }
    void tick(int milliseconds) { record(m_scheduler.tick(at(milliseconds), view())); }

    /**
     * Returns the last answer to a claim: "queued", "refused", "decode engine/prefill engine",
     * "decode engine/whole", or empty if there was none.
     */
    std::string answer(const NodeLife &to, std::uint64_t claim) const
    {
        const auto it = m_answers.find({to, ClaimId(claim)});
        return it == m_answers.end() ? std::string() : it->second;
    }
    /** Returns the backup that the last grant of a claim named; empty if none. */
    std::string backup(const NodeLife &to, std::uint64_t claim) const
    {
        const auto it = m_backups.find({to, ClaimId(claim)});
        return it == m_backups.end() ? std::string() : it->second;
    }
    /** Returns the last reported work, or nothing if there was no report. */
    const std::optional<GenerationWork> &work() const { return m_work; }
    void clearAnswers()
    {
        m_answers.clear();
        m_backups.clear();
    }

    SchedulerState state(int milliseconds) const
    {
        return m_scheduler.state(at(milliseconds), view());
    }

    EngineScheduler &scheduler() { return m_scheduler; }

private:
    EngineScheduler::View view() const { return {m_servers, *m_routes, m_isStoreStale}; }

    void record(const SchedulerReplies &replies)
    {
        for (const SchedulerReply &reply : replies) {
            if (const auto *report = std::get_if<WorkReport>(&reply.message)) {
                m_work = report->work;
                continue;
            }
            const ClaimId claim = scheduling::claimOf(reply.message);
            std::string text = "queued";
            if (const auto *granted = std::get_if<ClaimGranted>(&reply.message)) {
                text = granted->decodeServer.text() + "/"
                    + (granted->prefillsLocally ? "whole" : granted->prefillServer.text());
                m_backups[{reply.to, claim}] = granted->backupServer.text();
            } else if (std::holds_alternative<ClaimRefused>(reply.message)) {
                text = "refused";
            }
            m_answers[{reply.to, claim}] = text;
        }
    }

    EngineScheduler m_scheduler;
    ServerDirectory m_servers;
    std::optional<RouteTable> m_routes;
    std::map<std::pair<NodeLife, ClaimId>, std::string> m_answers;
    std::map<std::pair<NodeLife, ClaimId>, std::string> m_backups;
    bool m_isStoreStale = false;
    std::optional<GenerationWork> m_work;
};

} // namespace indigoway::scheduling
