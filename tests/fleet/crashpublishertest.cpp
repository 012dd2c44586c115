#include "fleet/crashpublisher.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

CrashNote note(const std::string &content, std::uint32_t count)
{
    return {ContentId(content), count};
}

const std::string Prefix = "crashes/";

} // namespace

class CrashPublisherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashPublisherTest);
    CPPUNIT_TEST(writesNotesUnderOwnLease);
    CPPUNIT_TEST(rotatesLeaseBeforeItExpires);
    CPPUNIT_TEST(backsOffWhileStoreIsUnreachable);
    CPPUNIT_TEST(resetReplacesQueuedCrash);
    CPPUNIT_TEST(boundsQueueAndBatch);
    CPPUNIT_TEST(rejectsForeignKeys);
    CPPUNIT_TEST(newerStatesOfAPartReplaceQueuedOnes);
    CPPUNIT_TEST(keysOfPartsAreNotTakenForContents);
    CPPUNIT_TEST_SUITE_END();

public:
    void writesNotesUnderOwnLease()
    {
        CrashPublisher publisher;
        CPPUNIT_ASSERT(!publisher.nextCall(at(0)));
        publisher.enqueue(note("a", 1));
        publisher.enqueue(note("b", 2));
        publisher.enqueue(note("a", 1));
        CPPUNIT_ASSERT(std::holds_alternative<GrantNoteLeaseCall>(*publisher.nextCall(at(0))));
        CPPUNIT_ASSERT(!publisher.nextCall(at(1)));
        publisher.leaseGranted(at(5), StoreLease(7));
        const auto write = std::get<WriteNotesCall>(*publisher.nextCall(at(5)));
        CPPUNIT_ASSERT(write.lease == StoreLease(7));
        CPPUNIT_ASSERT(write.notes == (std::vector<StoredNote> {note("a", 1), note("b", 2)}));
        publisher.enqueue(note("c", 1));
        publisher.notesWritten(at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1},
                             std::get<WriteNotesCall>(*publisher.nextCall(at(10))).notes.size());
    }

    // Guards against a note that expires too early because it was written late in its lease's
    // lifetime.
    void rotatesLeaseBeforeItExpires()
    {
        CrashPublisher publisher;
        publisher.enqueue(note("a", 1));
        publisher.nextCall(at(0));
        publisher.leaseGranted(at(5), StoreLease(7));
        publisher.nextCall(at(5));
        publisher.notesWritten(at(10));
        publisher.enqueue(note("b", 1));
        CPPUNIT_ASSERT(
            std::holds_alternative<GrantNoteLeaseCall>(*publisher.nextCall(at(121'000))));
    }

    void backsOffWhileStoreIsUnreachable()
    {
        CrashPublisher publisher;
        publisher.enqueue(note("a", 1));
        int calls = 0;
        for (int time = 0; time < 20'000; time += 50) {
            if (publisher.nextCall(at(time))) {
                ++calls;
                publisher.callFailed(at(time), StoreError::Unanswered);
            }
        }
        CPPUNIT_ASSERT(calls >= 5);
        CPPUNIT_ASSERT(calls <= 9);
        publisher.handleStoreRecovery(at(20'000));
        CPPUNIT_ASSERT(publisher.nextCall(at(20'000)));
        publisher.leaseGranted(at(20'004), StoreLease(7));
        publisher.nextCall(at(20'004));
        publisher.callFailed(at(20'008), StoreError::NoLease);
        CPPUNIT_ASSERT(std::holds_alternative<GrantNoteLeaseCall>(*publisher.nextCall(at(20'008))));
    }

    // Guards against a crash that is written after the successful answer that followed it, and so
    // counts as a newer one.
    void resetReplacesQueuedCrash()
    {
        CrashPublisher publisher;
        publisher.enqueue(note("a", 1));
        publisher.enqueue(note("b", 1));
        publisher.nextCall(at(0));
        publisher.callFailed(at(1), StoreError::Unanswered);
        publisher.enqueue(note("a", 0));
        publisher.nextCall(at(1'000));
        publisher.leaseGranted(at(1'005), StoreLease(7));
        const auto write = std::get<WriteNotesCall>(*publisher.nextCall(at(1'005)));
        CPPUNIT_ASSERT(write.notes == (std::vector<StoredNote> {note("b", 1), note("a", 0)}));
    }

    void boundsQueueAndBatch()
    {
        CrashPublisher publisher;
        for (int i = 0; i < 1'000; ++i) {
            publisher.enqueue(note("c" + std::to_string(i), 1));
        }
        CPPUNIT_ASSERT_EQUAL(CrashPublisher::MaxQueuedNotes, publisher.queuedCount());
        publisher.nextCall(at(0));
        publisher.leaseGranted(at(0), StoreLease(7));
        CPPUNIT_ASSERT_EQUAL(CrashPublisher::MaxBatchSize,
                             std::get<WriteNotesCall>(*publisher.nextCall(at(0))).notes.size());
    }

    // A store that was away must not get every step of a series.
    void newerStatesOfAPartReplaceQueuedOnes()
    {
        CrashPublisher publisher;
        PartCrashNote part {ServiceName("llm"), PartId(7), {}};
        for (part.crashes.count = 1; part.crashes.count < 4; ++part.crashes.count) {
            publisher.enqueue(part);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, publisher.queuedCount());
    }

    void keysOfPartsAreNotTakenForContents()
    {
        PartCrashNote part {ServiceName("llm"), PartId(7), {}};
        part.crashes.count = 1;
        const std::string key = crashKey(Prefix, part);
        CPPUNIT_ASSERT(isPartCrashKey(Prefix, key));
        CPPUNIT_ASSERT(!isPartCrashKey(Prefix, crashKey(Prefix, note("a", 1))));
        part.crashes.count = 2;
        CPPUNIT_ASSERT(key != crashKey(Prefix, part));
    }

    // Guards against keys of other writers that are taken for crash notes.
    void rejectsForeignKeys()
    {
        const CrashNote one = note("0af3", 2);
        CPPUNIT_ASSERT(parseCrashKey(Prefix, crashKey(Prefix, one)) == one);
        for (const std::string &key :
             {std::string("crashes/"), std::string("crashes/a"), std::string("crashes/a/"),
              std::string("crashes//1"), std::string("crashes/a/x"), std::string("crashes/a/12"),
              std::string("other/a/1"), "crashes/" + std::string(100, 'a') + "/1"}) {
            CPPUNIT_ASSERT(!parseCrashKey(Prefix, key));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashPublisherTest);
