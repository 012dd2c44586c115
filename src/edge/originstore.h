#pragma once

#include "edge/storecallcounts.h"
#include "origins/originbatches.h"
#include "origins/versionnotes.h"
#include "store/keyvaluestore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** Writes and reads what the store knows of the origins of streams. */
class OriginStore
{
public:
    struct Dependencies
    {
        std::string prefix;         ///< Of all items about origins.
        std::string versionsPrefix; ///< Of the notes of versions.
        std::string batchesPrefix;  ///< Of the records of streams.
        std::string writer;         ///< Identifies this run of the process.
        std::function<void(const std::string &kind, const std::string &detail)> record;
        std::function<TimePoint()> now; ///< Returns the present time.
    };
    /** Called once with what was read; nothing if the store did not answer all calls. */
    using ReadHandler = std::function<void(std::optional<origins::StoredOrigins>)>;

    OriginStore(KeyValueStore &store, StoreCallCounts &counts, Dependencies dependencies)
        : m_store(store)
        , m_callCounts(counts)
        , m_dependencies(std::move(dependencies))
    { }

    void write(const std::vector<origins::VersionNotes::Write> &notes);
    void add(const std::vector<origins::StreamRecord> &records);
    /**
     * Starts the call for the collected records, if one is due.
     * @param patience how long records are needed
     */
    void startDueCalls(Duration patience);
    void read(ReadHandler handler);
    std::size_t waitingRecords() const { return m_batches.waiting(); }
    std::uint64_t writes() const { return m_writes; }
    std::uint64_t reads() const { return m_reads; }

private:
    struct Reading
    {
        ReadHandler handler;
        origins::StoredOrigins found;
    };

    void commit(const std::vector<origins::VersionNotes::Write> &notes, StoreLease lease);
    void grantLease(Duration lifetime);
    void writeBatch(const origins::WriteBatchCall &call);
    void batchFailed(StoreError error);
    void readPage(const std::shared_ptr<Reading> &reading, const std::string &after);
    void addItem(Reading &reading, const StoredItem &item);

    KeyValueStore &m_store;
    StoreCallCounts &m_callCounts;
    Dependencies m_dependencies;
    origins::OriginBatches m_batches;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
};

} // namespace indigoway
