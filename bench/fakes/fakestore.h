#pragma once

#include "fakes/timeline.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <map>
#include <optional>
#include <string>

namespace indigoway::fakes {

/** The key-value service as the reducer sees it, without sockets. */
class FakeStore
{
public:
    explicit FakeStore(Timeline &timeline)
        : m_timeline(timeline)
    { }

    /** Carries out @p request now; nothing if it is refused, as a put under an ended lease is. */
    std::optional<StoreResult> call(const StoreRequest &request);
    const std::map<std::string, StoreEntry> &entries() const { return m_entries; }
    std::uint64_t calls() const { return m_calls; }

private:
    StoreResult get(const StoreGet &get) const;
    std::optional<StoreResult> transact(const StoreTransaction &transaction);
    bool holds(const StoreCompare &condition) const;
    void expire();

    struct Lease
    {
        Duration timeToLive {};
        TimePoint ends {};
    };

    Timeline &m_timeline;
    std::map<std::string, StoreEntry> m_entries;
    std::map<std::string, std::int64_t> m_leaseOf;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 0;
    std::int64_t m_lastLease = 0;
    std::uint64_t m_calls = 0;
};

} // namespace indigoway::fakes
