#include "origins/origincodec.h"
#include "origins/originrecords.h"

#include "core/jsontext.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;
using namespace indigoway::origins;

namespace {

std::string arbitraryName()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
}

StreamOrigin arbitraryOrigin()
{
    return {ServiceName(arbitraryName()), *rc::gen::element(std::string(), arbitraryName())};
}

Duration arbitraryTime()
{
    return std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, 600'000));
}

bool survives(const OriginMessage &message)
{
    const auto read = readOriginDatagram(parseJson(encode(NodeName("n1"), message)));
    return read && read->from == NodeName("n1") && read->message == message;
}

bool isRead(const char *text)
{
    return readOriginDatagram(parseJson(text)).has_value();
}

} // namespace

class OriginCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OriginCodecTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(rejectsMalformedDatagrams);
    CPPUNIT_TEST(boundsTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const StreamId stream(arbitraryName());
            const OriginRecord record {arbitraryOrigin(), *rc::gen::arbitrary<bool>(),
                                       arbitraryTime()};
            RC_ASSERT(survives(OriginNotice {stream, arbitraryOrigin(), arbitraryTime(),
                                             ContentId(arbitraryName())}));
            RC_ASSERT(survives(OriginKept {stream}));
            RC_ASSERT(survives(OriginQuery {stream}));
            RC_ASSERT(survives(OriginAnswer {stream, std::nullopt}));
            RC_ASSERT(survives(OriginAnswer {stream, record}));
        }));
    }

    // Guards against a stray datagram that ends the process or is taken for an origin.
    void rejectsMalformedDatagrams()
    {
        for (const char *text :
             {"", "7", "{}", "[]", R"(["tell"])", R"(["tell","n1","id"])",
              R"(["tell","n1","id","llm","v1","soon","c"])", R"(["tell","n1","id","llm","v1",5,7])",
              R"(["tell","n1","id","llm",1,5,"c"])", R"(["tell","n1","id","llm","v1",5])",
              R"(["tell","","id","llm","v1",5,"c"])", R"(["tell","n1","","llm","v1",5,"c"])",
              R"([7,"n1","id"])", R"(["other","n1","id"])", R"(["know","n1","id","llm","v1",5])",
              R"(["know","n1","id","llm","v1",5,"no"])"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !isRead(text));
        }
        const std::string tooLong(MaxNameBytes + 1, 'a');
        CPPUNIT_ASSERT(!isRead((R"(["ask","n1",")" + tooLong + R"("])").c_str()));
        CPPUNIT_ASSERT(!isRead((R"(["tell","n1","id","llm",")" + tooLong + R"(",5,"c"])").c_str()));
    }

    // Guards against records that a forged time keeps for ever.
    void boundsTimes()
    {
        const auto read =
            readOriginDatagram(parseJson(R"(["tell","n1","id","llm","v1",9000000000000,"c"])"));
        CPPUNIT_ASSERT(std::get<OriginNotice>(read->message).keepFor == OriginRecords::MaxKeepTime);
        const auto negative =
            readOriginDatagram(parseJson(R"(["tell","n1","id","llm","v1",-5,"c"])"));
        CPPUNIT_ASSERT(std::get<OriginNotice>(negative->message).keepFor == Duration(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginCodecTest);
