#include "claimqueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace indigoway::scheduling {

namespace {

/** First attempts that can no longer meet their target are served like retried claims. */
constexpr int LateClass = static_cast<int>(Urgency::Retried);

FairQueue::Entry fairEntry(const WaitingClaim &waiting, int urgencyClass)
{
    return {urgencyClass,         waiting.claim.priority,
            waiting.latestStart,  waiting.claim.organisation,
            waiting.tokenSeconds, waiting.overtakenAt};
}

} // namespace

double meanTokens(const MemoryNeed &need)
{
    return static_cast<double>(need.contextTokens) + static_cast<double>(need.outputTokens) / 2;
}

void ClaimQueue::removeOtherIncarnations(const NodeLife &owner)
{
    std::erase_if(m_claims,
                  [&owner](const auto &one) { return one.first.isOfOtherIncarnation(owner); });
}

std::vector<std::pair<ClaimKey, Duration>> ClaimQueue::takeOverdue(TimePoint now)
{
    std::vector<std::pair<ClaimKey, Duration>> overdue;
    std::erase_if(m_claims, [&](const auto &one) {
        const Duration waited = now - one.second.since;
        const bool isOverdue = waited > one.second.claim.maxWait;
        if (isOverdue) {
            overdue.emplace_back(one.first, waited);
        }
        return isOverdue;
    });
    return overdue;
}

std::set<ServiceName> ClaimQueue::services() const
{
    std::set<ServiceName> services;
    for (const auto &[key, waiting] : m_claims) {
        services.insert(waiting.claim.service);
    }
    return services;
}

std::vector<const ClaimQueue::Entry *> ClaimQueue::servingOrder(TimePoint now, Duration prefillWait,
                                                                const ServiceName &service) const
{
    std::vector<const Entry *> claims;
    std::vector<FairQueue::Entry> entries;
    for (const Entry &one : m_claims) {
        const WaitingClaim &waiting = one.second;
        if (waiting.claim.service == service) {
            const bool isLate = waiting.claim.urgency == Urgency::FirstAttempt
                && now + prefillWait > waiting.latestStart
                && !FairQueue::mustNotBeOvertaken(waiting.overtakenAt, now);
            claims.push_back(&one);
            entries.push_back(
                fairEntry(waiting, isLate ? LateClass : static_cast<int>(waiting.claim.urgency)));
        }
    }
    std::vector<const Entry *> ordered;
    ordered.reserve(claims.size());
    for (const std::size_t index : fairQueue(service).order(entries, now)) {
        ordered.push_back(claims[index]);
    }
    return ordered;
}

std::vector<const WaitingClaim *> ClaimQueue::servedBefore(TimePoint now,
                                                           const WaitingClaim &waiting) const
{
    const auto rankOf = [](const Claim &claim) {
        return std::tie(claim.urgency, claim.priority);
    };
    std::vector<const WaitingClaim *> before;
    std::vector<const WaitingClaim *> sameClass;
    bool isShared = false;
    for (const auto &[key, other] : m_claims) {
        if (other.claim.service != waiting.claim.service) {
            continue;
        }
        if (rankOf(other.claim) < rankOf(waiting.claim)) {
            before.push_back(&other);
        } else if (rankOf(other.claim) == rankOf(waiting.claim)) {
            sameClass.push_back(&other);
            isShared = isShared || other.claim.organisation != waiting.claim.organisation;
        }
    }
    if (!isShared) {
        std::ranges::copy_if(sameClass, std::back_inserter(before), [&](const auto *other) {
            return other->latestStart <= waiting.latestStart;
        });
        return before;
    }
    std::vector<FairQueue::Entry> entries;
    entries.reserve(sameClass.size() + 1);
    for (const WaitingClaim *other : sameClass) {
        entries.push_back(fairEntry(*other, 0));
    }
    entries.push_back(fairEntry(waiting, 0));
    for (const std::size_t index : fairQueue(waiting.claim.service).order(entries, now)) {
        if (index == sameClass.size()) {
            break;
        }
        before.push_back(sameClass[index]);
    }
    return before;
}

void ClaimQueue::takeGranted(TimePoint now, const ClaimKey &key)
{
    const auto it = m_claims.find(key);
    if (it == m_claims.end()) {
        return;
    }
    const WaitingClaim &granted = it->second;
    const Claim &claim = granted.claim;
    m_fairQueues[claim.service].charge(claim.organisation, granted.tokenSeconds, now, now);
    const auto [starts, isNew] = m_grantedStarts.try_emplace(
        classOf(claim), GrantedStarts {claim.organisation, granted.latestStart, std::nullopt});
    if (!isNew) {
        starts->second.add(claim.organisation, granted.latestStart);
    }
    m_claims.erase(it);
}

void ClaimQueue::recordOvertaking(TimePoint now)
{
    if (m_grantedStarts.empty()) {
        return;
    }
    for (auto &[key, waiting] : m_claims) {
        const auto it = m_grantedStarts.find(classOf(waiting.claim));
        if (!waiting.overtakenAt && it != m_grantedStarts.end()
            && it->second.hasOvertaken(waiting)) {
            waiting.overtakenAt = now;
        }
    }
    m_grantedStarts.clear();
}

void ClaimQueue::recordEnd(const ServiceName &service, const OrganisationName &organisation,
                           double expectedTokenSeconds, double usedTokenSeconds,
                           TimePoint grantedAt, TimePoint now)
{
    m_fairQueues[service].charge(organisation, usedTokenSeconds - expectedTokenSeconds, grantedAt,
                                 now);
}

double ClaimQueue::waitingTokens(const ServiceName &service) const
{
    double tokens = 0;
    for (const auto &[key, waiting] : m_claims) {
        if (waiting.claim.service == service) {
            tokens += static_cast<double>(waiting.claim.memory.contextTokens
                                          + waiting.claim.memory.outputTokens);
        }
    }
    return tokens;
}

std::vector<ClaimQueue::OrganisationState> ClaimQueue::organisations(TimePoint now,
                                                                     std::size_t limit) const
{
    std::map<std::pair<ServiceName, OrganisationName>, OrganisationState> states;
    const auto stateOf = [&states](const ServiceName &service, const OrganisationName &name) {
        const auto [it, isNew] = states.try_emplace({service, name});
        it->second.service = service;
        it->second.organisation = name;
        return it;
    };
    for (const auto &[key, waiting] : m_claims) {
        ++stateOf(waiting.claim.service, waiting.claim.organisation)->second.waiting;
    }
    for (const auto &[service, queue] : m_fairQueues) {
        for (const FairQueue::Usage &usage : queue.usage(now)) {
            stateOf(service, usage.organisation)->second.usageShare = usage.share;
        }
    }
    std::vector<OrganisationState> result;
    for (const auto &[key, state] : states) {
        if (!state.organisation.isEmpty()) {
            result.push_back(state);
        }
    }
    std::ranges::stable_sort(result, std::ranges::greater(), [](const OrganisationState &state) {
        return std::pair(state.waiting, state.usageShare);
    });
    result.resize(std::min(result.size(), limit));
    return result;
}

void ClaimQueue::GrantedStarts::add(const OrganisationName &name, TimePoint start)
{
    if (name == organisation) {
        latestStart = std::max(latestStart, start);
    } else if (start > latestStart) {
        otherLatestStart = std::exchange(latestStart, start);
        organisation = name;
    } else {
        otherLatestStart = std::max(otherLatestStart.value_or(start), start);
    }
}

bool ClaimQueue::GrantedStarts::hasOvertaken(const WaitingClaim &waiting) const
{
    const auto other = waiting.claim.organisation == organisation ? otherLatestStart : latestStart;
    return other && *other > waiting.latestStart;
}

ClaimQueue::Class ClaimQueue::classOf(const Claim &claim)
{
    return {claim.service, claim.urgency, claim.priority};
}

const FairQueue &ClaimQueue::fairQueue(const ServiceName &service) const
{
    static const FairQueue Unused;
    const auto it = m_fairQueues.find(service);
    return it == m_fairQueues.end() ? Unused : it->second;
}

} // namespace indigoway::scheduling
