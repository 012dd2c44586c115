#include "storerecords.h"

namespace indigoway {

namespace {

TimePoint present()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

StoreRecords::StoreRecords(KeyValueStore &store, StoreCalls &calls, Wiring wiring, std::string life)
    : m_store(store)
    , m_calls(calls)
    , m_wiring(std::move(wiring))
    , m_leadership(std::move(life))
{ }

void StoreRecords::pump(const Standing &standing)
{
    m_standing = standing;
    pumpAnnouncer();
    pumpLeadership();
    pumpPublisher();
}

void StoreRecords::storeIsBack(TimePoint now)
{
    m_announcer.storeRecovered(now);
    m_publisher.storeRecovered(now);
}

void StoreRecords::changed(const std::string &key, const std::string *value, std::uint64_t revision,
                           TimePoint now)
{
    if (!value && key == m_wiring.ownKey) {
        m_announcer.entryRemoved();
    }
    if (key == m_wiring.recordKey && value) {
        m_leadership.updateRecord(revision);
    }
    if (key == m_wiring.leaderKey) {
        m_leadership.updateHolder(value, revision, now);
        m_wiring.record("order_right",
                        "holder=" + (value ? *value : std::string("none"))
                            + " token=" + std::to_string(revision));
    }
}

std::optional<std::uint64_t> StoreRecords::orderToken(TimePoint now) const
{
    return m_standing.isCurrent ? m_leadership.fencingToken(now, m_announcer.renewedAt())
                                : std::nullopt;
}

void StoreRecords::leave()
{
    const StoreLease lease = m_announcer.leave();
    if (lease.isNone()) {
        return;
    }
    ++m_calls.leases;
    m_store.revokeLease(lease, [this](const std::variant<StoreDone, StoreError> &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            m_wiring.record("entry_not_ended", nameOf(*fault));
        }
    });
}

void StoreRecords::publish(const CrashNote &note)
{
    m_publisher.enqueue(note);
    pumpPublisher();
}

void StoreRecords::pumpAnnouncer()
{
    m_announcer.setTargetLifetime(m_standing.leaseLifetime);
    const auto call = m_announcer.nextCall(present());
    if (!call) {
        return;
    }
    if (const auto *grant = std::get_if<GrantLeaseCall>(&*call)) {
        ++m_calls.leases;
        m_store.grantLease(grant->lifetime, [this](const auto &result) {
            if (const auto *fault = std::get_if<StoreError>(&result)) {
                m_announcer.callFailed(present(), *fault);
            } else {
                m_announcer.leaseGranted(present(), std::get<GrantedLease>(result));
            }
            pumpAnnouncer();
        });
    } else if (const auto *put = std::get_if<PutEntryCall>(&*call)) {
        StoreCommit commit;
        commit.writes.push_back({m_wiring.ownKey, encodeNodeEntry(m_self), put->lease});
        ++m_calls.writes;
        m_store.commit(commit, [this](const auto &result) {
            if (noteAnnouncement(result)) {
                m_announcer.entryWritten(present());
            }
            pumpAnnouncer();
        });
    } else {
        ++m_calls.renewals;
        m_store.renewLease(std::get<RenewLeaseCall>(*call).lease, [this](const auto &result) {
            if (noteAnnouncement(result)) {
                m_announcer.leaseRenewed(present());
            }
            pumpAnnouncer();
        });
    }
}

bool StoreRecords::noteAnnouncement(const std::variant<StoreDone, StoreError> &result)
{
    const auto *fault = std::get_if<StoreError>(&result);
    if (!fault) {
        return true;
    }
    m_announcer.callFailed(present(), *fault);
    m_wiring.record("entry_not_kept", nameOf(*fault));
    return false;
}

void StoreRecords::pumpLeadership()
{
    const bool mayAsk = m_standing.isCurrent && m_standing.isWatcher && m_announcer.isAnnounced()
        && !m_announcer.lease().isNone();
    if (!mayAsk || !m_leadership.shouldAcquire(present())) {
        return;
    }
    StoreCommit commit;
    commit.conditions.push_back({m_wiring.leaderKey, 0});
    commit.writes.push_back({m_wiring.leaderKey, m_leadership.identity(), m_announcer.lease()});
    // Whether it was done shows in the copy of the store, also where the answer is lost.
    ++m_calls.writes;
    m_store.commit(commit, [this](const std::variant<StoreDone, StoreError> &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            m_wiring.record("order_right_not_taken", nameOf(*fault));
        }
    });
}

void StoreRecords::prepareOrders()
{
    if (!m_standing.isCurrent || !m_leadership.shouldWriteRecord(present())) {
        return;
    }
    StoreCommit commit;
    commit.conditions.push_back({m_wiring.leaderKey, m_leadership.revision()});
    commit.conditions.push_back({m_wiring.recordKey, 0});
    commit.writes.push_back({m_wiring.recordKey, m_leadership.identity(), StoreLease()});
    ++m_calls.writes;
    m_store.commit(commit, [this](const std::variant<StoreDone, StoreError> &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            m_wiring.record("orders_not_prepared", nameOf(*fault));
        }
    });
}

void StoreRecords::pumpPublisher()
{
    const auto call = m_publisher.nextCall(present());
    if (!call) {
        return;
    }
    if (const auto *write = std::get_if<WriteNotesCall>(&*call)) {
        writeNotes(*write);
        return;
    }
    ++m_calls.leases;
    m_store.grantLease(CrashPublisher::LeaseLifetime, [this](const auto &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            notesFailed(*fault);
        } else {
            m_publisher.leaseGranted(present(), std::get<GrantedLease>(result).lease);
        }
        pumpPublisher();
    });
}

void StoreRecords::writeNotes(const WriteNotesCall &call)
{
    StoreCommit commit;
    for (const CrashNote &note : call.notes) {
        commit.writes.push_back(
            {crashKey(m_wiring.crashesPrefix, note), m_self.name.text(), call.lease});
    }
    ++m_calls.writes;
    m_store.commit(commit, [this](const auto &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            notesFailed(*fault);
        } else {
            m_publisher.notesWritten(present());
        }
        pumpPublisher();
    });
}

void StoreRecords::notesFailed(StoreError fault)
{
    m_publisher.callFailed(present(), fault);
    m_wiring.record("crash_not_shared",
                    std::string(nameOf(fault))
                        + " waiting=" + std::to_string(m_publisher.queuedCount()));
}

} // namespace indigoway
