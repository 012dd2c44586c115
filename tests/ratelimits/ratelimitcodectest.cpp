#include "ratelimits/ratelimitcodec.h"

#include "core/jsontext.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;
using namespace indigoway::ratelimits;
using namespace std::chrono_literals;

namespace {

const NodeLife Sender {NodeName("n1"), Incarnation(7)};

std::optional<ToRateLimiter> decoded(const ToRateLimiter &message)
{
    const auto read =
        readToRateLimiter(parseJson(encode(Datagram<ToRateLimiter> {Sender, message})));
    return read && read->from == Sender ? std::optional(read->message) : std::nullopt;
}

} // namespace

class RateLimitCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimitCodecTest);
    CPPUNIT_TEST(messagesSurviveEncoding);
    CPPUNIT_TEST(rejectsInvalidMessages);
    CPPUNIT_TEST(readsOrRejectsAnyText);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesSurviveEncoding()
    {
        const ToRateLimiter query = PermitQuery {PermitId(3), {ServerName("s@17"), 3.7, 1500ms}};
        CPPUNIT_ASSERT(decoded(query) == query);
        const ToRateLimiter ended = LimitEnded {ServerName("s")};
        CPPUNIT_ASSERT(decoded(ended) == ended);
        const ToRateLimiter started = LimitStarted {{ServerName("s"), 3.7, 5ms}};
        CPPUNIT_ASSERT(decoded(started) == started);
        const Datagram<FromRateLimiter> answer {Sender,
                                                PermitAnswer {PermitId(3), false, 270ms, true}};
        CPPUNIT_ASSERT(readFromRateLimiter(parseJson(encode(answer))) == answer);
        const Datagram<FromRateLimiter> notice {
            Sender, LimitNotice {{{ServerName("s"), 3.7, 5ms}, {ServerName("t"), 0, 0ms}}}};
        CPPUNIT_ASSERT(readFromRateLimiter(parseJson(encode(notice))) == notice);
    }

    // Guards against stray datagrams that grant permits or set rates.
    void rejectsInvalidMessages()
    {
        for (
            const char *text :
            {"{}",
             R"({"kind":"permit_query","id":1,"server":"s","per_s":-1,"announced_ago_us":0,"node":"n"})",
             R"({"kind":"permit_query","id":1,"server":"s","per_s":1,"announced_ago_us":-5,"node":"n"})",
             R"({"kind":"permit_query","id":0,"server":"s","per_s":1,"announced_ago_us":0,"node":"n"})",
             R"({"kind":"permit_query","id":1,"server":"","per_s":1,"announced_ago_us":0,"node":"n"})",
             R"({"kind":"permit_query","id":1,"server":"s","per_s":1,"announced_ago_us":0})",
             R"({"kind":"limit_ended","node":"n"})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !readToRateLimiter(parseJson(text)));
        }
        for (
            const char *text :
            {R"({"kind":"permit_answer","id":1,"granted":1,"retry_after_us":0,"limit_ended":false,"node":"n"})",
             R"({"kind":"permit_answer","id":1,"granted":true,"retry_after_us":-1,"limit_ended":false,"node":"n"})",
             R"({"kind":"permit_answer","granted":true,"retry_after_us":0,"limit_ended":false,"node":"n"})",
             R"({"kind":"limit_notice","limits":[1],"node":"n"})",
             R"({"kind":"limit_notice","limits":[{"server":"s","per_s":-1,"announced_ago_us":0}],"node":"n"})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !readFromRateLimiter(parseJson(text)));
        }
    }

    void readsOrRejectsAnyText()
    {
        CPPUNIT_ASSERT(rc::check("any text is read or rejected", [](const std::string &text) {
            readToRateLimiter(parseJson(text));
            readFromRateLimiter(parseJson(text));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitCodecTest);
