#include "fairqueue.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <queue>
#include <tuple>

namespace indigoway::scheduling {

namespace {

/**
 * Half-life of granted memory-time. It spans a few runs, so that a burst counts against its
 * organisation until the runs that it was granted have ended.
 */
constexpr Duration UsageHalfLife = std::chrono::seconds(10);
/** Accounts with less memory-time count as unused; they are neither reported nor kept when full. */
constexpr double MinTokenSeconds = 1;

double decay(Duration elapsed)
{
    return std::exp2(-std::chrono::duration<double>(elapsed) / UsageHalfLife);
}

auto classOf(const FairQueue::Entry &entry)
{
    return std::tie(entry.urgencyClass, entry.priority);
}

} // namespace

std::vector<std::size_t> FairQueue::order(const std::vector<Entry> &entries, TimePoint now) const
{
    Indexes indexes(entries.size());
    std::iota(indexes.begin(), indexes.end(), std::size_t {0});
    std::ranges::stable_sort(indexes, [&entries](std::size_t a, std::size_t b) {
        return std::tuple(classOf(entries[a]), entries[a].latestStart)
            < std::tuple(classOf(entries[b]), entries[b].latestStart);
    });
    for (auto first = indexes.begin(); first != indexes.end();) {
        const auto last = std::find_if(first, indexes.end(), [&](std::size_t index) {
            return classOf(entries[index]) != classOf(entries[*first]);
        });
        const bool isShared = std::any_of(first, last, [&](std::size_t index) {
            return entries[index].organisation != entries[*first].organisation;
        });
        if (isShared) {
            orderFairly(first, last, entries, now);
        }
        first = last;
    }
    return indexes;
}

void FairQueue::orderFairly(Indexes::iterator first, Indexes::iterator last,
                            const std::vector<Entry> &entries, TimePoint now) const
{
    struct Party
    {
        double tokenSeconds = 0;
        Indexes claims; ///< In order of latest start.
        std::size_t next = 0;
    };
    const auto overdue = std::stable_partition(first, last, [&](std::size_t index) {
        return mustNotBeOvertaken(entries[index].overtakenAt, now);
    });
    std::map<OrganisationName, Party> parties;
    for (auto it = first; it != last; ++it) {
        const Entry &entry = entries[*it];
        const auto [party, isNew] = parties.try_emplace(entry.organisation);
        if (isNew) {
            party->second.tokenSeconds = used(entry.organisation, now);
        }
        if (it < overdue) {
            party->second.tokenSeconds += entry.tokenSeconds;
        } else {
            party->second.claims.push_back(*it);
        }
    }
    // Serves the next claim of the party with the least memory-time, and charges it. The order of
    // names decides between equal parties.
    std::vector<Party *> partiesByName;
    partiesByName.reserve(parties.size());
    for (auto &[name, party] : parties) {
        partiesByName.push_back(&party);
    }
    using Turn = std::tuple<double, TimePoint, std::size_t>;
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
    const auto takeTurn = [&](std::size_t number) {
        const Party &party = *partiesByName[number];
        if (party.next < party.claims.size()) {
            turns.emplace(party.tokenSeconds, entries[party.claims[party.next]].latestStart,
                          number);
        }
    };
    for (std::size_t number = 0; number < partiesByName.size(); ++number) {
        takeTurn(number);
    }
    for (auto place = overdue; place != last; ++place) {
        const auto number = std::get<std::size_t>(turns.top());
        turns.pop();
        Party &party = *partiesByName[number];
        *place = party.claims[party.next++];
        party.tokenSeconds += entries[*place].tokenSeconds;
        takeTurn(number);
    }
}

bool FairQueue::mustNotBeOvertaken(const std::optional<TimePoint> &overtakenAt, TimePoint now)
{
    return overtakenAt && now >= *overtakenAt + MaxOvertakenTime;
}

void FairQueue::charge(const OrganisationName &organisation, double tokenSeconds, TimePoint at,
                       TimePoint now)
{
    auto it = m_accounts.find(organisation);
    if (it == m_accounts.end() && m_accounts.size() >= MaxOrganisations) {
        removeIdleAccounts(now);
    }
    if (it == m_accounts.end()) {
        const bool hasRoom = m_accounts.size() < MaxOrganisations;
        it = m_accounts.try_emplace(hasRoom ? organisation : OrganisationName()).first;
    }
    const double remaining = tokenSeconds * decay(now - at);
    it->second = {std::max(usedAt(it->second, now) + remaining, 0.0), now};
}

std::vector<FairQueue::Usage> FairQueue::usage(TimePoint now) const
{
    std::vector<Usage> shares;
    double total = 0;
    for (const auto &[organisation, account] : m_accounts) {
        const double tokenSeconds = usedAt(account, now);
        if (tokenSeconds >= MinTokenSeconds) {
            shares.push_back({organisation, tokenSeconds});
            total += tokenSeconds;
        }
    }
    for (Usage &usage : shares) {
        usage.share /= total;
    }
    std::ranges::stable_sort(shares, std::ranges::greater(), &Usage::share);
    return shares;
}

double FairQueue::usedAt(const Account &account, TimePoint now)
{
    return account.tokenSeconds * decay(now - account.updatedAt);
}

double FairQueue::used(const OrganisationName &organisation, TimePoint now) const
{
    auto it = m_accounts.find(organisation);
    if (it == m_accounts.end() && m_accounts.size() >= MaxOrganisations) {
        it = m_accounts.find(OrganisationName());
    }
    return it == m_accounts.end() ? 0 : usedAt(it->second, now);
}

void FairQueue::removeIdleAccounts(TimePoint now)
{
    std::erase_if(m_accounts,
                  [now](const auto &one) { return usedAt(one.second, now) < MinTokenSeconds; });
}

} // namespace indigoway::scheduling
