#include "dispatch/dispatchplay.h"

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

/** Two requests at once, and one a second. */
Quota smallQuota()
{
    return {1, 2, QuotaUnit::Requests, 1};
}

} // namespace

class OrganisationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrganisationsTest);
    CPPUNIT_TEST(eachCallNamesTheOrganisation);
    CPPUNIT_TEST(withoutAKnownKeyNoServerIsCalled);
    CPPUNIT_TEST(whoCannotTellSaysSo);
    CPPUNIT_TEST(aKeyThatGoesWhileItsRequestWaitsIsOfNoUse);
    CPPUNIT_TEST(whatIsBeingServedIsServedToItsEnd);
    CPPUNIT_TEST(overItsQuotaNoEngineIsAsked);
    CPPUNIT_TEST(theKeeperDecidesWhereLittleIsLeft);
    CPPUNIT_TEST(aKeeperThatFallsSilentHoldsNobodyUp);
    CPPUNIT_TEST(whatWasNotRunIsGivenBack);
    CPPUNIT_TEST(whatTheKeeperHasNotCountedIsNotGivenBack);
    CPPUNIT_TEST(tokensAreCounted);
    CPPUNIT_TEST(itsPriorityGoesBeforeTheRoutes);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration MostAge = 5s;

    static NodeLife keeperLife() { return {NodeName("k"), Incarnation(5)}; }

    /** The keeper is heard, and says of these organisations that they have little left. */
    static void hearKeeper(DispatchPlay &play, int milliseconds,
                           std::vector<OrganisationName> scarce = {})
    {
        play.dispatcher().setScheduler(NodeName("k"));
        play.reduce(milliseconds,
                    QuotaKeeperAnswered {quotas::ScarcityReport {std::move(scarce)},
                                         keeperLife().incarnation});
        play.takeToldKeeper();
    }

public:
    void eachCallNamesTheOrganisation()
    {
        DispatchPlay play(MostAge);
        play.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1")});
        play.addServer("w1");
        play.addServer("p1", EnginePhase::Prefill);
        play.addServer("d1", EnginePhase::Decode);
        play.arriveWithKey(0, "plain", "k1", 1s);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), play.nextCall(CallKind::Plain).organisation.text());
        play.arriveWithKey(0, "stream", "k1", 1s, 1000);
        const StartCall reserve = play.nextCall(CallKind::Reserve);
        play.grant(10, reserve);
        const StartCall prefill = play.nextCall(CallKind::Prefill);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), prefill.organisation.text());
        play.grant(100, prefill);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"),
                             play.nextCall(CallKind::Decode).organisation.text());
    }

    void withoutAKnownKeyNoServerIsCalled()
    {
        DispatchPlay play(MostAge);
        play.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1")});
        play.addServer("w1");
        for (const auto &key : {std::optional<std::string>("k2"), std::optional<std::string>()}) {
            const RequestNumber request = play.arriveWithKey(0, "plain", key, 1s);
            CPPUNIT_ASSERT_EQUAL(std::string("failed 401"), play.outcome(request));
        }
        CPPUNIT_ASSERT(!play.hasCalls());
        for (const std::string &detail : play.recorded("request_unserved")) {
            CPPUNIT_ASSERT(detail.find("k2") == std::string::npos);
        }
    }

    // The store has been away for as long as a key may outlive its end. The caller is told to come
    // back, since neither "unknown" nor "not found" could be said with certainty.
    void whoCannotTellSaysSo()
    {
        DispatchPlay play(MostAge);
        play.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1")});
        play.addServer("w1");
        for (const char *host : {"plain", "nowhere"}) {
            const RequestNumber request = play.arriveWithKey(0, host, "k1", 5001ms);
            CPPUNIT_ASSERT_EQUAL(503, play.status(request));
            CPPUNIT_ASSERT_EQUAL(std::string("rejected"), play.outcome(request));
        }
        CPPUNIT_ASSERT(!play.hasCalls());
    }

    // Two generations wait for room. The key of one is taken away; when room comes, only the
    // other one gets it, and the first has been told at once.
    void aKeyThatGoesWhileItsRequestWaitsIsOfNoUse()
    {
        DispatchPlay play(MostAge);
        play.useRoutes(Repetition::AtMostOnce,
                       {organisation("o1", "k1"), organisation("o2", "k2")});
        const RequestNumber first = play.arriveWithKey(0, "stream", "k1", 1s, 1000);
        const RequestNumber second = play.arriveWithKey(0, "stream", "k2", 1s, 1000);
        play.useRoutes(Repetition::AtMostOnce,
                       {organisation("o1", "k9"), organisation("o2", "k2")});
        play.reduce(50, TimePassed {});
        CPPUNIT_ASSERT_EQUAL(std::string("failed 401"), play.outcome(first));
        CPPUNIT_ASSERT_EQUAL(std::string("open"), play.outcome(second));
    }

    void whatIsBeingServedIsServedToItsEnd()
    {
        DispatchPlay play(MostAge);
        play.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1")});
        play.addServer("w1");
        const RequestNumber request = play.arriveWithKey(0, "plain", "k1", 1s);
        const StartCall call = play.nextCall();
        play.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k9")});
        play.reduce(50, TimePassed {});
        CPPUNIT_ASSERT_EQUAL(std::string("open"), play.outcome(request));
        play.end(60, call, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::string("delivered"), play.outcome(request));
    }

    // One organisation sends more than its quota. Its excess is refused before anything is asked
    // of an engine; another organisation's request is served meanwhile.
    void overItsQuotaNoEngineIsAsked()
    {
        DispatchPlay play(MostAge, {8s, 0, 0});
        play.useRoutes(Repetition::AtMostOnce,
                       {organisation("o1", "k1", smallQuota()), organisation("o2", "k2")});
        play.addServer("d1", EnginePhase::Decode);
        // No keeper was ever heard: a share of a fourth, from an empty bucket.
        const RequestNumber over = play.arriveWithKey(0, "stream", "k1", 1s, 1000);
        CPPUNIT_ASSERT_EQUAL(429, play.status(over));
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), play.outcome(over));
        CPPUNIT_ASSERT(!play.hasCalls());
        play.arriveWithKey(0, "stream", "k2", 1s, 1000);
        play.nextCall(CallKind::Reserve);
        play.arriveWithKey(3000, "stream", "k1", 1s, 1000);
        CPPUNIT_ASSERT(play.hasCalls());
    }

    void theKeeperDecidesWhereLittleIsLeft()
    {
        DispatchPlay play(MostAge);
        play.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1", smallQuota())});
        play.addServer("w1");
        hearKeeper(play, 0, {OrganisationName("o1")});
        const RequestNumber granted = play.arriveWithKey(10, "plain", "k1", 1s);
        const RequestNumber refused = play.arriveWithKey(10, "plain", "k1", 1s);
        CPPUNIT_ASSERT(!play.hasCalls());
        std::vector<quotas::QuotaQueryId> asks;
        for (const quotas::ToKeeper &message : play.takeToldKeeper()) {
            asks.push_back(std::get<quotas::QuotaQuery>(message).queryId);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, asks.size());
        const Incarnation life = keeperLife().incarnation;
        play.reduce(13, QuotaKeeperAnswered {quotas::QuotaAnswer {asks[0], true, 0ms}, life});
        play.reduce(13, QuotaKeeperAnswered {quotas::QuotaAnswer {asks[1], false, 2s}, life});
        play.nextCall(CallKind::Plain);
        CPPUNIT_ASSERT_EQUAL(std::string("open"), play.outcome(granted));
        CPPUNIT_ASSERT_EQUAL(429, play.status(refused));
        CPPUNIT_ASSERT(!play.hasCalls());
    }

    // The node that keeps the quotas is killed while a caller's request is being asked for. The
    // request must not wait for its successor: it is decided by this node's own share.
    void aKeeperThatFallsSilentHoldsNobodyUp()
    {
        DispatchPlay play(MostAge, {8s, 0, 40});
        play.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1", smallQuota())});
        play.addServer("w1");
        hearKeeper(play, 0, {OrganisationName("o1")});
        const RequestNumber asked = play.arriveWithKey(10, "plain", "k1", 1s);
        play.wait(20, 140);
        CPPUNIT_ASSERT(play.status(asked) == 429);
        // Alone, and with what has come since: a fourth of one a second.
        const RequestNumber later = play.arriveWithKey(1100, "plain", "k1", 1s);
        CPPUNIT_ASSERT(play.outcome(later) != "delivered");
        hearKeeper(play, 1200);
        play.wait(1210, 2300);
        play.arriveWithKey(2310, "plain", "k1", 1s);
        play.nextCall(CallKind::Plain);
    }

    void whatWasNotRunIsGivenBack()
    {
        DispatchPlay play(MostAge);
        play.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1", smallQuota())});
        hearKeeper(play, 0);
        const RequestNumber request = play.arriveWithKey(10, "plain", "k1", 1s);
        CPPUNIT_ASSERT_EQUAL(503, play.status(request)); // There is no server.
        double last = -1;
        for (const quotas::ToKeeper &message : play.takeToldKeeper()) {
            const auto &told = std::get<quotas::UsageReport>(message);
            last = told.used.empty() ? last : told.used.back().units;
        }
        CPPUNIT_ASSERT_EQUAL(0.0, last);
    }

    void itsPriorityGoesBeforeTheRoutes()
    {
        DispatchPlay play(MostAge);
        Organisation urgent = organisation("o1", "k1");
        urgent.priority = 3;
        play.useRoutes(Repetition::AtMostOnce, {urgent, organisation("o2", "k2")});
        play.dispatcher().setScheduler(NodeName("k"));
        play.arriveWithKey(0, "stream", "k1", 1s, 1000);
        CPPUNIT_ASSERT_EQUAL(3U, play.told<scheduling::Claim>().priority);
        play.arriveWithKey(0, "stream", "k2", 1s, 1000);
        CPPUNIT_ASSERT_EQUAL(0U, play.told<scheduling::Claim>().priority);
    }

    // While the keeper is silent a node passes a request by its own share, and no server takes it.
    // Told to the keeper as given back, it would make good what others have used: the quota would
    // be passed by as much.
    void whatTheKeeperHasNotCountedIsNotGivenBack()
    {
        DispatchPlay play(MostAge, {8s, 0, 100});
        play.useRoutes(Repetition::AtMostOnce, {organisation("o1", "k1", smallQuota())});
        hearKeeper(play, 0);
        play.wait(10, 2500); // Its heartbeats are not answered any more.
        play.takeToldKeeper();
        const RequestNumber request = play.arriveWithKey(2510, "plain", "k1", 1s);
        CPPUNIT_ASSERT_EQUAL(503, play.status(request)); // Passed, and there is no server.
        for (const quotas::ToKeeper &message : play.takeToldKeeper()) {
            for (const auto &used : std::get<quotas::UsageReport>(message).used) {
                CPPUNIT_ASSERT(used.units >= 0);
            }
        }
    }

    void tokensAreCounted()
    {
        DispatchPlay play(MostAge);
        play.useRoutes(Repetition::AtMostOnce,
                       {organisation("o1", "k1", Quota {5000, 5000, QuotaUnit::Tokens, 200})});
        play.addServer("w1");
        play.addServer("d1", EnginePhase::Decode);
        hearKeeper(play, 0);
        play.arriveWithKey(10, "stream", "k1", 1s, 1000);
        const auto stream = std::get<quotas::UsageReport>(play.takeToldKeeper().front());
        CPPUNIT_ASSERT_EQUAL(1500.0, stream.used.front().units);
        play.arriveWithKey(20, "plain", "k1", 1s);
        const auto plain = std::get<quotas::UsageReport>(play.takeToldKeeper().front());
        CPPUNIT_ASSERT_EQUAL(1700.0, plain.used.front().units);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationsTest);
