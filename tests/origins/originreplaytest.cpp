#include "origins/originfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>

using namespace indigoway;
using namespace indigoway::origins;
using namespace std::chrono_literals;

namespace {

/** Streams of two seconds; those of the last one are resumed after a fault. */
struct Replay
{
    int nodes = 0;
    int domains = 0;
    double streamsPerSecond = 0; ///< Of one node.
    double loss = 0;
};

struct Result
{
    int resumed = 0;
    int known = 0;
    int wrong = 0;
    Duration longest {};
    double messagesPerStream = 0; ///< Notices, confirmations and repetitions.
    double bytesPerSecond = 0;    ///< Sent by one node, for notices and their confirmations.
};

std::string versionOf(int stream)
{
    return stream % 2 == 0 ? "v1" : "v2";
}

/** Begins streams, lets @p strike kill nodes, and resumes the streams of the dead at the others. */
template <typename Strike>
Result play(const Replay &replay, const Strike &strike)
{
    OriginFleet fleet(replay.nodes, replay.domains, 20261203);
    fleet.setLoss(replay.loss);
    std::mt19937_64 random(7);
    const int streams = static_cast<int>(replay.nodes * replay.streamsPerSecond);
    std::vector<int> nodeOf;
    std::uint64_t bytesBefore = 0;
    std::uint64_t messagesBefore = 0;
    const int first = streams; // Of the last second.
    for (int i = 0; i < first + streams; ++i) {
        if (i == first) {
            bytesBefore = fleet.bytes();
            messagesBefore = fleet.messages();
        }
        nodeOf.push_back(static_cast<int>(random() % static_cast<unsigned>(replay.nodes)));
        fleet.begin(nodeOf.back(), "stream-" + std::to_string(i), versionOf(i));
        if (i % 10 == 0) {
            fleet.advance(std::chrono::microseconds(10'000'000 / streams));
        }
    }
    Result result;
    result.bytesPerSecond = static_cast<double>(fleet.bytes() - bytesBefore) / replay.nodes;
    result.messagesPerStream = static_cast<double>(fleet.messages() - messagesBefore) / streams;
    strike(fleet);
    std::vector<int> alive;
    for (int node = 0; node < replay.nodes; ++node) {
        if (fleet.isAlive(node)) {
            alive.push_back(node);
        }
    }
    fleet.advance(3ms); // Until a caller has connected to another node.
    std::map<RequestNumber, int> lookups;
    for (int i = first; i < first + streams; ++i) {
        if (!fleet.isAlive(nodeOf[static_cast<std::size_t>(i)])) {
            const int node = alive[random() % alive.size()];
            lookups[fleet.lookUp(node, "stream-" + std::to_string(i))] = i;
        }
    }
    fleet.advance(300ms);
    for (const auto &[request, stream] : lookups) {
        const auto found = fleet.result(request);
        CPPUNIT_ASSERT(found);
        ++result.resumed;
        result.longest = std::max(result.longest, found->lookupTime);
        if (found->record) {
            ++result.known;
            result.wrong += found->record->origin.version == versionOf(stream) ? 0 : 1;
        }
    }
    return result;
}

void print(const char *name, const Replay &replay, const Result &result)
{
    std::printf(
        "%s: %d nodes, %.0f streams a second and node, loss %.2f: %d of %d origins found, longest "
        "lookup %.0f ms, %.1f messages a stream, %.1f KB a second sent by a node\n",
        name, replay.nodes, replay.streamsPerSecond, replay.loss, result.known, result.resumed,
        std::chrono::duration<double, std::milli>(result.longest).count(), result.messagesPerStream,
        result.bytesPerSecond / 1000);
}

const std::vector<Replay> Fleets {{7, 3, 3, 0.05}, {74, 4, 2, 0.05}, {400, 11, 23, 0.02}};

} // namespace

class OriginReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OriginReplayTest);
    CPPUNIT_TEST(oneNodeDies);
    CPPUNIT_TEST(mostNodesDieAtOnce);
    CPPUNIT_TEST(oneDomainDies);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against streams that cannot go on after the death of their node.
    void oneNodeDies()
    {
        for (const Replay &replay : Fleets) {
            const Result result = play(replay, [](OriginFleet &fleet) { fleet.kill(0); });
            print("one node dies", replay, result);
            CPPUNIT_ASSERT_EQUAL(0, result.wrong);
            CPPUNIT_ASSERT(result.known * 100 >= result.resumed * 98);
        }
    }

    // Guards against the same if 60 % of the nodes die at once: more than half of their streams
    // must go on.
    void mostNodesDieAtOnce()
    {
        std::vector<Replay> fleets = Fleets;
        fleets.push_back({800, 11, 23, 0.02});
        for (const Replay &replay : fleets) {
            const Result result = play(replay, [&replay](OriginFleet &fleet) {
                for (int node = 0; node < replay.nodes * 6 / 10; ++node) {
                    fleet.kill(node);
                }
            });
            print("60 % die", replay, result);
            CPPUNIT_ASSERT_EQUAL(0, result.wrong);
            CPPUNIT_ASSERT(result.known * 2 > result.resumed);
        }
    }

    // Guards against origins whose holders are all in one failure domain.
    void oneDomainDies()
    {
        for (const Replay &replay : Fleets) {
            const Result result = play(replay, [&replay](OriginFleet &fleet) {
                for (int node = 0; node < replay.nodes; ++node) {
                    if (fleet.isInDomain(node, 0)) {
                        fleet.kill(node);
                    }
                }
            });
            print("a domain dies", replay, result);
            CPPUNIT_ASSERT_EQUAL(0, result.wrong);
            CPPUNIT_ASSERT(result.known * 100 >= result.resumed * 98);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginReplayTest);
