#include "originstore.h"

#include <algorithm>
#include <utility>

namespace indigoway {

namespace {

/** An ending note stays until no caller can resume a stream that began just before. */
constexpr Duration NoteMargin = std::chrono::seconds(5);
constexpr Duration MaxLeaseLifetime = std::chrono::minutes(10);

std::string textOf(const std::vector<origins::VersionNotes::Write> &notes)
{
    std::string text;
    for (const auto &[note, revision] : notes) {
        text += " service=" + note.origin.service.text() + " version=" + note.origin.version
            + " ending=" + (note.isEnding ? "yes" : "no");
    }
    return text;
}

} // namespace

void OriginStore::write(const std::vector<origins::VersionNotes::Write> &notes)
{
    std::vector<origins::VersionNotes::Write> lasting;
    std::vector<origins::VersionNotes::Write> ending;
    Duration lifetime {};
    for (const auto &one : notes) {
        (one.note.isEnding ? ending : lasting).push_back(one);
        lifetime = std::max(lifetime, one.note.patience + NoteMargin);
    }
    if (!lasting.empty()) {
        commit(lasting, {});
    }
    if (ending.empty()) {
        return;
    }
    ++m_callCounts.leases;
    m_store.grantLease(std::min(lifetime, MaxLeaseLifetime), [this, ending](const auto &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            m_dependencies.record("version_note_failed", nameOf(*fault));
        } else {
            commit(ending, std::get<GrantedLease>(result).lease);
        }
    });
}

void OriginStore::commit(const std::vector<origins::VersionNotes::Write> &notes, StoreLease lease)
{
    StoreCommit commit;
    for (const auto &[note, revision] : notes) {
        const std::string key = origins::versionNoteKey(m_dependencies.versionsPrefix, note.origin);
        commit.conditions.push_back({key, revision});
        commit.writes.push_back({key, origins::encode(note), lease});
    }
    ++m_callCounts.writes;
    m_store.commit(commit, [this, notes](const std::variant<StoreDone, StoreError> &result) {
        const auto *fault = std::get_if<StoreError>(&result);
        m_dependencies.record(fault ? "version_note_failed" : "version_noted",
                              (fault ? nameOf(*fault) : "") + textOf(notes));
    });
}

void OriginStore::add(const std::vector<origins::StreamRecord> &records)
{
    for (const origins::StreamRecord &record : records) {
        m_batches.add(record, m_dependencies.now());
    }
}

void OriginStore::startDueCalls(Duration patience)
{
    const auto call = m_batches.nextCall(m_dependencies.now(), patience);
    if (!call) {
        return;
    }
    if (const auto *grant = std::get_if<origins::GrantBatchLeaseCall>(&*call)) {
        grantLease(grant->lifetime);
    } else {
        writeBatch(std::get<origins::WriteBatchCall>(*call));
    }
}

void OriginStore::grantLease(Duration lifetime)
{
    ++m_callCounts.leases;
    m_store.grantLease(lifetime, [this](const auto &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            batchFailed(*fault);
        } else {
            m_batches.leaseGranted(m_dependencies.now(), std::get<GrantedLease>(result).lease);
        }
    });
}

void OriginStore::writeBatch(const origins::WriteBatchCall &call)
{
    StoreCommit commit;
    commit.writes.push_back(
        {m_dependencies.batchesPrefix + m_dependencies.writer + "/" + std::to_string(call.batch),
         origins::encodeBatch(call.records), call.lease});
    ++m_callCounts.writes;
    ++m_writes;
    m_store.commit(commit, [this](const std::variant<StoreDone, StoreError> &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            batchFailed(*fault);
        } else {
            m_batches.batchWritten(m_dependencies.now());
        }
    });
}

void OriginStore::batchFailed(StoreError error)
{
    m_batches.callFailed(m_dependencies.now(), error);
    m_dependencies.record("origins_not_stored",
                          std::string(nameOf(error))
                              + " waiting=" + std::to_string(m_batches.waiting()));
}

void OriginStore::read(ReadHandler handler)
{
    ++m_reads;
    readPage(std::make_shared<Reading>(Reading {std::move(handler), {}}), {});
}

void OriginStore::readPage(const std::shared_ptr<Reading> &reading, const std::string &after)
{
    ++m_callCounts.lists;
    m_store.list(m_dependencies.prefix, after, [this, reading](const auto &result) {
        if (const auto *fault = std::get_if<StoreError>(&result)) {
            m_dependencies.record("origins_not_read", nameOf(*fault));
            reading->handler(std::nullopt);
            return;
        }
        const auto &page = std::get<StoredPage>(result);
        for (const StoredItem &item : page.items) {
            addItem(*reading, item);
        }
        if (page.hasMore && !page.items.empty()) {
            readPage(reading, page.items.back().key);
        } else {
            reading->handler(std::move(reading->found));
        }
    });
}

void OriginStore::addItem(Reading &reading, const StoredItem &item)
{
    bool isReadable = true;
    if (item.key.starts_with(m_dependencies.versionsPrefix)) {
        const auto note = origins::readVersionNote(item.value);
        isReadable = note.has_value();
        if (note) {
            reading.found.add(*note);
        }
    } else if (item.key.starts_with(m_dependencies.batchesPrefix)) {
        const auto records = origins::readBatch(item.value);
        isReadable = records.has_value();
        if (records) {
            reading.found.add(*records);
        }
    }
    if (!isReadable) {
        m_dependencies.record("origins_unreadable", "key=" + item.key);
    }
}

} // namespace indigoway
