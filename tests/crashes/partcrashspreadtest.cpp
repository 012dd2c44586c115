#include "crashes/partcrashspread.h"

#include "crashes/crashingparts.h"
#include "crashes/partcrashcodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <deque>

using namespace indigoway;
using namespace indigoway::crashes;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

struct Spread
{
    std::size_t reached = 0;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    int hops = 0;
};

/** Simulates how what one node has seen of a crash reaches the others. */
Spread spread(std::size_t nodes, double loss, std::uint64_t seed)
{
    struct Message
    {
        std::size_t to = 0;
        PartCrashNotes notes;
        int hops = 0;
    };
    std::mt19937_64 random(seed);
    std::vector<CrashingParts> parts(nodes);
    std::map<NodeName, std::string> addresses;
    for (std::size_t i = 0; i < nodes; ++i) {
        addresses.emplace(NodeName("edge-hall-a-" + std::to_string(i)), std::to_string(i));
    }
    Spread result;
    std::deque<Message> messages;
    const auto send = [&](const PartCrashNotes &notes, int hops) {
        for (const std::string &target : spreadTargets(addresses, random)) {
            ++result.messages;
            for (const std::string &text : encodeDatagrams(NodeName("edge-hall-a-100"), notes)) {
                result.bytes += text.size();
            }
            if (!std::bernoulli_distribution(loss)(random)) {
                messages.push_back({std::stoul(target), notes, hops + 1});
            }
        }
    };
    const ServiceName service("lector-llm");
    std::vector<PartId> prompt {PartId(0x5c1e07a2), PartId(0x91bd3f06), PartId(0xe4402b7d)};
    send(parts.front().attribute(service, {{prompt, {}, {}}}, at(0)).notes, 0);
    while (!messages.empty()) {
        const Message message = messages.front();
        messages.pop_front();
        const PartCrashNotes news = parts[message.to].merge(message.notes, at(message.hops));
        if (!news.empty()) {
            result.hops = std::max(result.hops, message.hops);
            send(news, message.hops);
        }
    }
    for (const CrashingParts &node : parts) {
        result.reached += node.records().size() == prompt.size() ? 1 : 0;
    }
    return result;
}

} // namespace

class PartCrashSpreadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartCrashSpreadTest);
    CPPUNIT_TEST(newsReachesTheFleet);
    CPPUNIT_TEST(aNodeAloneSendsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that learn of a crash by the store only, and against a flood.
    void newsReachesTheFleet()
    {
        for (const std::size_t nodes : {7U, 74U, 400U, 800U, 985U, 1'970U}) {
            std::size_t reached = 0;
            Spread last;
            constexpr std::uint64_t Seeds = 5;
            for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
                last = spread(nodes, 0.05, seed);
                reached += last.reached;
                CPPUNIT_ASSERT(last.messages <= 8 * nodes);
            }
            std::printf("nodes=%zu reached=%zu/%zu hops=%d messages=%zu bytes_per_node=%zu\n",
                        nodes, reached, nodes * Seeds, last.hops, last.messages,
                        last.bytes / nodes);
            CPPUNIT_ASSERT(1'000 * reached >= 995 * nodes * Seeds);
        }
    }

    void aNodeAloneSendsNothing()
    {
        std::mt19937_64 random(1);
        CPPUNIT_ASSERT(spreadTargets({}, random).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartCrashSpreadTest);
