#include "scheduling/schedulercodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

NodeLife sender()
{
    return {NodeName("n1"), Incarnation(17)};
}

std::string arbitraryName()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
}

Duration arbitraryDuration()
{
    return Duration(*rc::gen::inRange<std::int64_t>(-5'000'000, 20'000'000));
}

Claim arbitraryClaim()
{
    Claim claim;
    claim.claim = ClaimId(*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000));
    claim.service = ServiceName(arbitraryName());
    claim.domain = DomainName(arbitraryName());
    claim.promptTokens = *rc::gen::inRange<std::uint32_t>(0, 100'000);
    claim.memory = {*rc::gen::inRange<std::uint64_t>(0, 100'000),
                    *rc::gen::inRange<std::uint64_t>(0, 100'000),
                    *rc::gen::inRange<std::uint64_t>(0, 100'000)};
    claim.urgency = *rc::gen::element(Urgency::Resumed, Urgency::FirstAttempt, Urgency::Retried);
    claim.priority = *rc::gen::inRange<std::uint32_t>(0, 10);
    claim.maxWait = arbitraryDuration();
    claim.timeToTarget = arbitraryDuration();
    claim.maxDuration = arbitraryDuration();
    claim.excludedServers.assign(*rc::gen::inRange<std::size_t>(0, 4), ServerName(arbitraryName()));
    claim.organisation = OrganisationName(*rc::gen::element(std::string(), arbitraryName()));
    claim.wantsBackup = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        claim.version = arbitraryName();
    }
    return claim;
}

template <typename Message>
void checkRequest(Message message)
{
    const Datagram<ToScheduler> datagram {sender(), std::move(message)};
    const auto read = decodeToScheduler(encode(datagram));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(*read == datagram);
}

template <typename Message>
void checkReply(Message message)
{
    const Datagram<FromScheduler> datagram {sender(), std::move(message)};
    const auto read = decodeFromScheduler(encode(datagram));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(*read == datagram);
    CPPUNIT_ASSERT(!decodeToScheduler(encode(datagram)));
}

} // namespace

class SchedulerCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerCodecTest);
    CPPUNIT_TEST(claimsRoundTrip);
    CPPUNIT_TEST(otherMessagesRoundTrip);
    CPPUNIT_TEST(missingMembersMeanOldBehaviour);
    CPPUNIT_TEST(writesNoNewMembersWithoutNeed);
    CPPUNIT_TEST(ignoresNewMembersOfWrongType);
    CPPUNIT_TEST(rejectsMalformedDatagrams);
    CPPUNIT_TEST_SUITE_END();

public:
    void claimsRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check("claims", [] { checkRequest(arbitraryClaim()); }));
    }

    void otherMessagesRoundTrip()
    {
        const ClaimId id(9);
        checkRequest(ReservationReport {
            id, ServiceName("s"), {5'000, 70, 90}, ServerName("d"), Duration(77), Duration(8)});
        checkRequest(ReservationReport {
            id, ServiceName("s"), {5'000, 70, 0}, ServerName("d"), Duration(77), std::nullopt});
        checkRequest(ReservationReport {id,
                                        ServiceName("s"),
                                        {5'000, 70, 0},
                                        ServerName("d"),
                                        Duration(77),
                                        std::nullopt,
                                        ServerName("b")});
        checkRequest(RunMoved {id});
        checkRequest(PrefillEnded {id, false, false});
        checkRequest(PrefillEnded {id, false, true, true});
        checkRequest(ClaimEnded {id, ClaimOutcome::ConnectionLost});
        checkRequest(EngineFault {ServerName("d-1"), 3, false});
        checkRequest(ClaimEnded {id, ClaimOutcome::KvCacheLost});
        checkRequest(
            PhaseChangeNotice {ServerName("d"), EnginePhase::Prefill, std::chrono::seconds(8)});
        checkRequest(PhaseChangeNotice {ServerName("d"), EnginePhase::Decode,
                                        std::chrono::seconds(8), true});
        checkRequest(WorkQuery {ServiceName("s")});
        checkReply(WorkReport {ServiceName("s"), GenerationWork {0.125, 16'000}});
        checkReply(ClaimQueued {id});
        checkReply(ClaimGranted {id, ServerName("d"), ServerName("p"), std::nullopt});
        checkReply(
            ClaimGranted {id, ServerName("d"), ServerName("p"), GenerationWork {0.125, 16'000}});
        checkReply(ClaimGranted {id, ServerName("d"), ServerName("p"),
                                 GenerationWork {0.125, 16'000}, true});
        checkReply(ClaimGranted {id, ServerName("d"), ServerName("p"), std::nullopt, false,
                                 ServerName("b")});
        checkReply(ClaimRefused {id, 12, std::chrono::milliseconds(800)});
    }

    // Guards against backups or shares for nodes of an earlier version, which don't ask for them.
    void missingMembersMeanOldBehaviour()
    {
        const auto claim =
            decodeToScheduler(R"({"kind":"claim","node":"n","life":1,"claim":1,"service":"s"})");
        CPPUNIT_ASSERT(claim.has_value());
        CPPUNIT_ASSERT(std::get<Claim>(claim->message).organisation.isEmpty());
        CPPUNIT_ASSERT(!std::get<Claim>(claim->message).wantsBackup);
        const auto report = decodeToScheduler(
            R"({"kind":"held","node":"n","life":1,"claim":1,"service":"s","decode":"d"})");
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT(std::get<ReservationReport>(report->message).backupServer.isEmpty());
        const auto granted = decodeFromScheduler(
            R"({"kind":"granted","node":"n","life":1,"claim":1,"decode":"d","prefill":"p"})");
        CPPUNIT_ASSERT(granted.has_value());
        CPPUNIT_ASSERT(std::get<ClaimGranted>(granted->message).backupServer.isEmpty());
    }

    // Guards against a change of the datagrams of deployments without organisations and backups.
    void writesNoNewMembersWithoutNeed()
    {
        Claim message;
        message.claim = ClaimId(1);
        const std::string claim = encode(Datagram<ToScheduler> {sender(), message});
        const ClaimGranted grant {ClaimId(1), ServerName("d"), ServerName("p"), std::nullopt};
        const std::string granted = encode(Datagram<FromScheduler> {sender(), grant});
        CPPUNIT_ASSERT(claim.find("organisation") == std::string::npos);
        CPPUNIT_ASSERT(claim.find("backup") == std::string::npos);
        CPPUNIT_ASSERT(granted.find("backup") == std::string::npos);
    }

    // Guards against losing a whole claim or grant because of an optional member.
    void ignoresNewMembersOfWrongType()
    {
        const auto claim = decodeToScheduler(
            R"({"kind":"claim","node":"n","life":1,"claim":1,"organisation":7,"backup_wanted":1})");
        CPPUNIT_ASSERT(claim.has_value());
        CPPUNIT_ASSERT(std::get<Claim>(claim->message).organisation.isEmpty());
        CPPUNIT_ASSERT(!std::get<Claim>(claim->message).wantsBackup);
        const auto granted = decodeFromScheduler(
            R"({"kind":"granted","node":"n","life":1,"claim":1,"decode":"d","backup":[1]})");
        CPPUNIT_ASSERT(granted.has_value());
        CPPUNIT_ASSERT(std::get<ClaimGranted>(granted->message).backupServer.isEmpty());
    }

    // Guards against truncated, altered or foreign datagrams on the UDP port.
    void rejectsMalformedDatagrams()
    {
        const std::string whole = encode(Datagram<ToScheduler> {sender(), ClaimEnded {ClaimId(1)}});
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
              R"({"kind":"moved","node":"n","life":1,"claim":0})",
              R"({"kind":"other","node":"n","life":1,"claim":1})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decodeToScheduler(text));
            CPPUNIT_ASSERT_MESSAGE(text, !decodeFromScheduler(text));
        }
        CPPUNIT_ASSERT(rc::check(
            "any bytes", [](const std::string &bytes) { RC_ASSERT(!decodeFromScheduler(bytes)); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerCodecTest);
