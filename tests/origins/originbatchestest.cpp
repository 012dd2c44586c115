#include "origins/originbatches.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::origins;
using namespace std::chrono_literals;

namespace {

constexpr Duration Patience = std::chrono::seconds(16);
const StoreLease Lease(5);

TimePoint at(Duration time)
{
    return TimePoint {} + std::chrono::hours(1) + time;
}

StreamRecord recordOf(int number, const std::string &version = "v1")
{
    return {StreamId("stream-" + std::to_string(number)), {ServiceName("llm"), version}};
}

/** Batches whose lease was granted. */
OriginBatches withLease(const StreamRecord &first)
{
    OriginBatches batches;
    batches.add(first, at(0ms));
    const auto call = batches.nextCall(at(0ms), Patience);
    CPPUNIT_ASSERT(std::holds_alternative<GrantBatchLeaseCall>(call.value()));
    CPPUNIT_ASSERT(std::get<GrantBatchLeaseCall>(*call).lifetime
                   >= Patience + OriginBatches::LeaseRotation);
    batches.leaseGranted(at(5ms), Lease);
    return batches;
}

std::optional<WriteBatchCall> nextWrite(OriginBatches &batches, Duration time)
{
    const auto call = batches.nextCall(at(time), Patience);
    return call && std::holds_alternative<WriteBatchCall>(*call)
        ? std::optional(std::get<WriteBatchCall>(*call))
        : std::nullopt;
}

} // namespace

class OriginBatchesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OriginBatchesTest);
    CPPUNIT_TEST(recordsOfAShortTimeShareAWrite);
    CPPUNIT_TEST(writesOfAShortTimeShareAnItem);
    CPPUNIT_TEST(keepsWhatWasNotWritten);
    CPPUNIT_TEST(boundsWhatWaits);
    CPPUNIT_TEST(newLeaseBeginsANewItem);
    CPPUNIT_TEST(readsWhatItEncodes);
    CPPUNIT_TEST(unreadableBatchesAreRefused);
    CPPUNIT_TEST(streamWithTwoOriginsHasNone);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordsOfAShortTimeShareAWrite()
    {
        OriginBatches batches = withLease(recordOf(1));
        batches.add(recordOf(2), at(100ms));
        CPPUNIT_ASSERT(!nextWrite(batches, OriginBatches::WriteDelay - 1ms));
        const auto write = nextWrite(batches, OriginBatches::WriteDelay);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, write.value().records.size());
        CPPUNIT_ASSERT(write->lease == Lease);
        batches.add(recordOf(3), at(210ms));
        CPPUNIT_ASSERT(!nextWrite(batches, 1s)); // One call at a time.
        batches.batchWritten(at(1s));
        CPPUNIT_ASSERT(nextWrite(batches, 1s));
    }

    // Guards against listings of the store that grow by an item with each write.
    void writesOfAShortTimeShareAnItem()
    {
        OriginBatches batches = withLease(recordOf(0));
        std::set<std::uint64_t> items;
        std::size_t writes = 0;
        for (int i = 1; i <= 100; ++i) {
            const Duration now = std::chrono::milliseconds(100 * i);
            batches.add(recordOf(i), at(now));
            if (const auto write = nextWrite(batches, now)) {
                items.insert(write->batch);
                batches.batchWritten(at(now));
                ++writes;
            }
        }
        CPPUNIT_ASSERT(writes > 30);
        CPPUNIT_ASSERT(items.size() <= 6);
    }

    // Guards against records that are lost while the store is away for a moment.
    void keepsWhatWasNotWritten()
    {
        OriginBatches batches = withLease(recordOf(1));
        CPPUNIT_ASSERT(nextWrite(batches, 200ms));
        batches.add(recordOf(2), at(300ms));
        batches.callFailed(at(400ms), StoreError::Unanswered);
        CPPUNIT_ASSERT(!nextWrite(batches, 500ms));
        const auto again = nextWrite(batches, 700ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, again.value().records.size());
        CPPUNIT_ASSERT(again->records.front() == recordOf(1));
        batches.callFailed(at(800ms), StoreError::NoLease);
        const auto call = batches.nextCall(at(800ms), Patience);
        CPPUNIT_ASSERT(std::holds_alternative<GrantBatchLeaseCall>(call.value()));
    }

    void boundsWhatWaits()
    {
        OriginBatches batches;
        for (std::size_t i = 0; i < 2 * OriginBatches::MaxWaiting; ++i) {
            batches.add(recordOf(static_cast<int>(i)), at(0ms));
        }
        CPPUNIT_ASSERT_EQUAL(OriginBatches::MaxWaiting, batches.waiting());
        batches.nextCall(at(0ms), Patience);
        batches.leaseGranted(at(0ms), Lease);
        const auto write = nextWrite(batches, 1s);
        CPPUNIT_ASSERT_EQUAL(OriginBatches::MaxItemRecords, write.value().records.size());
    }

    // Guards against records that expire late or early with another item's lease.
    void newLeaseBeginsANewItem()
    {
        OriginBatches batches = withLease(recordOf(1));
        const auto first = nextWrite(batches, OriginBatches::LeaseRotation - 100ms);
        batches.batchWritten(at(OriginBatches::LeaseRotation - 100ms));
        batches.add(recordOf(2), at(OriginBatches::LeaseRotation));
        CPPUNIT_ASSERT(!nextWrite(batches, OriginBatches::LeaseRotation));
        batches.leaseGranted(at(OriginBatches::LeaseRotation), StoreLease(6));
        const auto second = nextWrite(batches, OriginBatches::LeaseRotation + 300ms);
        CPPUNIT_ASSERT(second.value().batch != first.value().batch);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, second->records.size());
    }

    void readsWhatItEncodes()
    {
        const std::vector<StreamRecord> records {recordOf(1), recordOf(2, "v2"), recordOf(3)};
        const auto read = readBatch(encodeBatch(records));
        CPPUNIT_ASSERT_EQUAL(records.size(), read.value().size());
        StoredOrigins found;
        found.add(*read);
        for (const StreamRecord &record : records) {
            CPPUNIT_ASSERT(found.originOf(record.stream) == record.origin);
        }
        CPPUNIT_ASSERT(!found.originOf(StreamId("other")));
    }

    void unreadableBatchesAreRefused()
    {
        for (const std::string text : {"", "{}", "[1]", "[[\"llm\",\"v1\"]]",
                                       "[[\"llm\",\"v1\",{}]]", "[[\"llm\",\"v1\",[1]]]"}) {
            CPPUNIT_ASSERT(!readBatch(text));
        }
    }

    // Guards against a stream that goes on at one of two versions recorded under its id.
    void streamWithTwoOriginsHasNone()
    {
        StoredOrigins found;
        found.add({recordOf(1), recordOf(1)});
        CPPUNIT_ASSERT(found.originOf(recordOf(1).stream));
        found.add({recordOf(1, "v2")});
        CPPUNIT_ASSERT(!found.originOf(recordOf(1).stream));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginBatchesTest);
