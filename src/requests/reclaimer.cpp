#include "reclaimer.h"

#include "core/turn.h"
#include "membership/membership.h"
#include "membership/registry.h"
#include "requests/requests.h"

#include <algorithm>

namespace indigoway {

namespace {

/** An engine's list lags: a request must be on two lists before anybody is asked. */
constexpr int ReportsBeforeAsking = 2;
constexpr Duration QuestionTimeout = std::chrono::seconds(1);
/** After death; a node that was only cut off has by then been heard of again by some peer. */
constexpr Duration Grace = std::chrono::seconds(5);
/** The same while the store cannot tell whether the owner's lease still runs. */
constexpr Duration GraceWithoutStore = std::chrono::seconds(30);

} // namespace

void Reclaimer::report(Turn &turn, const ReportArrived &report, Requests &requests,
                       const Registry &registry)
{
    std::map<EngineRequestName, Sighting> &before = m_sightings[report.server];
    std::map<EngineRequestName, Sighting> now;
    std::map<NodeLife, std::vector<EngineRequestName>> toAsk;
    for (const EngineRequestName &name : report.requests) {
        const NodeLife owner = ownerOf(name);
        if (owner.node.isEmpty()) {
            continue;
        }
        const auto seen = before.find(name);
        Sighting sighting = seen == before.end() ? Sighting {turn.now, 0} : seen->second;
        ++sighting.reports;
        now[name] = sighting;
        if (sighting.reports < ReportsBeforeAsking) {
            continue;
        }
        if (turn.members.mayBeAlive(owner)) {
            toAsk[owner].push_back(name);
        } else if (isLongDead(turn, owner, registry, sighting.first)) {
            turn.count(Counter::Reclaimed);
            requests.reclaim(turn, report.server, name);
        }
    }
    before = std::move(now);
    for (auto &[owner, names] : toAsk) {
        const auto call = turn.ask(owner.node, FetchOwnedRequests {names}, QuestionTimeout);
        m_questions[call] = {report.server, std::move(names)};
    }
}

bool Reclaimer::handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome,
                             Requests &requests)
{
    const auto it = m_questions.find(call);
    if (it == m_questions.end()) {
        return false;
    }
    const Question question = std::move(it->second);
    m_questions.erase(it);
    const auto *reply = std::get_if<PeerReply>(&outcome);
    const auto *owned = reply ? std::get_if<OwnedRequests>(reply) : nullptr;
    if (!owned) {
        return true;
    }
    for (const EngineRequestName &name : question.requests) {
        if (std::find(owned->requests.begin(), owned->requests.end(), name)
            == owned->requests.end()) {
            turn.count(Counter::Reclaimed);
            requests.reclaim(turn, question.server, name);
        }
    }
    return true;
}

bool Reclaimer::isLongDead(Turn &turn, const NodeLife &owner, const Registry &registry,
                           TimePoint firstSeen) const
{
    // A life never heard of counts from when its request was first seen here.
    const TimePoint since = turn.members.deadSince(owner).value_or(firstSeen);
    const std::optional<bool> isListed = registry.lists(turn.now, owner);
    if (isListed) {
        return !*isListed && turn.now - since >= Grace;
    }
    return turn.now - since >= GraceWithoutStore;
}

} // namespace indigoway
