#include "slots/slotcodec.h"

#include "core/jsontext.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;
using namespace indigoway::slots;
using namespace std::chrono_literals;

namespace {

const NodeLife Sender {NodeName("n1"), Incarnation(7)};

std::optional<ToPlainScheduler> decoded(const ToPlainScheduler &message)
{
    const auto read =
        readToPlainScheduler(parseJson(encode(Datagram<ToPlainScheduler> {Sender, message})));
    return read && read->from == Sender ? std::optional(read->message) : std::nullopt;
}

std::optional<FromPlainScheduler> decoded(const FromPlainScheduler &message)
{
    const auto read =
        readFromPlainScheduler(parseJson(encode(Datagram<FromPlainScheduler> {Sender, message})));
    return read && read->from == Sender ? std::optional(read->message) : std::nullopt;
}

} // namespace

class SlotCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotCodecTest);
    CPPUNIT_TEST(messagesSurviveEncoding);
    CPPUNIT_TEST(ignoresUnknownMembers);
    CPPUNIT_TEST(rejectsInvalidMessages);
    CPPUNIT_TEST(readsOrRejectsAnyText);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesSurviveEncoding()
    {
        const ServerLoad load {6, 2, 6, 250};
        const ToPlainScheduler claim = SlotClaim {SlotClaimId(3),
                                                  ServiceName("s"),
                                                  RouteName("r"),
                                                  DomainName("d"),
                                                  2,
                                                  -20ms,
                                                  900ms,
                                                  {ServerName("a@1"), ServerName("b@2")}};
        const ToPlainScheduler held =
            SlotHeld {SlotClaimId(4), ServiceName("s"), ServerName("a@1"), 700ms};
        const ToPlainScheduler report =
            LoadReport {ServiceName("s"),
                        {{ServerName("a@1"), load, 30ms}, {ServerName("b@2"), {1, 0, 6}, 1ms}}};
        for (const ToPlainScheduler &message : {claim, held, report}) {
            CPPUNIT_ASSERT(decoded(message) == message);
        }
        for (const SlotOutcome outcome :
             {SlotOutcome::Answered, SlotOutcome::ServerError, SlotOutcome::Broken,
              SlotOutcome::Rejected, SlotOutcome::Unreachable, SlotOutcome::Cancelled}) {
            const ToPlainScheduler ended = SlotEnded {
                SlotClaimId(3), ServiceName("s"), ServerName("a@1"), outcome, 70ms, load};
            CPPUNIT_ASSERT(decoded(ended) == ended);
        }
        const ToPlainScheduler withdrawn =
            SlotEnded {SlotClaimId(3), {}, {}, SlotOutcome::Cancelled, 0ms, std::nullopt};
        CPPUNIT_ASSERT(decoded(withdrawn) == withdrawn);
        const FromPlainScheduler answers[] = {SlotQueued {SlotClaimId(3)},
                                              SlotGranted {SlotClaimId(3), ServerName("a@1")},
                                              SlotRefused {SlotClaimId(3), 250ms}, LoadReceived {}};
        for (const FromPlainScheduler &message : answers) {
            CPPUNIT_ASSERT(decoded(message) == message);
        }
    }

    // Guards against a datagram of a newer node that an older one cannot use.
    void ignoresUnknownMembers()
    {
        CPPUNIT_ASSERT(readToPlainScheduler(parseJson(
            R"({"kind":"slot_claim","claim":1,"service":"s","to_target_us":5,"left_us":9,"node":"n","new":{"a":[1]}})")));
        const auto ended = readToPlainScheduler(parseJson(
            R"({"kind":"slot_ended","claim":1,"outcome":"answered","took_us":5,"load":[1,2,3,100,9,9],"node":"n"})"));
        CPPUNIT_ASSERT(ended);
        const ServerLoad expected {1, 2, 3, 100};
        CPPUNIT_ASSERT(std::get<SlotEnded>(ended->message).load == expected);
    }

    // Guards against stray datagrams that take or free slots or set speeds.
    void rejectsInvalidMessages()
    {
        for (
            const char *text :
            {"{}", "[]", R"({"kind":"slot_claim","node":"n"})",
             R"({"kind":"slot_claim","claim":0,"service":"s","to_target_us":5,"left_us":9,"node":"n"})",
             R"({"kind":"slot_claim","claim":1,"service":"","to_target_us":5,"left_us":9,"node":"n"})",
             R"({"kind":"slot_claim","claim":1,"service":"s","to_target_us":5,"left_us":-9,"node":"n"})",
             R"({"kind":"slot_claim","claim":1,"service":"s","to_target_us":5,"left_us":9})",
             R"({"kind":"slot_claim","claim":1,"service":"s","to_target_us":5,"left_us":9,"excluded":"a","node":"n"})",
             R"({"kind":"slot_claim","claim":1,"service":"s","to_target_us":5,"left_us":9,"excluded":[3],"node":"n"})",
             R"({"kind":"slot_claim","claim":1,"service":"s","to_target_us":99999999999999999,"left_us":9,"node":"n"})",
             R"({"kind":"slot_held","claim":1,"service":"s","server":"","left_us":9,"node":"n"})",
             R"({"kind":"slot_ended","claim":1,"outcome":"eaten","took_us":5,"node":"n"})",
             R"({"kind":"slot_ended","claim":1,"outcome":"answered","took_us":-5,"node":"n"})",
             R"({"kind":"slot_ended","claim":1,"outcome":"answered","took_us":5,"load":[1,2],"node":"n"})",
             R"({"kind":"slot_ended","claim":1,"outcome":"answered","took_us":5,"load":[1,2,3,0],"node":"n"})",
             R"({"kind":"slot_ended","claim":1,"outcome":"answered","took_us":5,"load":[1,2,3,-1],"node":"n"})",
             R"({"kind":"slot_ended","claim":1,"outcome":"answered","took_us":5,"load":[1,2,99999999999],"node":"n"})",
             R"({"kind":"slot_loads","service":"s","loads":[1],"node":"n"})",
             R"({"kind":"slot_loads","service":"s","loads":{"a":1},"node":"n"})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !readToPlainScheduler(parseJson(text)));
        }
        for (const char *text : {R"({"kind":"slot_granted","claim":1,"server":"","node":"n"})",
                                 R"({"kind":"slot_granted","claim":0,"server":"s","node":"n"})",
                                 R"({"kind":"slot_refused","claim":1,"wait_us":-1,"node":"n"})",
                                 R"({"kind":"slot_queued","claim":"1","node":"n"})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !readFromPlainScheduler(parseJson(text)));
        }
    }

    void readsOrRejectsAnyText()
    {
        CPPUNIT_ASSERT(rc::check("any text is read or rejected", [](const std::string &text) {
            readToPlainScheduler(parseJson(text));
            readFromPlainScheduler(parseJson(text));
        }));
        CPPUNIT_ASSERT(rc::check("any change of a message is read or rejected", [] {
            std::string text = encode(Datagram<ToPlainScheduler> {
                Sender,
                SlotEnded {SlotClaimId(3), ServiceName("s"), ServerName("a"), SlotOutcome::Answered,
                           5ms, ServerLoad {1, 2, 3, 4}}});
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::arbitrary<char>();
            readToPlainScheduler(parseJson(text));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotCodecTest);
