#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace std::chrono_literals;

namespace {

Organisation organisation(const std::string &name, const std::string &key,
                          std::optional<Quota> quota = {})
{
    Organisation one;
    one.name = OrganisationName(name);
    one.keys = {digestOf(key)};
    one.quota = quota;
    return one;
}

/** A burst of two requests and a rate of one per second. */
Quota smallQuota()
{
    return {1, 2, QuotaUnit::Requests, 1};
}

} // namespace

class OrganisationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrganisationsTest);
    CPPUNIT_TEST(callsCarryTheOrganisation);
    CPPUNIT_TEST(unknownKeyIsRejected);
    CPPUNIT_TEST(staleConfigurationAsksForARetry);
    CPPUNIT_TEST(revokedKeyRejectsQueuedRequest);
    CPPUNIT_TEST(revokedKeyKeepsRunningRequest);
    CPPUNIT_TEST(overQuotaIsRejectedBeforeAnyCall);
    CPPUNIT_TEST(keeperDecidesCloseToTheQuota);
    CPPUNIT_TEST(queriesAndRefusalsStateThePriority);
    CPPUNIT_TEST(silentKeeperDoesNotDelayRequests);
    CPPUNIT_TEST(unusedQuotaIsReturned);
    CPPUNIT_TEST(uncountedQuotaIsNotReturned);
    CPPUNIT_TEST(tokensAreCounted);
    CPPUNIT_TEST(organisationPriorityOverridesTheRoutes);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration MostAge = 5s;

    static NodeLife keeperLife() { return {NodeName("k"), Incarnation(5)}; }

    /** Delivers a message of the keeper with the organisations that are close to their quota. */
    static void receiveKeeperMessage(DispatcherHarness &harness, int milliseconds,
                                     std::vector<OrganisationName> scarce = {})
    {
        harness.dispatcher().setScheduler(NodeName("k"));
        harness.reduce(milliseconds,
                       QuotaKeeperAnswered {quotas::ScarcityReport {std::move(scarce)},
                                            keeperLife().incarnation});
        harness.takeKeeperMessages();
    }

public:
    void callsCarryTheOrganisation()
    {
        DispatcherHarness harness(MostAge);
        harness.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1")});
        harness.addServer("w1");
        harness.addServer("p1", EnginePhase::Prefill);
        harness.addServer("d1", EnginePhase::Decode);
        harness.arriveWithKey(0, "plain", "k1", 1s);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"),
                             harness.nextCall(CallKind::Plain).organisation.text());
        harness.arriveWithKey(0, "stream", "k1", 1s, 1000);
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        harness.grant(10, reserve);
        const StartCall prefill = harness.nextCall(CallKind::Prefill);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), prefill.organisation.text());
        harness.grant(100, prefill);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"),
                             harness.nextCall(CallKind::Decode).organisation.text());
    }

    void unknownKeyIsRejected()
    {
        DispatcherHarness harness(MostAge);
        harness.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1")});
        harness.addServer("w1");
        for (const auto &key : {std::optional<std::string>("k2"), std::optional<std::string>()}) {
            const RequestNumber request = harness.arriveWithKey(0, "plain", key, 1s);
            CPPUNIT_ASSERT_EQUAL(std::string("failed 401"), harness.outcome(request));
        }
        CPPUNIT_ASSERT(!harness.hasCalls());
        for (const std::string &detail : harness.logLines("request_unserved")) {
            CPPUNIT_ASSERT(detail.find("k2") == std::string::npos);
        }
    }

    // The configuration is too old to check keys. The caller must be asked to retry, as neither 401
    // nor 404 would be certain.
    void staleConfigurationAsksForARetry()
    {
        DispatcherHarness harness(MostAge);
        harness.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1")});
        harness.addServer("w1");
        for (const char *host : {"plain", "nowhere"}) {
            const RequestNumber request = harness.arriveWithKey(0, host, "k1", 5001ms);
            CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
            CPPUNIT_ASSERT_EQUAL(std::string("rejected"), harness.outcome(request));
        }
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // A key is revoked while its request is queued. Only this request must be rejected, at once.
    void revokedKeyRejectsQueuedRequest()
    {
        DispatcherHarness harness(MostAge);
        harness.useRoutes(Repetition::AtMostOnce,
                          {organisation("o1", "k1"), organisation("o2", "k2")});
        const RequestNumber first = harness.arriveWithKey(0, "stream", "k1", 1s, 1000);
        const RequestNumber second = harness.arriveWithKey(0, "stream", "k2", 1s, 1000);
        harness.useRoutes(Repetition::AtMostOnce,
                          {organisation("o1", "k9"), organisation("o2", "k2")});
        harness.reduce(50, TimePassed {});
        CPPUNIT_ASSERT_EQUAL(std::string("failed 401"), harness.outcome(first));
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(second));
    }

    void revokedKeyKeepsRunningRequest()
    {
        DispatcherHarness harness(MostAge);
        harness.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1")});
        harness.addServer("w1");
        const RequestNumber request = harness.arriveWithKey(0, "plain", "k1", 1s);
        const StartCall call = harness.nextCall();
        harness.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k9")});
        harness.reduce(50, TimePassed {});
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(request));
        harness.end(60, call, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::string("delivered"), harness.outcome(request));
    }

    // Excess requests of an organisation must be rejected before any engine is called, without an
    // effect on other organisations.
    void overQuotaIsRejectedBeforeAnyCall()
    {
        DispatcherHarness harness(MostAge, {8s, 0, 0});
        harness.useRoutes(Repetition::AtMostOnce,
                          {organisation("o1", "k1", smallQuota()), organisation("o2", "k2")});
        harness.addServer("d1", EnginePhase::Decode);
        // Without a keeper the node has a quarter of a window's ten requests.
        for (int request = 0; request < 2; ++request) {
            harness.arriveWithKey(0, "stream", "k1", 1s, 1000);
            harness.nextCall(CallKind::Reserve);
        }
        for (const int milliseconds : {0, 3000, 7999}) {
            const RequestNumber over =
                harness.arriveWithKey(milliseconds, "stream", "k1", 1s, 1000);
            CPPUNIT_ASSERT_EQUAL(429, harness.status(over));
            CPPUNIT_ASSERT_EQUAL(std::string("rejected"), harness.outcome(over));
            CPPUNIT_ASSERT(!harness.hasCalls());
        }
        harness.arriveWithKey(8000, "stream", "k2", 1s, 1000);
        harness.nextCall(CallKind::Reserve);
        harness.arriveWithKey(8100, "stream", "k1", 1s, 1000);
        CPPUNIT_ASSERT(harness.hasCalls());
    }

    void keeperDecidesCloseToTheQuota()
    {
        DispatcherHarness harness(MostAge);
        harness.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1", smallQuota())});
        harness.addServer("w1");
        receiveKeeperMessage(harness, 0, {OrganisationName("o1")});
        const RequestNumber granted = harness.arriveWithKey(10, "plain", "k1", 1s);
        const RequestNumber refused = harness.arriveWithKey(10, "plain", "k1", 1s);
        CPPUNIT_ASSERT(!harness.hasCalls());
        std::vector<quotas::QuotaQueryId> asks;
        for (const quotas::ToKeeper &message : harness.takeKeeperMessages()) {
            asks.push_back(std::get<quotas::QuotaQuery>(message).queryId);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, asks.size());
        const Incarnation life = keeperLife().incarnation;
        harness.reduce(13, QuotaKeeperAnswered {quotas::QuotaAnswer {asks[0], true, 0ms}, life});
        harness.reduce(13, QuotaKeeperAnswered {quotas::QuotaAnswer {asks[1], false, 2s}, life});
        harness.nextCall(CallKind::Plain);
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(granted));
        CPPUNIT_ASSERT_EQUAL(429, harness.status(refused));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against a keeper that cannot reserve units for urgent requests, and against a refusal
    // whose log line does not explain it.
    void queriesAndRefusalsStateThePriority()
    {
        DispatcherHarness harness(MostAge);
        Organisation one = organisation("o1", "k1", smallQuota());
        one.priority = 2;
        harness.useRoutes(Repetition::AtMostOnce, {one});
        harness.addServer("w1");
        receiveKeeperMessage(harness, 0, {OrganisationName("o1")});
        harness.arriveWithKey(10, "plain", "k1", 1s);
        const auto query = std::get<quotas::QuotaQuery>(harness.takeKeeperMessages().front());
        CPPUNIT_ASSERT(query.priority == 2U);
        harness.reduce(13,
                       QuotaKeeperAnswered {quotas::QuotaAnswer {query.queryId, false, 2s,
                                                                 quotas::QuotaState {9, 10, 1, 3s}},
                                            keeperLife().incarnation});
        const auto lines = harness.logLines("request_end");
        CPPUNIT_ASSERT(!lines.empty());
        CPPUNIT_ASSERT(lines.back().find("priority=2 used=9.000000 limit=10.000000 "
                                         "reserve=1.000000 record_age_ms=3000")
                       != std::string::npos);
    }

    // The keeper fails while a request waits for it. The request must be decided by the node's own
    // share.
    void silentKeeperDoesNotDelayRequests()
    {
        DispatcherHarness harness(MostAge, {8s, 0, 40});
        harness.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1", smallQuota())});
        harness.addServer("w1");
        receiveKeeperMessage(harness, 0, {OrganisationName("o1")});
        const RequestNumber asked = harness.arriveWithKey(10, "plain", "k1", 1s);
        harness.advance(20, 140);
        CPPUNIT_ASSERT(harness.status(asked) == 429);
        // Decided by the node's share: a quarter of one request per second.
        const RequestNumber later = harness.arriveWithKey(1100, "plain", "k1", 1s);
        CPPUNIT_ASSERT(harness.outcome(later) != "delivered");
        receiveKeeperMessage(harness, 1200);
        harness.advance(1210, 2300);
        harness.arriveWithKey(2310, "plain", "k1", 1s);
        harness.nextCall(CallKind::Plain);
    }

    void unusedQuotaIsReturned()
    {
        DispatcherHarness harness(MostAge);
        harness.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1", smallQuota())});
        receiveKeeperMessage(harness, 0);
        const RequestNumber request = harness.arriveWithKey(10, "plain", "k1", 1s);
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request)); // There is no server.
        double last = -1;
        for (const quotas::ToKeeper &message : harness.takeKeeperMessages()) {
            const auto &usage = std::get<quotas::UsageReport>(message);
            last = usage.used.empty() ? last : usage.used.back().units;
        }
        CPPUNIT_ASSERT_EQUAL(0.0, last);
    }

    void organisationPriorityOverridesTheRoutes()
    {
        DispatcherHarness harness(MostAge);
        Organisation urgent = organisation("o1", "k1");
        urgent.priority = 3;
        harness.useRoutes(Repetition::AtMostOnce, {urgent, organisation("o2", "k2")});
        harness.dispatcher().setScheduler(NodeName("k"));
        harness.arriveWithKey(0, "stream", "k1", 1s, 1000);
        const auto claim = harness.nextSchedulerMessage<scheduling::Claim>();
        CPPUNIT_ASSERT_EQUAL(3U, claim.priority);
        // The scheduler is fair between organisations.
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), claim.organisation.text());
        harness.arriveWithKey(0, "stream", "k2", 1s, 1000);
        CPPUNIT_ASSERT_EQUAL(0U, harness.nextSchedulerMessage<scheduling::Claim>().priority);
    }

    // Units that the keeper has not counted must not be returned to it, or the quota would be
    // exceeded.
    void uncountedQuotaIsNotReturned()
    {
        DispatcherHarness harness(MostAge, {8s, 0, 100});
        harness.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1", smallQuota())});
        receiveKeeperMessage(harness, 0);
        harness.advance(10, 2500); // The keeper no longer answers heartbeats.
        harness.takeKeeperMessages();
        const RequestNumber request = harness.arriveWithKey(2510, "plain", "k1", 1s);
        CPPUNIT_ASSERT_EQUAL(503,
                             harness.status(request)); // Passed the quota, but there is no server.
        for (const quotas::ToKeeper &message : harness.takeKeeperMessages()) {
            for (const auto &used : std::get<quotas::UsageReport>(message).used) {
                CPPUNIT_ASSERT(used.units >= 0);
            }
        }
    }

    void tokensAreCounted()
    {
        DispatcherHarness harness(MostAge);
        harness.useRoutes(Repetition::AtMostOnce,
                          {organisation("o1", "k1", Quota {5000, 5000, QuotaUnit::Tokens, 200})});
        harness.addServer("w1");
        harness.addServer("d1", EnginePhase::Decode);
        receiveKeeperMessage(harness, 0);
        harness.arriveWithKey(10, "stream", "k1", 1s, 1000);
        const auto stream = std::get<quotas::UsageReport>(harness.takeKeeperMessages().front());
        CPPUNIT_ASSERT_EQUAL(1500.0, stream.used.front().units);
        harness.arriveWithKey(20, "plain", "k1", 1s);
        const auto plain = std::get<quotas::UsageReport>(harness.takeKeeperMessages().front());
        CPPUNIT_ASSERT_EQUAL(1700.0, plain.used.front().units);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationsTest);
