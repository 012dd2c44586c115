#include "fleet/nodedirectory.h"

#include "fleet/nodeannouncer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace indigoway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

NodeEntry node(const std::string &name)
{
    return {NodeName(name), DomainName("d"), name + ":1", name + ":2"};
}

GrantedLease lease(std::uint64_t number, Duration lifetime = NodeAnnouncer::MinLifetime)
{
    return {StoreLease(number), lifetime};
}

/** Returns the calls per minute of one node in a fleet of @p nodes. */
int callsPerMinute(std::size_t nodes)
{
    constexpr int Minute = 60'000;
    NodeAnnouncer announcer;
    announcer.setTargetLifetime(NodeAnnouncer::lifetimeFor(nodes));
    int calls = 0;
    for (int time = 0; time < Minute; time += 50) {
        const auto call = announcer.nextCall(at(time));
        if (!call) {
            continue;
        }
        ++calls;
        if (const auto *grant = std::get_if<GrantLeaseCall>(&*call)) {
            announcer.leaseGranted(at(time), lease(5, grant->lifetime));
        } else if (std::holds_alternative<PutEntryCall>(*call)) {
            announcer.entryWritten(at(time));
        } else {
            announcer.leaseRenewed(at(time));
        }
    }
    return calls;
}

bool contains(const std::vector<std::string> &list, const std::string &one)
{
    return std::find(list.begin(), list.end(), one) != list.end();
}

} // namespace

class NodeDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeDirectoryTest);
    CPPUNIT_TEST(entryRoundTrip);
    CPPUNIT_TEST(leavingNodeListsOnlyOthers);
    CPPUNIT_TEST(withdrawnNodeIsRetained);
    CPPUNIT_TEST(ranksFollowAnnouncements);
    CPPUNIT_TEST(boundsCallerAddresses);
    CPPUNIT_TEST(rewritesLostEntry);
    CPPUNIT_TEST(backsOffWhileStoreIsUnreachable);
    CPPUNIT_TEST(reportsUnreachableStore);
    CPPUNIT_TEST(renewalRateIsIndependentOfFleetSize);
    CPPUNIT_TEST(replacesLeaseAsFleetGrows);
    CPPUNIT_TEST(leavingNodeWritesNothing);
    CPPUNIT_TEST(countsChangesOfMembers);
    CPPUNIT_TEST_SUITE_END();

public:
    void entryRoundTrip()
    {
        const auto decoded = decodeNodeEntry(encodeNodeEntry(node("n1")));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(*decoded == node("n1"));
        CPPUNIT_ASSERT(!decodeNodeEntry("{}").has_value());
        CPPUNIT_ASSERT(!decodeNodeEntry("no json").has_value());
    }

    void leavingNodeListsOnlyOthers()
    {
        NodeDirectory directory(node("self"));
        directory.announce("k/self", node("self"));
        CPPUNIT_ASSERT(contains(directory.callerAddresses(at(0), 64, 1), "self:1"));
        directory.announce("k/b", node("b"));
        directory.setLeaving();
        const auto addresses = directory.callerAddresses(at(0), 64, 1);
        CPPUNIT_ASSERT(!contains(addresses, "self:1"));
        CPPUNIT_ASSERT(contains(addresses, "b:1"));
    }

    // Guards against an answer without the other nodes when all leases have expired in a store
    // outage.
    void withdrawnNodeIsRetained()
    {
        NodeDirectory directory(node("self"));
        directory.announce("k/b", node("b"));
        directory.withdraw("k/b", at(0));
        CPPUNIT_ASSERT(contains(directory.callerAddresses(at(500), 64, 1), "b:1"));
        CPPUNIT_ASSERT(!contains(directory.callerAddresses(at(3'000), 64, 1), "b:1"));
        CPPUNIT_ASSERT_EQUAL(1U, directory.count(at(3'000)));
    }

    /** Guards against a node that is kept in its domain after it has gone or has changed. */
    void ranksFollowAnnouncements()
    {
        NodeDirectory directory(node("self"));
        NodeEntry large = node("z");
        large.cpuShare = 0.5;
        directory.announce("k/z", large);
        directory.announce("k/b", node("b"));
        const RankedNodes &ranked = directory.nodesInDomain(DomainName("d"));
        CPPUNIT_ASSERT(ranked.begin()->second->name == NodeName("z"));
        large.cpuShare = 0;
        directory.announce("k/z", large);
        CPPUNIT_ASSERT(ranked.begin()->second->name == NodeName("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, ranked.size());
        directory.withdraw("k/b", at(0));
        directory.purgeWithdrawn(at(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, ranked.size());
        directory.withdraw("k/z", at(600));
        directory.announce("k/z", large);
        directory.purgeWithdrawn(at(3'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, ranked.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, directory.members().size());
    }

    void boundsCallerAddresses()
    {
        NodeDirectory directory(node("self"));
        for (int i = 0; i < 100; ++i) {
            const std::string name = "n" + std::to_string(i);
            directory.announce(name, node(name));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {64}, directory.callerAddresses(at(0), 64, 9).size());
    }

    // Guards against a healthy node that stays without an entry after its lease expired or its
    // entry was removed.
    void rewritesLostEntry()
    {
        NodeAnnouncer announcer;
        CPPUNIT_ASSERT(std::holds_alternative<GrantLeaseCall>(*announcer.nextCall(at(0))));
        CPPUNIT_ASSERT(!announcer.nextCall(at(0)).has_value());
        announcer.leaseGranted(at(1), lease(5));
        CPPUNIT_ASSERT(std::holds_alternative<PutEntryCall>(*announcer.nextCall(at(1))));
        announcer.entryWritten(at(2));
        CPPUNIT_ASSERT(!announcer.nextCall(at(3)).has_value());
        CPPUNIT_ASSERT(std::holds_alternative<RenewLeaseCall>(*announcer.nextCall(at(1'000))));
        announcer.callFailed(at(1'001), StoreError::NoLease);
        CPPUNIT_ASSERT(std::holds_alternative<GrantLeaseCall>(*announcer.nextCall(at(1'001))));
        announcer.leaseGranted(at(1'002), lease(6));
        CPPUNIT_ASSERT(std::holds_alternative<PutEntryCall>(*announcer.nextCall(at(1'002))));
        announcer.entryWritten(at(1'003));
        announcer.entryRemoved();
        CPPUNIT_ASSERT(std::holds_alternative<PutEntryCall>(*announcer.nextCall(at(1'004))));
    }

    // Guards against a high rate of billed calls to a store that refuses them, and against a delay
    // after it has recovered.
    void backsOffWhileStoreIsUnreachable()
    {
        NodeAnnouncer announcer;
        announcer.nextCall(at(0));
        announcer.leaseGranted(at(1), lease(5));
        announcer.nextCall(at(1));
        announcer.entryWritten(at(2));
        int calls = 0;
        int time = 1'000;
        for (; time < 9'000; time += 10) {
            if (announcer.nextCall(at(time))) {
                ++calls;
                announcer.callFailed(at(time), StoreError::Refused);
            }
        }
        CPPUNIT_ASSERT(calls >= 4);
        CPPUNIT_ASSERT(calls <= 7);
        announcer.handleStoreRecovery(at(time));
        CPPUNIT_ASSERT(std::holds_alternative<RenewLeaseCall>(*announcer.nextCall(at(time))));
    }

    // Guards against copies of all runs because of a single failed call, and against none while
    // the store is out of reach.
    void reportsUnreachableStore()
    {
        NodeAnnouncer announcer;
        CPPUNIT_ASSERT(!announcer.isStoreUnreachable());
        announcer.nextCall(at(0));
        announcer.callFailed(at(1'000), StoreError::Unanswered);
        CPPUNIT_ASSERT(!announcer.isStoreUnreachable());
        announcer.nextCall(at(2'000));
        announcer.callFailed(at(3'000), StoreError::Unanswered);
        CPPUNIT_ASSERT(announcer.isStoreUnreachable());
        announcer.nextCall(at(9'000));
        announcer.leaseGranted(at(9'001), lease(5));
        CPPUNIT_ASSERT(!announcer.isStoreUnreachable());
    }

    /** Guards against a renewal rate that grows with the fleet. */
    void renewalRateIsIndependentOfFleetSize()
    {
        const std::size_t callsOfThousand = std::size_t {1'000} * callsPerMinute(1'000);
        const std::size_t callsOfTwoThousand = std::size_t {2'000} * callsPerMinute(2'000);
        CPPUNIT_ASSERT(callsOfTwoThousand < callsOfThousand * 5 / 4);
        CPPUNIT_ASSERT_EQUAL(callsPerMinute(7), callsPerMinute(200));
    }

    /** Guards against an entry that expires while its node replaces the lease. */
    void replacesLeaseAsFleetGrows()
    {
        NodeAnnouncer announcer;
        announcer.nextCall(at(0));
        announcer.leaseGranted(at(1), lease(5));
        announcer.nextCall(at(1));
        announcer.entryWritten(at(2));
        announcer.setTargetLifetime(NodeAnnouncer::MinLifetime * 3 / 2);
        CPPUNIT_ASSERT(std::holds_alternative<RenewLeaseCall>(*announcer.nextCall(at(900))));
        announcer.leaseRenewed(at(901));
        announcer.setTargetLifetime(NodeAnnouncer::MinLifetime * 4);
        const auto grant = announcer.nextCall(at(1'800));
        CPPUNIT_ASSERT(std::get<GrantLeaseCall>(*grant).lifetime == NodeAnnouncer::MinLifetime * 4);
        // After a failed grant the existing lease must still be renewed in time.
        announcer.callFailed(at(1'801), StoreError::Refused);
        announcer.setTargetLifetime(NodeAnnouncer::MinLifetime);
        CPPUNIT_ASSERT(std::holds_alternative<RenewLeaseCall>(*announcer.nextCall(at(2'100))));
        announcer.leaseRenewed(at(2'101));
        announcer.setTargetLifetime(NodeAnnouncer::MinLifetime * 4);
        announcer.nextCall(at(3'000));
        announcer.leaseGranted(at(3'001), lease(6, NodeAnnouncer::MinLifetime * 4));
        const auto put = announcer.nextCall(at(3'001));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {6}, std::get<PutEntryCall>(*put).lease.value());
    }

    void leavingNodeWritesNothing()
    {
        NodeAnnouncer announcer;
        announcer.nextCall(at(0));
        announcer.leaseGranted(at(1), lease(5));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {5}, announcer.leave().value());
        CPPUNIT_ASSERT(!announcer.nextCall(at(9'000)).has_value());
    }

    // Guards against nodes that take the dead for members until another one joins.
    void countsChangesOfMembers()
    {
        NodeDirectory directory(node("n1"));
        const std::uint64_t start = directory.changes();
        directory.announce("k2", node("n2"));
        CPPUNIT_ASSERT_EQUAL(start + 1, directory.changes());
        directory.withdraw("k2", at(0));
        directory.purgeWithdrawn(at(100));
        CPPUNIT_ASSERT_EQUAL(start + 1, directory.changes());
        directory.purgeWithdrawn(at(5'000));
        CPPUNIT_ASSERT_EQUAL(start + 2, directory.changes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeDirectoryTest);
