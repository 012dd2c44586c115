#include "reclaimer.h"

#include "core/turn.h"
#include "membership/membership.h"
#include "membership/registry.h"
#include "requests/requests.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Consecutive reports that must list a request before its owner is asked, since reports lag. */
constexpr int ReportsBeforeQuery = 2;
constexpr Duration QueryTimeout = std::chrono::seconds(1);
/** Delay after the owner's death; the peers of a node that was only partitioned hear from it in
 * this time. */
constexpr Duration ReclaimDelay = std::chrono::seconds(5);
/** Delay while the store cannot be asked for the owner's lease. */
constexpr Duration ReclaimDelayWithoutStore = std::chrono::seconds(30);

} // namespace

void Reclaimer::handleReport(Turn &turn, const ReportArrived &report, Requests &requests,
                             const Registry &registry)
{
    std::map<EngineRequestName, ListedRequest> &previous = m_listedRequests[report.server];
    std::map<EngineRequestName, ListedRequest> current;
    std::map<NodeLife, std::vector<EngineRequestName>> toQuery;
    for (const EngineRequestName &name : report.requests) {
        const NodeLife owner = ownerOf(name);
        if (owner.node.isEmpty()) {
            continue;
        }
        const auto listed = previous.find(name);
        ListedRequest request =
            listed == previous.end() ? ListedRequest {turn.now, 0} : listed->second;
        ++request.reports;
        current[name] = request;
        if (request.reports < ReportsBeforeQuery) {
            continue;
        }
        if (turn.members.mayBeAlive(owner)) {
            toQuery[owner].push_back(name);
        } else if (mayReclaim(turn, owner, registry, request.firstListed)) {
            turn.count(Counter::Reclaimed);
            requests.reclaim(turn, report.server, name);
        }
    }
    previous = std::move(current);
    for (auto &[owner, names] : toQuery) {
        const auto call = turn.ask(owner.node, FetchOwnedRequests {names}, QueryTimeout);
        m_queries[call] = {report.server, std::move(names)};
    }
}

bool Reclaimer::handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome,
                             Requests &requests)
{
    const auto it = m_queries.find(call);
    if (it == m_queries.end()) {
        return false;
    }
    const OwnershipQuery query = std::move(it->second);
    m_queries.erase(it);
    const auto *reply = std::get_if<PeerReply>(&outcome);
    const auto *owned = reply ? std::get_if<OwnedRequests>(reply) : nullptr;
    if (!owned) {
        return true;
    }
    for (const EngineRequestName &name : query.requests) {
        if (std::find(owned->requests.begin(), owned->requests.end(), name)
            == owned->requests.end()) {
            turn.count(Counter::Reclaimed);
            requests.reclaim(turn, query.server, name);
        }
    }
    return true;
}

bool Reclaimer::mayReclaim(Turn &turn, const NodeLife &owner, const Registry &registry,
                           TimePoint firstListed) const
{
    // The delay for an unknown owner starts when its request was first listed.
    const TimePoint since = turn.members.deadSince(owner).value_or(firstListed);
    const std::optional<bool> isListed = registry.lists(turn.now, owner);
    if (isListed) {
        return !*isListed && turn.now - since >= ReclaimDelay;
    }
    return turn.now - since >= ReclaimDelayWithoutStore;
}

} // namespace indigoway
