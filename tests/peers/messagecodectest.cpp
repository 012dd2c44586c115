#include "peers/messagecodec.h"

#include "core/jsontext.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;

namespace {

std::vector<PeerRequest> someRequests()
{
    MemberUpdate member;
    member.life = {NodeName("n-1"), Incarnation(77)};
    member.state = MemberState::Suspect;
    member.peerAddress = "10.0.0.1:1";
    ClaimCapacity claim;
    claim.owner = member.life;
    claim.target = TargetName("m");
    claim.untilDeadline = Duration(-5);
    claim.prefixHashes = {1, ~std::uint64_t {0}};
    claim.avoid = {ServerName("s")};
    return {Ping {member, {member, member}, Revision(4), true},
            IndirectPing {member},
            FetchConfiguration {},
            claim,
            PrefillEnded {ClaimNumber(1), true, Duration(9), {}},
            ReleaseClaim {ClaimNumber(2), claim.identity(), claim.target, 3, 4, Duration(5), true},
            AdoptClaim {},
            FetchOwnedRequests {{EngineRequestName("n.1.2.3")}},
            FetchRows {"nodes"}};
}

std::vector<PeerReply> someReplies()
{
    return {Pong {},
            ProbeResult {true},
            ConfigurationText {Revision(3), "model m\n"},
            Granted {ClaimNumber(1), ServerName("s")},
            DecodeAssigned {ServerName("d")},
            NotGranted {NotGranted::Reason::NotScheduler, Duration(3)},
            OwnedRequests {{EngineRequestName("x")}},
            Rows {{{"a"}, {{"1"}, {"2"}}}},
            Acknowledged {}};
}

} // namespace

class MessageCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageCodecTest);
    CPPUNIT_TEST(carriesEveryRequest);
    CPPUNIT_TEST(carriesEveryReply);
    CPPUNIT_TEST(refusesWhatDoesNotFit);
    CPPUNIT_TEST_SUITE_END();

    void carriesEveryRequest()
    {
        const std::vector<PeerRequest> requests = someRequests();
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<PeerRequest>, requests.size());
        for (const PeerRequest &request : requests) {
            const EncodedRequest encoded = encodeRequest(request);
            const auto decoded = decodeRequest(encoded.method, parseJson(jsonText(encoded.params)));
            CPPUNIT_ASSERT_MESSAGE(encoded.method, decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(jsonText(encoded.params),
                                 jsonText(encodeRequest(*decoded).params));
        }
    }

    void carriesEveryReply()
    {
        const std::vector<PeerReply> replies = someReplies();
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<PeerReply>, replies.size());
        for (const PeerReply &reply : replies) {
            const Json::Value encoded = encodeReply(reply);
            const auto decoded = decodeReply(parseJson(jsonText(encoded)));
            CPPUNIT_ASSERT_MESSAGE(jsonText(encoded), decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(jsonText(encoded), jsonText(encodeReply(*decoded)));
        }
    }

    // A peer of another version, or a broken one, sends a message with a field missing, of
    // another type or out of range. It is refused as a whole, never taken in part.
    void refusesWhatDoesNotFit()
    {
        for (const PeerRequest &request : someRequests()) {
            const EncodedRequest encoded = encodeRequest(request);
            for (const std::string &name : encoded.params.getMemberNames()) {
                Json::Value lacking = encoded.params;
                lacking.removeMember(name);
                CPPUNIT_ASSERT(!decodeRequest(encoded.method, lacking));
                Json::Value wrong = encoded.params;
                wrong[name] = Json::Value(1.5);
                CPPUNIT_ASSERT(!decodeRequest(encoded.method, wrong));
            }
        }
        CPPUNIT_ASSERT(!decodeRequest("nothing", Json::objectValue));
        CPPUNIT_ASSERT(!decodeReply(Json::Value(3)));
        Json::Value member = encodeRequest(IndirectPing {}).params;
        member["target"]["s"] = 17;
        CPPUNIT_ASSERT(!decodeRequest("pingOnBehalf", member));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageCodecTest);
