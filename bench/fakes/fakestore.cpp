#include "fakestore.h"

#include <algorithm>

namespace indigoway::fakes {

std::optional<StoreResult> FakeStore::call(const StoreRequest &request)
{
    ++m_calls;
    expire();
    if (const auto *one = std::get_if<StoreGet>(&request)) {
        return get(*one);
    }
    if (const auto *transaction = std::get_if<StoreTransaction>(&request)) {
        return transact(*transaction);
    }
    StoreResult result;
    if (const auto *grant = std::get_if<StoreGrantLease>(&request)) {
        result.lease = ++m_lastLease;
        result.isApplied = true;
        m_leases[result.lease] = {grant->timeToLive, m_timeline.now() + grant->timeToLive};
        return result;
    }
    const auto lease = m_leases.find(std::get<StoreKeepAlive>(request).lease);
    result.isApplied = lease != m_leases.end();
    if (result.isApplied) {
        lease->second.ends = m_timeline.now() + lease->second.timeToLive;
    }
    return result;
}

StoreResult FakeStore::get(const StoreGet &get) const
{
    StoreResult result;
    result.isApplied = true;
    for (auto it = m_entries.lower_bound(get.key); it != m_entries.end(); ++it) {
        if (get.isPrefix ? !it->first.starts_with(get.key) : it->first != get.key) {
            break;
        }
        result.entries.push_back(it->second);
    }
    if (get.newestFirst) {
        std::reverse(result.entries.begin(), result.entries.end());
    }
    if (get.limit > 0 && result.entries.size() > get.limit) {
        result.entries.resize(get.limit);
    }
    return result;
}

bool FakeStore::holds(const StoreCompare &condition) const
{
    const auto it = m_entries.find(condition.key);
    if (condition.value) {
        return it != m_entries.end() && it->second.value == *condition.value;
    }
    return condition.modRevision == (it == m_entries.end() ? 0 : it->second.modRevision);
}

std::optional<StoreResult> FakeStore::transact(const StoreTransaction &transaction)
{
    const bool hasEndedLease =
        std::any_of(transaction.puts.begin(), transaction.puts.end(), [this](const auto &put) {
            return put.lease != 0 && !m_leases.contains(put.lease);
        });
    if (hasEndedLease) {
        return std::nullopt;
    }
    StoreResult result;
    result.isApplied =
        std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                    [this](const StoreCompare &condition) { return holds(condition); });
    if (!result.isApplied) {
        for (const std::string &key : transaction.elseGet) {
            const auto it = m_entries.find(key);
            if (it != m_entries.end()) {
                result.entries.push_back(it->second);
            }
        }
        return result;
    }
    ++m_revision;
    for (const StorePut &put : transaction.puts) {
        m_entries[put.key] = {put.key, put.value, m_revision};
        m_leaseOf[put.key] = put.lease;
    }
    for (const std::string &key : transaction.deletes) {
        m_entries.erase(key);
    }
    return result;
}

void FakeStore::expire()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.ends > m_timeline.now()) {
            ++lease;
            continue;
        }
        std::erase_if(m_entries,
                      [&](const auto &entry) { return m_leaseOf[entry.first] == lease->first; });
        lease = m_leases.erase(lease);
    }
}

} // namespace indigoway::fakes
