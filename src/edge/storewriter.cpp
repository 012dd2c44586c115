#include "storewriter.h"

#include "crashes/partcrashcodec.h"

namespace indigoway {

StoreWriter::StoreWriter(KeyValueStore &store, StoreCallCounts &counts, Dependencies dependencies,
                         std::string incarnationId)
    : m_store(store)
    , m_callCounts(counts)
    , m_dependencies(std::move(dependencies))
    , m_leadership(std::move(incarnationId))
{ }

void StoreWriter::startDueCalls(const NodeStatus &status)
{
    m_status = status;
    startAnnouncerCall();
    acquireOrderRight();
    startPublisherCall();
}

void StoreWriter::handleStoreRecovery(TimePoint now)
{
    m_announcer.handleStoreRecovery(now);
    m_publisher.handleStoreRecovery(now);
}

void StoreWriter::handleChange(const std::string &key, const std::string *value,
                               std::uint64_t revision, TimePoint now)
{
    if (!value && key == m_dependencies.nodeKey) {
        m_announcer.entryRemoved();
    }
    if (key == m_dependencies.ordersRecordKey && value) {
        m_leadership.updateRecord(revision);
    }
    if (key == m_dependencies.ordersLeaderKey) {
        m_leadership.updateHolder(value, revision, now);
        m_dependencies.record("order_right",
                              "holder=" + (value ? *value : std::string("none"))
                                  + " token=" + std::to_string(revision));
    }
}

std::optional<std::uint64_t> StoreWriter::orderToken(TimePoint now) const
{
    return m_status.isCurrent ? m_leadership.fencingToken(now, m_announcer.renewedAt())
                              : std::nullopt;
}

void StoreWriter::leave()
{
    const StoreLease lease = m_announcer.leave();
    if (lease.isNone()) {
        return;
    }
    ++m_callCounts.leases;
    m_store.revokeLease(lease, [this](const std::variant<StoreDone, StoreError> &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            m_dependencies.record("entry_not_ended", nameOf(*fault));
        }
    });
}

void StoreWriter::publish(const StoredNote &note)
{
    std::visit([this](const auto &one) { m_publisher.enqueue(one); }, note);
    startPublisherCall();
}

void StoreWriter::startAnnouncerCall()
{
    m_announcer.setTargetLifetime(m_status.leaseLifetime);
    const auto call = m_announcer.nextCall(m_dependencies.now());
    if (!call) {
        return;
    }
    if (const auto *grant = std::get_if<GrantLeaseCall>(&*call)) {
        ++m_callCounts.leases;
        m_store.grantLease(grant->lifetime, [this](const auto &result) {
            if (const auto *fault = std::get_if<StoreError>(&result)) {
                m_announcer.callFailed(m_dependencies.now(), *fault);
            } else {
                m_announcer.leaseGranted(m_dependencies.now(), std::get<GrantedLease>(result));
            }
            startAnnouncerCall();
        });
    } else if (const auto *put = std::get_if<PutEntryCall>(&*call)) {
        StoreCommit commit;
        commit.writes.push_back({m_dependencies.nodeKey, encodeNodeEntry(m_self), put->lease});
        ++m_callCounts.writes;
        m_store.commit(commit, [this](const auto &result) {
            if (handleAnnouncementResult(result)) {
                m_announcer.entryWritten(m_dependencies.now());
            }
            startAnnouncerCall();
        });
    } else {
        ++m_callCounts.renewals;
        m_store.renewLease(std::get<RenewLeaseCall>(*call).lease, [this](const auto &result) {
            if (handleAnnouncementResult(result)) {
                m_announcer.leaseRenewed(m_dependencies.now());
            }
            startAnnouncerCall();
        });
    }
}

bool StoreWriter::handleAnnouncementResult(const std::variant<StoreDone, StoreError> &result)
{
    const auto *fault = std::get_if<StoreError>(&result);
    if (!fault) {
        return true;
    }
    m_announcer.callFailed(m_dependencies.now(), *fault);
    m_dependencies.record("entry_not_kept", nameOf(*fault));
    return false;
}

void StoreWriter::acquireOrderRight()
{
    const bool mayAsk = m_status.isCurrent && m_status.isWatcher && m_announcer.isAnnounced()
        && !m_announcer.lease().isNone();
    if (!mayAsk || !m_leadership.shouldAcquire(m_dependencies.now())) {
        return;
    }
    StoreCommit commit;
    commit.conditions.push_back({m_dependencies.ordersLeaderKey, 0});
    commit.writes.push_back(
        {m_dependencies.ordersLeaderKey, m_leadership.identity(), m_announcer.lease()});
    // The result shows in the copy of the store, even if the response is lost.
    ++m_callCounts.writes;
    m_store.commit(commit, [this](const std::variant<StoreDone, StoreError> &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            m_dependencies.record("order_right_not_taken", nameOf(*fault));
        }
    });
}

void StoreWriter::prepareOrders()
{
    if (!m_status.isCurrent || !m_leadership.shouldWriteRecord(m_dependencies.now())) {
        return;
    }
    StoreCommit commit;
    commit.conditions.push_back({m_dependencies.ordersLeaderKey, m_leadership.revision()});
    commit.conditions.push_back({m_dependencies.ordersRecordKey, 0});
    commit.writes.push_back(
        {m_dependencies.ordersRecordKey, m_leadership.identity(), StoreLease()});
    ++m_callCounts.writes;
    m_store.commit(commit, [this](const std::variant<StoreDone, StoreError> &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            m_dependencies.record("orders_not_prepared", nameOf(*fault));
        }
    });
}

void StoreWriter::startPublisherCall()
{
    const auto call = m_publisher.nextCall(m_dependencies.now());
    if (!call) {
        return;
    }
    if (const auto *write = std::get_if<WriteNotesCall>(&*call)) {
        writeNotes(*write);
        return;
    }
    ++m_callCounts.leases;
    m_store.grantLease(CrashPublisher::LeaseLifetime, [this](const auto &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            handlePublishFailure(*fault);
        } else {
            m_publisher.leaseGranted(m_dependencies.now(), std::get<GrantedLease>(result).lease);
        }
        startPublisherCall();
    });
}

void StoreWriter::writeNotes(const WriteNotesCall &call)
{
    StoreCommit commit;
    for (const StoredNote &note : call.notes) {
        const auto *part = std::get_if<PartCrashNote>(&note);
        const std::string key = std::visit(
            [this](const auto &one) { return crashKey(m_dependencies.crashesPrefix, one); }, note);
        commit.writes.push_back(
            {key, part ? crashes::encodeItem(*part) : m_self.name.text(), call.lease});
    }
    ++m_callCounts.writes;
    m_store.commit(commit, [this](const auto &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            handlePublishFailure(*fault);
        } else {
            m_publisher.notesWritten(m_dependencies.now());
        }
        startPublisherCall();
    });
}

void StoreWriter::handlePublishFailure(StoreError fault)
{
    m_publisher.callFailed(m_dependencies.now(), fault);
    m_dependencies.record("crash_not_shared",
                          std::string(nameOf(fault))
                              + " waiting=" + std::to_string(m_publisher.queuedCount()));
}

} // namespace indigoway
