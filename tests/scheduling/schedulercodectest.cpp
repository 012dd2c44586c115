#include "scheduling/schedulercodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

NodeLife life()
{
    return {NodeName("n1"), Incarnation(17)};
}

std::string name()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
}

Duration duration()
{
    return Duration(*rc::gen::inRange<std::int64_t>(-5'000'000, 20'000'000));
}

Claim anyClaim()
{
    Claim claim;
    claim.claim = ClaimId(*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000));
    claim.service = ServiceName(name());
    claim.domain = DomainName(name());
    claim.promptTokens = *rc::gen::inRange<std::uint32_t>(0, 100'000);
    claim.memory = {*rc::gen::inRange<std::uint64_t>(0, 100'000),
                    *rc::gen::inRange<std::uint64_t>(0, 100'000),
                    *rc::gen::inRange<std::uint64_t>(0, 100'000)};
    claim.urgency = *rc::gen::element(Urgency::GoesOn, Urgency::Fresh, Urgency::ComingBack);
    claim.priority = *rc::gen::inRange<std::uint32_t>(0, 10);
    claim.waitsAtMost = duration();
    claim.untilTarget = duration();
    claim.lasts = duration();
    claim.without.assign(*rc::gen::inRange<std::size_t>(0, 4), ServerName(name()));
    return claim;
}

template <typename Message>
void checkAsked(Message message)
{
    const Datagram<ToScheduler> datagram {life(), std::move(message)};
    const auto read = decodeToScheduler(encode(datagram));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(*read == datagram);
}

template <typename Message>
void checkAnswered(Message message)
{
    const Datagram<FromScheduler> datagram {life(), std::move(message)};
    const auto read = decodeFromScheduler(encode(datagram));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(*read == datagram);
    CPPUNIT_ASSERT(!decodeToScheduler(encode(datagram)));
}

} // namespace

class SchedulerCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerCodecTest);
    CPPUNIT_TEST(claimsComeBackAsTheyWere);
    CPPUNIT_TEST(allOthersComeBackAsTheyWere);
    CPPUNIT_TEST(brokenDatagramsAreNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void claimsComeBackAsTheyWere()
    {
        CPPUNIT_ASSERT(rc::check("claims", [] { checkAsked(anyClaim()); }));
    }

    void allOthersComeBackAsTheyWere()
    {
        const ClaimId id(9);
        checkAsked(RoomHeld {
            id, ServiceName("s"), {5'000, 70, 90}, ServerName("d"), Duration(77), Duration(8)});
        checkAsked(RoomHeld {
            id, ServiceName("s"), {5'000, 70, 0}, ServerName("d"), Duration(77), std::nullopt});
        checkAsked(PrefillEnded {id, false, false});
        checkAsked(ClaimEnded {id, ClaimEnd::HandleLost});
        checkAsked(EngineChanging {ServerName("d"), EnginePhase::Prefill, std::chrono::seconds(8)});
        checkAsked(
            EngineChanging {ServerName("d"), EnginePhase::Decode, std::chrono::seconds(8), true});
        checkAsked(WorkAsked {ServiceName("s")});
        checkAnswered(WorkTold {ServiceName("s"), GenerationWork {0.125, 16'000}});
        checkAnswered(ClaimQueued {id});
        checkAnswered(ClaimGranted {id, ServerName("d"), ServerName("p"), std::nullopt});
        checkAnswered(
            ClaimGranted {id, ServerName("d"), ServerName("p"), GenerationWork {0.125, 16'000}});
        checkAnswered(ClaimGranted {id, ServerName("d"), ServerName("p"),
                                    GenerationWork {0.125, 16'000}, true});
        checkAnswered(ClaimRefused {id, 12, std::chrono::milliseconds(800)});
    }

    // Anything can arrive on a UDP port: cut, changed, somebody else's.
    void brokenDatagramsAreNothing()
    {
        const std::string whole = encode(Datagram<ToScheduler> {life(), ClaimEnded {ClaimId(1)}});
        for (std::size_t length = 0; length < whole.size(); ++length) {
            CPPUNIT_ASSERT(!decodeToScheduler(whole.substr(0, length)));
        }
        for (const char *text :
             {"", "{}", "[]", "7", R"({"kind":"claim"})",
              R"({"kind":"claim","node":"n","life":1,"claim":0})",
              R"({"kind":"claim","node":"n","life":1,"claim":1,"context":999999999999})",
              R"({"kind":"claim","node":"n","life":1,"claim":1,"urgency":9})",
              R"({"kind":"ended","node":"n","life":1,"claim":1,"how":77})",
              R"({"kind":"changing","node":"n","life":1,"lasts_us":5})",
              R"({"kind":"work_asked","node":"n","life":1})",
              R"({"kind":"work","node":"n","life":1,"service":"s","prefill_s":0})",
              R"({"kind":"changing","node":"n","life":1,"server":"s","lasts_us":-5})",
              R"({"kind":"other","node":"n","life":1,"claim":1})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decodeToScheduler(text));
            CPPUNIT_ASSERT_MESSAGE(text, !decodeFromScheduler(text));
        }
        CPPUNIT_ASSERT(rc::check(
            "any bytes", [](const std::string &bytes) { RC_ASSERT(!decodeFromScheduler(bytes)); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerCodecTest);
