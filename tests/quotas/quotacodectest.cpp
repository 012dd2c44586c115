#include "quotas/quotacodec.h"

#include "core/jsontext.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;
using namespace indigoway::quotas;

namespace {

NodeLife life()
{
    return {NodeName("n1"), Incarnation(17)};
}

void checkRoundTripToKeeper(ToKeeper message)
{
    const Datagram<ToKeeper> datagram {life(), std::move(message)};
    const Json::Value value = parseJson(encode(datagram));
    CPPUNIT_ASSERT(readToKeeper(value) == datagram);
    CPPUNIT_ASSERT(!readFromKeeper(value));
    CPPUNIT_ASSERT(!scheduling::readDatagramToScheduler(value));
    CPPUNIT_ASSERT(!scheduling::readDatagramFromScheduler(value));
}

void checkRoundTripFromKeeper(FromKeeper message)
{
    const Datagram<FromKeeper> datagram {life(), std::move(message)};
    const Json::Value value = parseJson(encode(datagram));
    CPPUNIT_ASSERT(readFromKeeper(value) == datagram);
    CPPUNIT_ASSERT(!readToKeeper(value));
}

} // namespace

class QuotaCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaCodecTest);
    CPPUNIT_TEST(messageRoundTrip);
    CPPUNIT_TEST(rejectsInvalidDatagrams);
    CPPUNIT_TEST(readsMessagesWithoutNewMembers);
    CPPUNIT_TEST(rejectsInvalidProfiles);
    CPPUNIT_TEST(toleratesAnyDatagram);
    CPPUNIT_TEST_SUITE_END();

public:
    void messageRoundTrip()
    {
        checkRoundTripToKeeper(UsageReport {Incarnation(4), 9, true, {}});
        checkRoundTripToKeeper(
            UsageReport {Incarnation(4),
                         9,
                         false,
                         {{OrganisationName("a"), 3700.5}, {OrganisationName("b"), -1}}});
        UsageReport record {Incarnation(4), 9, true, {}, std::chrono::seconds(8), true, 7, 71};
        record.used.push_back(
            {OrganisationName("a"), 3700, {700, 3000}, {1, 2}, {0, 0, 5}, {7, 0, 0, 0, 9}});
        checkRoundTripToKeeper(record);
        checkRoundTripToKeeper(QuotaQuery {QuotaQueryId(3), OrganisationName("a"), 3700});
        checkRoundTripToKeeper(QuotaQuery {QuotaQueryId(3), OrganisationName("a"), 3700, 2});
        checkRoundTripFromKeeper(ScarcityReport {{OrganisationName("a"), OrganisationName("b")}});
        checkRoundTripFromKeeper(ScarcityReport {});
        checkRoundTripFromKeeper(ScarcityReport {
            {OrganisationName("a")}, false, {{{OrganisationName("b"), {4, 0, 6}}}}, 0.25});
        checkRoundTripFromKeeper(QuotaAnswer {QuotaQueryId(3), true, Duration(0)});
        checkRoundTripFromKeeper(QuotaAnswer {QuotaQueryId(3), false, Duration(7),
                                              QuotaState {900, 1000, 50, std::chrono::seconds(3)}});
        checkRoundTripFromKeeper(
            QuotaAnswer {QuotaQueryId(3), false, std::chrono::milliseconds(70)});
    }

    void rejectsInvalidDatagrams()
    {
        const std::string whole = encode(
            Datagram<ToKeeper> {life(), QuotaQuery {QuotaQueryId(3), OrganisationName("a"), 1}});
        for (std::size_t length = 0; length < whole.size(); ++length) {
            CPPUNIT_ASSERT(!readToKeeper(parseJson(whole.substr(0, length))));
        }
        for (const char *text :
             {R"({"kind":"quota_asked","node":"n","ask":0,"organisation":"a","units":1})",
              R"({"kind":"quota_asked","node":"n","ask":1,"organisation":"","units":1})",
              R"({"kind":"quota_asked","node":"n","ask":1,"organisation":"a","units":-1})",
              R"({"kind":"quota_asked","node":"n","ask":1,"organisation":"a","units":1e300})",
              R"({"kind":"quota_asked","node":"","ask":1,"organisation":"a","units":1})",
              R"({"kind":"quota_used","node":"n","used":{"organisation":"a"}})",
              R"({"kind":"quota_used","node":"n","used":[{"organisation":"a","units":-1e300}]})",
              R"([])", R"(7)"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !readToKeeper(parseJson(text)));
        }
    }

    // Guards against an old node whose messages are not read, or are read as a record of no usage.
    void readsMessagesWithoutNewMembers()
    {
        const auto report = readToKeeper(parseJson(
            R"({"kind":"quota_used","node":"n","life":3,"keeper":4,"sequence":9,"answer":true,
                "used":[{"organisation":"a","units":5}]})"));
        CPPUNIT_ASSERT(report);
        CPPUNIT_ASSERT(std::get<UsageReport>(report->message)
                       == (UsageReport {Incarnation(4), 9, true, {{OrganisationName("a"), 5}}}));
        const auto scarcity = readFromKeeper(
            parseJson(R"({"kind":"quota_standing","node":"n","life":3,"scarce":["a"]})"));
        CPPUNIT_ASSERT(scarcity);
        CPPUNIT_ASSERT(std::get<ScarcityReport>(scarcity->message)
                       == (ScarcityReport {{OrganisationName("a")}}));
    }

    // Guards against profiles that would write beyond a window or credit units.
    void rejectsInvalidProfiles()
    {
        for (const char *profile :
             {"[-1]", "[1e300]", "[\"1\"]", "7", "{}", "[1,1,1,1,1,1,1,1,1,1]"}) {
            const std::string member = std::string("\"recent\":") + profile;
            CPPUNIT_ASSERT_MESSAGE(
                profile,
                !readToKeeper(parseJson(R"({"kind":"quota_used","node":"n","used":[)"
                                        R"({"organisation":"a","units":1,)"
                                        + member + "}]}")));
            CPPUNIT_ASSERT_MESSAGE(
                profile,
                !readFromKeeper(parseJson(R"({"kind":"quota_standing","node":"n","scarce":[],)"
                                          R"("fleet":[{"organisation":"a",)"
                                          + member + "}]}")));
        }
    }

    void toleratesAnyDatagram()
    {
        const bool isTrue = rc::check([] {
            Json::Value value = parseJson(encode(Datagram<ToKeeper> {
                life(), UsageReport {Incarnation(4), 9, true, {{OrganisationName("a"), 3}}}}));
            value["kind"] = *rc::gen::element("quota_used", "quota_asked", "quota_standing",
                                              "quota_answer", "claim");
            const auto names = value.getMemberNames();
            const auto name = names[*rc::gen::inRange<std::size_t>(0, names.size())];
            value[name] = *rc::gen::element(Json::Value(-1.5), Json::Value("text"),
                                            Json::Value(Json::arrayValue), Json::Value(true),
                                            Json::Value(1e300), Json::Value());
            (void)readToKeeper(value);
            (void)readFromKeeper(value);
        });
        CPPUNIT_ASSERT(isTrue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaCodecTest);
