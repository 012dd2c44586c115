#include "nodemetrics.h"

#include <spdlog/fmt/fmt.h>

#include <cmath>

namespace indigoway {

namespace {

std::uint64_t permille(double fraction)
{
    return static_cast<std::uint64_t>(std::lround(fraction * 1000));
}

std::string gaugesText(const NodeMetricsSources &node, TimePoint now)
{
    std::vector<EdgeMetrics::ServerGauge> serverGauges;
    const auto servers = node.scheduling.plainServers();
    const auto addGauges = [&](const char *name, auto value) {
        for (const auto &state : servers) {
            serverGauges.push_back({name, state.server.text(), value(state.figures)});
        }
    };
    using Figures = slots::PlainServer::Figures;
    addGauges("plain_server_held",
              [](const Figures &one) { return static_cast<double>(one.held); });
    addGauges("plain_server_queue", [](const Figures &one) { return one.queue(); });
    addGauges("plain_server_slots",
              [](const Figures &one) { return static_cast<double>(one.slots); });
    addGauges("plain_server_work_percent", [](const Figures &one) { return one.workPercent; });
    const ServerPaths &paths = node.relay.serverConnections().paths().servers;
    const std::uint64_t loss = permille(node.scheduling.scheduler().lossFraction(now));
    return node.metrics.prometheusText(
        {
            {"requests_open", node.dispatcher.open()},
            {"requests_waiting", node.dispatcher.waiting()},
            {"caller_connections", node.relay.callers().connections()},
            {"client_bytes_held", node.guard.budget().held()},
            {"client_bytes_expected", node.guard.budget().expected()},
            {"client_bytes_highest", node.guard.budget().highestHeld()},
            {"client_bytes_limit", node.guard.budget().capacity()},
            {"server_connections_kept", node.relay.serverConnections().idleConnections()},
            {"server_connections_made", node.relay.serverConnections().connectionsMade()},
            {"servers_not_connected", paths.unreachableServers()},
            {"server_connections_failed", paths.failedConnections()},
            {"isolated", paths.isIsolated() ? 1U : 0U},
            {"server_calls_relayed", node.relay.serverConnections().relayedCalls()},
            {"tunnels_open", node.relay.tunnels().openTunnels()},
            {"tunnels_opened", node.relay.tunnels().opened()},
            {"tunnels_refused", node.relay.tunnels().refused()},
            {"log_lines_dropped", node.log.dropped()},
            {"routing_version", node.dispatcher.routes() ? node.dispatcher.routes()->version() : 0},
            {"store_revision", node.sync.asOf()},
            {"store_lists", node.sync.storeCallCounts().lists},
            {"store_watches", node.sync.storeCallCounts().watches},
            {"store_leases", node.sync.storeCallCounts().leases},
            {"store_renewals", node.sync.storeCallCounts().renewals},
            {"store_writes", node.sync.storeCallCounts().writes},
            {"store_proofs", node.sync.storeCallCounts().proofs},
            {"source_searches", node.sync.searchCounts().searches},
            {"source_peer_calls", node.sync.searchCounts().peerCalls},
            {"source_store_calls", node.sync.searchCounts().storeCalls},
            {"servers_known", node.dispatcher.servers().size()},
            {"nodes_known", node.roster.count(now)},
            {"scheduler_waiting", node.scheduling.scheduler().waiting()},
            {"scheduler_granted", node.scheduling.scheduler().granted()},
            {"scheduler_engines_looked", node.scheduling.scheduler().enginesExamined()},
            {"scheduler_unsent", node.scheduling.unsent()},
            {"scheduler_copies", node.scheduling.scheduler().copies()},
            {"scheduler_copy_tokens", node.scheduling.scheduler().copyTokens()},
            {"scheduler_backups_granted", node.scheduling.scheduler().backupsGranted()},
            {"scheduler_runs_moved", node.scheduling.scheduler().runsMoved()},
            {"scheduler_loss_permille", loss},
            {"order_looks", node.dispatcher.orderEvaluations()},
            {"permits_granted", node.scheduling.rateLimiter().granted()},
            {"permits_refused", node.scheduling.rateLimiter().refused()},
            {"slots_held", node.scheduling.plainScheduler().held()},
            {"slots_waiting", node.scheduling.plainScheduler().waiting()},
            {"slots_granted", node.scheduling.plainScheduler().granted()},
            {"slots_refused", node.scheduling.plainScheduler().refused()},
            {"slots_expired", node.scheduling.plainScheduler().expired()},
            {"quotas_scarce", node.scheduling.quotaKeeper().scarceCount()},
            {"stream_origins_kept", node.dispatcher.origins().records()},
            {"stream_origins_unconfirmed", node.dispatcher.origins().unconfirmed()},
            {"stream_origin_notices", node.dispatcher.origins().noticesSent()},
            {"stream_origin_queries", node.dispatcher.origins().queriesSent()},
            {"stream_version_notes", node.dispatcher.versionNotes().size()},
            {"stream_origin_batches_written", node.originStore.writes()},
            {"stream_origin_store_reads", node.originStore.reads()},
            {"stream_origins_waiting_for_store", node.originStore.waitingRecords()},
            {"contents_crashed", node.dispatcher.crashes().size()},
            {"contents_refused", node.dispatcher.crashes().refusedCount()},
            {"parts_crashed", node.dispatcher.crashingParts().records().size()},
            {"parts_refused", node.dispatcher.crashingParts().records().refusedCount(now)},
            {"parts_answered", node.dispatcher.crashingParts().answeredParts()},
            {"runs_with_backup", node.dispatcher.runCounts().withBackup},
            {"runs_continued_by_backup", node.dispatcher.runCounts().continuedByBackup},
            {"runs_continued_by_move", node.dispatcher.runCounts().continuedByMove},
            {"runs_lost", node.dispatcher.runCounts().lost},
            {"streams_closed_in_doubt", node.dispatcher.runCounts().closedInDoubt},
            {"servers_paused", node.dispatcher.pausedServers()},
            {"servers_limited", node.dispatcher.permits().limitedServers()},
            {"leaving", node.isLeaving ? 1U : 0U},
        },
        serverGauges);
}

std::string refusedClientsText(const OverloadGuard &guard)
{
    std::string text = "# TYPE indigoway_clients_refused_total counter\n";
    for (std::size_t door = 0; door < DoorCount; ++door) {
        for (std::size_t reason = 0; reason < ShedReasonCount; ++reason) {
            const auto count =
                guard.counted(static_cast<Door>(door), static_cast<ShedReason>(reason));
            if (count > 0) {
                text +=
                    fmt::format("indigoway_clients_refused_total{{for=\"{}\",reason=\"{}\"}} {}\n",
                                nameOf(static_cast<Door>(door)),
                                nameOf(static_cast<ShedReason>(reason)), count);
            }
        }
    }
    return text;
}

std::string organisationLoadText(const NodeMetricsSources &node, TimePoint now)
{
    std::vector<EdgeMetrics::OrganisationLoad> organisations;
    for (const auto &state : node.scheduling.scheduler().organisations(now)) {
        organisations.push_back(
            {state.service, state.organisation, state.waiting, permille(state.usageShare)});
    }
    return EdgeMetrics::organisationLoadText(organisations);
}

} // namespace

std::string nodeMetricsText(const NodeMetricsSources &node, TimePoint now)
{
    return gaugesText(node, now) + refusedClientsText(node.guard) + organisationLoadText(node, now);
}

} // namespace indigoway
