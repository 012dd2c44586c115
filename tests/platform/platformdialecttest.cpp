#include "platform/platformdialect.h"
#include "platform/platformcodec.h"

#include "core/jsontext.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;
using namespace indigoway::platform;
using dispatch::CallKind;
using dispatch::StartCall;

namespace {

CallerRequest callerRequest()
{
    CallerRequest request;
    request.head.method = "POST";
    request.head.target = "/a/b?c=%2F";
    request.head.headers = {{"Host", "h.example"},
                            {"Indigoway-Request-Id", "id1"},
                            {"Indigoway-Request-Deadline", "14000"},
                            {"Indigoway-Token-Count", "1460,80"},
                            {"Indigoway-Length-Hint", "60"},
                            {"Connection", "keep-alive"},
                            {"Content-Length", "4"},
                            {"X-Other", "kept"}};
    request.body = "body";
    return request;
}

StartCall makeCall(CallKind kind)
{
    StartCall call;
    call.kind = kind;
    call.server = ServerName("i-1@1700000000000");
    call.instance = "i-1";
    call.address = "10.0.0.1:80";
    call.patience = std::chrono::milliseconds(1234);
    return call;
}

std::string headerValue(const ServerRequest &request, const std::string &name)
{
    std::string found = "none";
    int count = 0;
    for (const auto &[key, value] : request.headers) {
        if (isSameHeaderName(key, name)) {
            found = value;
            ++count;
        }
    }
    CPPUNIT_ASSERT(count <= 1);
    return found;
}

} // namespace

class PlatformDialectTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformDialectTest);
    CPPUNIT_TEST(decodesACallerRequest);
    CPPUNIT_TEST(forwardsARequestUnchanged);
    CPPUNIT_TEST(removesReservedHeadersOfCallers);
    CPPUNIT_TEST(encodesTheCallsOfAGeneration);
    CPPUNIT_TEST(encodesABackup);
    CPPUNIT_TEST(encodesTheStopOfARun);
    CPPUNIT_TEST(decodesTheAnswerToAStop);
    CPPUNIT_TEST(encodesAnOrder);
    CPPUNIT_TEST(doesNotForwardApiKeys);
    CPPUNIT_TEST(rejectsMalformedApiKeys);
    CPPUNIT_TEST(sendsOnlyTheAuthenticatedOrganisation);
    CPPUNIT_TEST(decodesOrganisations);
    CPPUNIT_TEST(malformedOrganisationsGrantNoAccess);
    CPPUNIT_TEST(sendsTheLastEventId);
    CPPUNIT_TEST(matchesAnswersToRequests);
    CPPUNIT_TEST(decodesLoadsOfServersWithUnevenSpeed);
    CPPUNIT_TEST(ignoresMalformedLoads);
    CPPUNIT_TEST(decodesGrants);
    CPPUNIT_TEST(decodesTheDesiredState);
    CPPUNIT_TEST(decodesBackupsAndMoves);
    CPPUNIT_TEST(decodesAServer);
    CPPUNIT_TEST(readsTheRateLimitOfAServer);
    CPPUNIT_TEST(readsThatAServerLeaves);
    CPPUNIT_TEST(readsThePauseOfARefusal);
    CPPUNIT_TEST(restartedServerGetsANewName);
    CPPUNIT_TEST(rejectsInvalidServerEntries);
    CPPUNIT_TEST(survivesOddEntries);
    CPPUNIT_TEST(rejectsIdsAndHandlesWithControlBytes);
    CPPUNIT_TEST(rejectsRoutingThatIsNone);
    CPPUNIT_TEST(decodesOrRejectsAnyBytes);
    CPPUNIT_TEST(readsTheResumedStream);
    CPPUNIT_TEST(sharedPartsOfThePromptAreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    // Parts are the caller's input: whatever stands there must neither be lost nor be unbounded.
    void sharedPartsOfThePromptAreRead()
    {
        const auto partsOf = [this](const std::string &value) {
            CallerRequest origin = callerRequest();
            origin.head.headers.emplace_back("Indigoway-Prompt-Prefix", value);
            std::string text;
            for (const PartId part : m_dialect.readRequest(origin.head).sharedParts) {
                text += textOf(part) + " ";
            }
            return text;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("5c1e07a2 91bd3f06 "),
                             partsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
        CPPUNIT_ASSERT_EQUAL(std::string("5c1e07a2 "), partsOf(" 005C1E07A2 : 8 , 5c1e07a2,e4:1"));
        CPPUNIT_ASSERT_EQUAL(std::string(), partsOf("5c1e07a2:800"));
        CPPUNIT_ASSERT_EQUAL(std::string(), partsOf(",,,:,"));
        CPPUNIT_ASSERT(!partsOf("not hex:-1,e4:1").empty());
        std::string thousands;
        for (int i = 1; i <= 5'000; ++i) {
            thousands += std::to_string(i) + ":1,";
        }
        CallerRequest endless = callerRequest();
        endless.head.headers.emplace_back("Indigoway-Prompt-Prefix", thousands);
        CPPUNIT_ASSERT_EQUAL(MaxPromptParts,
                             m_dialect.readRequest(endless.head).sharedParts.size());
    }

    void decodesACallerRequest()
    {
        const auto request = m_dialect.readRequest(callerRequest().head);
        CPPUNIT_ASSERT_EQUAL(std::string("id1"), request.callerId);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=%2F"), request.path);
        CPPUNIT_ASSERT(*request.patience == std::chrono::milliseconds(14'000));
        CPPUNIT_ASSERT_EQUAL(1460U, request.promptTokens);
        CPPUNIT_ASSERT_EQUAL(80U, request.maxOutputTokens);
        CPPUNIT_ASSERT_EQUAL(60U, *request.likelyOutputTokens);
        MessageHead bare;
        bare.headers = {{"Indigoway-Request-Deadline", "soon"}, {"Indigoway-Token-Count", "1,x"}};
        CPPUNIT_ASSERT(!m_dialect.readRequest(bare).patience);
        CPPUNIT_ASSERT_EQUAL(0U, m_dialect.readRequest(bare).promptTokens);
    }

    void forwardsARequestUnchanged()
    {
        const CallerRequest origin = callerRequest();
        const ServerRequest request = m_dialect.writeCall(makeCall(CallKind::Plain), &origin, {});
        CPPUNIT_ASSERT_EQUAL(origin.head.method, request.method);
        CPPUNIT_ASSERT_EQUAL(origin.head.target, request.target);
        CPPUNIT_ASSERT_EQUAL(std::string(origin.body.text()), std::string(request.body.text()));
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), headerValue(request, "X-Other"));
        CPPUNIT_ASSERT_EQUAL(std::string("id1"), headerValue(request, "Indigoway-Request-Id"));
        CPPUNIT_ASSERT_EQUAL(std::string("1234"),
                             headerValue(request, "Indigoway-Request-Deadline"));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), headerValue(request, "Indigoway-Expect-Instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), headerValue(request, "Connection"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), headerValue(request, "Content-Length"));
    }

    // Forwarding these headers would let a caller read another request's KV cache or occupy the
    // memory of an engine.
    void removesReservedHeadersOfCallers()
    {
        CallerRequest origin = callerRequest();
        for (const char *name :
             {"Indigoway-Serving-Phase", "indigoway-kv-source", "Indigoway-Kv-Hold",
              "Indigoway-Kv-Backup", "Indigoway-Pin-Duration", "Indigoway-Expect-Version",
              "Indigoway-Request-Priority", "Kv-Fetch"}) {
            origin.head.headers.emplace_back(name, "forged");
        }
        origin.head.headers.emplace_back("Indigoway-Expect-Instance", "forged");
        const ServerRequest request = m_dialect.writeCall(makeCall(CallKind::Whole), &origin, {});
        for (const auto &[name, value] : request.headers) {
            CPPUNIT_ASSERT(value != "forged");
        }
    }

    void encodesTheCallsOfAGeneration()
    {
        const CallerRequest origin = callerRequest();
        StartCall reserve = makeCall(CallKind::Reserve);
        reserve.reserveTokens = 5000;
        reserve.reserveFor = std::chrono::milliseconds(2000);
        const ServerRequest reserveRequest = m_dialect.writeCall(reserve, nullptr, {});
        CPPUNIT_ASSERT_EQUAL(std::string("/hold-take"), reserveRequest.target);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"tokens":5000,"ttl_ms":2000})"),
                             std::string(reserveRequest.body.text()));
        const ServerRequest prefill = m_dialect.writeCall(makeCall(CallKind::Prefill), &origin, {});
        CPPUNIT_ASSERT_EQUAL(std::string("prefill"),
                             headerValue(prefill, "Indigoway-Serving-Phase"));
        StartCall decode = makeCall(CallKind::Decode);
        decode.handle = "h1";
        decode.handleAddress = "10.0.0.9:81";
        decode.reservation = "r1";
        const ServerRequest decodeRequest = m_dialect.writeCall(decode, &origin, {});
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:81/h1"),
                             headerValue(decodeRequest, "Indigoway-Kv-Source"));
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), headerValue(decodeRequest, "Indigoway-Kv-Hold"));
        StartCall free = makeCall(CallKind::FreeHandle);
        free.handle = "h1";
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-handle/h1"),
                             m_dialect.writeCall(free, nullptr, {}).target);
        StartCall drop = makeCall(CallKind::Unreserve);
        drop.reservation = "r1";
        CPPUNIT_ASSERT_EQUAL(std::string("/hold-drop/r1"),
                             m_dialect.writeCall(drop, nullptr, {}).target);
    }

    // Otherwise a caller could have its KV cache copied to any address.
    void encodesABackup()
    {
        CallerRequest origin = callerRequest();
        origin.head.headers.emplace_back("Indigoway-Kv-Backup", "9.9.9.9:9");
        StartCall decode = makeCall(CallKind::Decode);
        decode.handle = "id1";
        decode.handleAddress = "10.0.0.2:80";
        const ServerRequest without = m_dialect.writeCall(decode, &origin, "4");
        CPPUNIT_ASSERT_EQUAL(std::string("none"), headerValue(without, "Indigoway-Kv-Backup"));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:80/id1"),
                             headerValue(without, "Indigoway-Kv-Source"));
        CPPUNIT_ASSERT_EQUAL(std::string("4"), headerValue(without, "Last-Event-Id"));
        decode.backupAddress = "10.0.0.3:80";
        const ServerRequest with = m_dialect.writeCall(decode, &origin, {});
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3:80"), headerValue(with, "Indigoway-Kv-Backup"));
    }

    // Guards against a call that another instance executes, and an id that breaks the body.
    void encodesTheStopOfARun()
    {
        StartCall stop = makeCall(CallKind::StopRun);
        stop.runId = "id\"1";
        stop.moveTarget = "10.0.0.3:80";
        const ServerRequest request = m_dialect.writeCall(stop, nullptr, {});
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-move"), request.target);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), headerValue(request, "Indigoway-Expect-Instance"));
        const Json::Value body = parseJson(std::string(request.body.text()));
        CPPUNIT_ASSERT_EQUAL(std::string("id\"1"), body["id"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3:80"), body["to"].asString());
        CPPUNIT_ASSERT(body["last"].isBool() && body["last"].asBool());
    }

    // An unreadable answer must not be taken for a handle.
    void decodesTheAnswerToAStop()
    {
        const auto handleOf = [this](const char *body) {
            return m_dialect.readEngineAnswer(CallKind::StopRun, body).handle;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("k7"), handleOf(R"({"kv_handle":"k7","created":12})"));
        for (const char *body : {"", "{", "[]", "7", R"({"kv_handle":7})", R"({"created":1})"}) {
            CPPUNIT_ASSERT_EQUAL(std::string(), handleOf(body));
        }
    }

    void encodesAnOrder()
    {
        StartCall order = makeCall(CallKind::Order);
        order.orderedPhase = EnginePhase::Decode;
        order.fencingToken = 41;
        order.ordersTaken = 3;
        const ServerRequest request = m_dialect.writeCall(order, nullptr, {});
        CPPUNIT_ASSERT_EQUAL(std::string("POST /order"), request.method + " " + request.target);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"expected":3,"fence_token":41,"holder":"n1",)"
                                         R"("operation":"phase","phase":"decode"})"),
                             std::string(request.body.text()));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), headerValue(request, "Indigoway-Expect-Instance"));
    }

    void doesNotForwardApiKeys()
    {
        CallerRequest origin = callerRequest();
        CPPUNIT_ASSERT(!m_dialect.readRequest(origin.head).credentials.key);
        origin.head.headers.emplace_back("x-api-key", "secret");
        CPPUNIT_ASSERT(m_dialect.readRequest(origin.head).credentials.key == digestOf("secret"));
        for (const CallKind kind :
             {CallKind::Plain, CallKind::Prefill, CallKind::Decode, CallKind::Whole}) {
            for (const auto &[name, value] :
                 m_dialect.writeCall(makeCall(kind), &origin, {}).headers) {
                CPPUNIT_ASSERT(value != "secret");
            }
        }
    }

    void rejectsMalformedApiKeys()
    {
        for (const std::vector<std::string> &keys : std::vector<std::vector<std::string>> {
                 {""}, {"a b"}, {"a,b"}, {"a", "a"}, {"a", "b"}, {"", "a"}}) {
            CallerRequest origin = callerRequest();
            for (const std::string &key : keys) {
                origin.head.headers.emplace_back("X-Api-Key", key);
            }
            CPPUNIT_ASSERT(m_dialect.readRequest(origin.head).credentials.key == digestOf(""));
        }
    }

    // A caller must not be able to act for another organisation by setting the header itself.
    void sendsOnlyTheAuthenticatedOrganisation()
    {
        CallerRequest origin = callerRequest();
        origin.head.headers.emplace_back("indigoway-tenant-id", "forged");
        for (const CallKind kind :
             {CallKind::Plain, CallKind::Prefill, CallKind::Decode, CallKind::Whole}) {
            StartCall call = makeCall(kind);
            CPPUNIT_ASSERT_EQUAL(
                std::string("none"),
                headerValue(m_dialect.writeCall(call, &origin, {}), "Indigoway-Tenant-Id"));
            call.organisation = OrganisationName("o1");
            CPPUNIT_ASSERT_EQUAL(
                std::string("o1"),
                headerValue(m_dialect.writeCall(call, &origin, {}), "Indigoway-Tenant-Id"));
        }
    }

    void decodesOrganisations()
    {
        const auto decoded = m_codec.decodeRouting(R"({"version":7,
            "routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","public":true}],
            "tenants":[
             {"name":"o1","api_keys":["k1","k2"],"priority":0,"unit":"token_stream",
              "plain_tokens":200,"rate_per_s":114208,"burst":57000},
             {"name":"o2","api_keys":["k3"],"rate_per_s":5,"burst":9},
             {"name":"o3","api_keys":[],"rate_per_s":0,"burst":9}]})");
        const auto &state = std::get<RoutingState>(decoded);
        CPPUNIT_ASSERT(state.wantsKeys && state.routes.at(0).isOpen);
        const Organisation &first = state.organisations.at(0);
        CPPUNIT_ASSERT(first.keys == (std::vector<KeyDigest> {digestOf("k1"), digestOf("k2")}));
        CPPUNIT_ASSERT_EQUAL(0U, *first.priority);
        CPPUNIT_ASSERT((*first.quota == Quota {114'208, 57'000, QuotaUnit::Tokens, 200}));
        const Organisation &second = state.organisations.at(1);
        CPPUNIT_ASSERT((*second.quota == Quota {5, 9, QuotaUnit::Requests, 1}));
        CPPUNIT_ASSERT(!second.priority);
        CPPUNIT_ASSERT(!state.organisations.at(2).quota);
        const auto none = m_codec.decodeRouting(R"({"version":7,"routes":[]})");
        CPPUNIT_ASSERT(!std::get<RoutingState>(none).wantsKeys);
    }

    // If malformed organisations counted as none, requests without a key would be accepted.
    void malformedOrganisationsGrantNoAccess()
    {
        for (const char *organisations :
             {R"([7])", R"([{"name":3}])", R"([{"name":"o","api_keys":"k"}])",
              R"([{"name":"o","api_keys":[7,"",null],"rate_per_s":"x","burst":[],"priority":-1}])",
              R"([{"name":"o","rate_per_s":1e308,"burst":1e308,"plain_tokens":-4}])"}) {
            const auto decoded = m_codec.decodeRouting(
                std::string(R"({"version":7,"routes":[],"tenants":)") + organisations + "}");
            const auto &state = std::get<RoutingState>(decoded);
            CPPUNIT_ASSERT(state.wantsKeys);
            for (const Organisation &organisation : state.organisations) {
                CPPUNIT_ASSERT(organisation.keys.empty());
                CPPUNIT_ASSERT(!organisation.quota || organisation.quota->perSecond < 1e16);
            }
        }
    }

    void sendsTheLastEventId()
    {
        CallerRequest origin = callerRequest();
        origin.head.headers.emplace_back("Last-Event-Id", "3");
        const ServerRequest own = m_dialect.writeCall(makeCall(CallKind::Whole), &origin, "17");
        CPPUNIT_ASSERT_EQUAL(std::string("17"), headerValue(own, "Last-Event-Id"));
        const ServerRequest callers = m_dialect.writeCall(makeCall(CallKind::Whole), &origin, {});
        CPPUNIT_ASSERT_EQUAL(std::string("3"), headerValue(callers, "Last-Event-Id"));
    }

    void matchesAnswersToRequests()
    {
        MessageHead head;
        head.status = 200;
        head.headers = {{"Indigoway-Request-Id", "id1"},
                        {"Indigoway-Server-Stamp", "s"},
                        {"Indigoway-Server-Load", "3,1,8"}};
        CPPUNIT_ASSERT(m_dialect.isAnswerTo("id1", head));
        CPPUNIT_ASSERT(!m_dialect.isAnswerTo("id2", head));
        const AnswerInfo info = m_dialect.readAnswer(head);
        CPPUNIT_ASSERT(info.hasServerStamp);
        CPPUNIT_ASSERT(!info.isNotExecuted);
        CPPUNIT_ASSERT_EQUAL(8U, info.load->slots);
        head.headers = {{"Indigoway-Not-Executed", "1"}};
        head.status = 503;
        CPPUNIT_ASSERT(m_dialect.readAnswer(head).isNotExecuted);
        head.headers.clear();
        CPPUNIT_ASSERT(!m_dialect.readAnswer(head).isNotExecuted);
        head.status = 421;
        CPPUNIT_ASSERT(m_dialect.readAnswer(head).isNotExecuted);
    }

    AnswerInfo readLoad(const std::string &value) const
    {
        MessageHead head;
        head.status = 200;
        head.headers = {{"Indigoway-Server-Load", value}};
        return m_dialect.readAnswer(head);
    }

    // A server that shares its machine adds a fourth figure. Guards against the loss of the whole
    // report, so that the node chooses among such servers without any load information.
    void decodesLoadsOfServersWithUnevenSpeed()
    {
        for (const char *value : {"3,1,6,250", "3,1,6,250,7", " 3, 1, 6, 250 "}) {
            const AnswerInfo info = readLoad(value);
            CPPUNIT_ASSERT_MESSAGE(value, info.load.has_value());
            CPPUNIT_ASSERT_EQUAL(3U, info.load->running);
            CPPUNIT_ASSERT_EQUAL(1U, info.load->waiting);
            CPPUNIT_ASSERT_EQUAL(6U, info.load->slots);
            CPPUNIT_ASSERT_EQUAL(250U, info.load->workPercent.value_or(0));
        }
        const AnswerInfo three = readLoad("3,1,6");
        CPPUNIT_ASSERT(three.load.has_value());
        CPPUNIT_ASSERT(!three.load->workPercent.has_value());
    }

    // Guards against the use of a part of a report that cannot be read, or of a speed that would
    // make a server look infinitely fast.
    void ignoresMalformedLoads()
    {
        for (const char *value :
             {"", "3", "3,1", "3,1,6,", "3,1,6,x", "3,1,6,250,x", "3,1,6,-5", "3,1,6,2.5",
              "3,1,6,0", "3,1,6,100001", "3,1,6,99999999999", "a,1,6,250"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !readLoad(value).load.has_value());
        }
        CPPUNIT_ASSERT(readLoad("3,1,6,x").isLoadMalformed);
        CPPUNIT_ASSERT(!readLoad("3,1,6,250").isLoadMalformed);
        MessageHead silent;
        silent.status = 200;
        CPPUNIT_ASSERT(!m_dialect.readAnswer(silent).isLoadMalformed);
    }

    void decodesGrants()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("r"),
            m_dialect.readEngineAnswer(CallKind::Reserve, R"({"hold":"r"})").reservation);
        CPPUNIT_ASSERT_EQUAL(
            std::string("h"),
            m_dialect.readEngineAnswer(CallKind::Prefill, R"({"kv_handle":"h","tokens":3})")
                .handle);
        CPPUNIT_ASSERT(
            m_dialect.readEngineAnswer(CallKind::Reserve, "{\"hold\":").reservation.empty());
    }

    void decodesTheDesiredState()
    {
        const auto decoded = m_codec.decodeRouting(R"({"version":7,"routes":[
            {"name":"r1","host":"F.example","prefix":"/p/","kind":"streaming","timeout_ms":14000,
             "slo_ms":900,"priority":1,"service":"a","max_attempts":2,"resumable":true},
            {"name":"r2","host":"f.example","prefix":"/q/","kind":"idempotent","timeout_ms":800,
             "slo_ms":150,"traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}]}],
            "services":[{"name":"a","max_conns":360,"engine":{"capacity":64,"kv_capacity":51867,
             "kv_hold_s":0.5,"hold_ms":2000.0}},{"name":"b","max_conns":100}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
             "idle_timeout_ms":15000}})");
        const auto &state = std::get<RoutingState>(decoded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {7}, state.version);
        const Route &stream = state.routes.at(0);
        CPPUNIT_ASSERT(stream.isStream && stream.isResumable);
        CPPUNIT_ASSERT(stream.repetition == Repetition::AtMostOnce);
        CPPUNIT_ASSERT_EQUAL(std::string("f.example"), stream.host);
        CPPUNIT_ASSERT(stream.target == std::chrono::milliseconds(900));
        const Route &split = state.routes.at(1);
        CPPUNIT_ASSERT(split.repetition == Repetition::Idempotent);
        CPPUNIT_ASSERT_EQUAL(1U, split.maxAttempts);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, split.shares.size());
        const EngineTraits &engine = *state.services.at(ServiceName("a")).engine;
        CPPUNIT_ASSERT(engine.handleKept == std::chrono::milliseconds(500));
        CPPUNIT_ASSERT(engine.longestReservation == std::chrono::milliseconds(2000));
        CPPUNIT_ASSERT(!engine.keepsBackups && !engine.movesRuns);
        CPPUNIT_ASSERT(!state.services.at(ServiceName("b")).engine);
        CPPUNIT_ASSERT(state.limits.idleTimeout == std::chrono::seconds(15));
        CPPUNIT_ASSERT(std::holds_alternative<DecodeFault>(m_codec.decodeRouting("{}")));
        CPPUNIT_ASSERT(std::holds_alternative<DecodeFault>(m_codec.decodeRouting("nonsense")));
    }

    // A malformed setting must not enable calls that the engines do not know.
    void decodesBackupsAndMoves()
    {
        const auto traitsOf = [this](const std::string &members) {
            const auto decoded = m_codec.decodeRouting(
                R"({"version":7,"routes":[],"services":[{"name":"a","engine":{)" + members
                + "}}]}");
            return *std::get<RoutingState>(decoded).services.at(ServiceName("a")).engine;
        };
        CPPUNIT_ASSERT(traitsOf(R"("backups":true)").keepsBackups);
        CPPUNIT_ASSERT(!traitsOf(R"("backups":true)").movesRuns);
        CPPUNIT_ASSERT(traitsOf(R"("moves":true)").movesRuns);
        CPPUNIT_ASSERT(!traitsOf(R"("moves":false,"backups":"yes")").keepsBackups);
        CPPUNIT_ASSERT(!traitsOf(R"("moves":1)").movesRuns);
    }

    void decodesAServer()
    {
        const auto decoded = m_codec.decodeServer(
            "i-1", R"({"service":"a","address":"10.1.1.1:80","zone":"z","version":"v1",
                       "capacity":64,"state":"draining","warmup_ms":0,"phase":"decode",
                       "sequence":4})");
        const auto &server = std::get<AnnouncedServer>(decoded);
        CPPUNIT_ASSERT(server.isDraining);
        CPPUNIT_ASSERT(server.phase == EnginePhase::Decode);
        CPPUNIT_ASSERT_EQUAL(64U, server.slots);
        CPPUNIT_ASSERT(std::holds_alternative<DecodeFault>(m_codec.decodeServer("i-2", "{}")));
    }

    // If a restarted server kept its name, reservations and failures from before the restart would
    // still count against it.
    void restartedServerGetsANewName()
    {
        Json::Value entry = validEntry();
        entry["born"] = Json::UInt64(1'764'000'000'001);
        const auto first = std::get<AnnouncedServer>(m_codec.decodeServer("i-1", jsonText(entry)));
        entry["born"] = Json::UInt64(1'764'000'009'000);
        const auto second = std::get<AnnouncedServer>(m_codec.decodeServer("i-1", jsonText(entry)));
        CPPUNIT_ASSERT(first.name != second.name);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), first.instance);
        CPPUNIT_ASSERT_EQUAL(first.instance, second.instance);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t {1'764'000'009'000},
            m_dialect.readEngineAnswer(CallKind::Report, R"({"sequence":0,"born":1764000009000})")
                .report->startedAt);
    }

    // Requests must not be sent to an address from an entry that no backend server has written.
    void rejectsInvalidServerEntries()
    {
        CPPUNIT_ASSERT(isValid(validEntry()));
        for (const char *name : {"service", "address", "zone", "version", "capacity", "state",
                                 "warmup_ms", "sequence"}) {
            Json::Value missing = validEntry();
            missing.removeMember(name);
            CPPUNIT_ASSERT_MESSAGE(name, !isValid(missing));
            for (const Json::Value &replacement :
                 {Json::Value(true), Json::Value(Json::arrayValue), Json::Value(-1),
                  Json::Value(std::string()), Json::Value(1e300)}) {
                Json::Value entry = validEntry();
                entry[name] = replacement;
                const bool isTime = std::string(name) == "warmup_ms";
                const bool isValidTime = isTime && replacement.isDouble();
                CPPUNIT_ASSERT_MESSAGE(name, isValidTime || !isValid(entry));
            }
        }
        for (const auto &[name, value] : std::vector<std::pair<const char *, Json::Value>> {
                 {"state", "resting"},
                 {"phase", "both"},
                 {"phase", 3},
                 {"born", "today"},
                 {"born", 1.5},
                 {"capacity", 0},
                 {"born", 1e300},
                 {"address", "nowhere"},
                 {"address", "h:80"},
                 {"address", "10.1.1.1:0"},
                 {"address", "10.1.1.1:-1"},
                 {"address", "10.1.1.1: 80"},
                 {"address", "10.1.1.1:65536"},
                 {"address", "10.1.1.1:99999"},
                 {"address", "1.2.3.999:80"},
                 {"address", "1.1.1.1\r\nX: y:80"}}) {
            Json::Value entry = validEntry();
            entry[name] = value;
            CPPUNIT_ASSERT_MESSAGE(name, !isValid(entry));
        }
        for (const char *text : {"", "[]", "7", "\"x\"", "{\"service\":", "\xff\xfe{", "null"}) {
            CPPUNIT_ASSERT(std::holds_alternative<DecodeFault>(m_codec.decodeServer("i", text)));
        }
    }

    // Guards against a process that ends, or stops to follow the list of servers, because of one
    // entry of another writer: nested deeply, with a number that is too large, or long.
    void survivesOddEntries()
    {
        constexpr std::size_t LongestValue = std::size_t {1024} * 1024;
        const auto nested = [](std::size_t depth, const std::string &open,
                               const std::string &close) {
            std::string text;
            for (std::size_t i = 0; i < depth; ++i) {
                text += open;
            }
            text += "1";
            for (std::size_t i = 0; i < depth; ++i) {
                text += close;
            }
            return text;
        };
        const auto with = [](const std::string &name, const std::string &value) {
            Json::Value entry = validEntry();
            entry[name] = "@";
            std::string text = jsonText(entry);
            return text.replace(text.find("\"@\""), 3, value);
        };
        std::string wide = "[";
        while (wide.size() < LongestValue - 4) {
            wide += "[],";
        }
        const std::vector<std::string> invalid {
            nested(100'000, "[", "]"),
            nested(100'000, "{\"a\":", "}"),
            std::string(LongestValue, '['),
            with("models", nested(100'000, "[", "]")),
            with("capacity", nested(150, "[", "]")),
            with("capacity", "1e400"),
            with("capacity", "-1e400"),
            with("capacity", "18446744073709551616"),
            with("capacity", std::string(1000, '9')),
            with("sequence", "1e300"),
            with("born", "99999999999999999999"),
            with("warmup_ms", "1e400"),
            with("models", wide + "1]"),
            wide + "1]",
        };
        for (const std::string &text : invalid) {
            CPPUNIT_ASSERT_MESSAGE(
                text.substr(0, 100),
                std::holds_alternative<DecodeFault>(m_codec.decodeServer("i-1", text)));
            CPPUNIT_ASSERT(std::holds_alternative<DecodeFault>(m_codec.decodeRouting(text)));
        }
        for (const std::string &text : {with("capacity", "4294967296"), with("warmup_ms", "1e308"),
                                        with("models", "[null,{\"version\":1e300}]")}) {
            CPPUNIT_ASSERT_MESSAGE(
                text, std::holds_alternative<AnnouncedServer>(m_codec.decodeServer("i-1", text)));
        }
    }

    // Guards against heads of requests that an id or a handle breaks up.
    void rejectsIdsAndHandlesWithControlBytes()
    {
        const std::string entry = jsonText(validEntry());
        for (const char *id : {"", "a b", "a\r\nX: y", "\x7f", "\xc3\xa4"}) {
            CPPUNIT_ASSERT_MESSAGE(
                id, std::holds_alternative<DecodeFault>(m_codec.decodeServer(id, entry)));
        }
        for (const char *body :
             {R"({"kv_handle":"a b"})", R"({"kv_handle":"a\r\nX: y"})", R"({"kv_handle":7})"}) {
            CPPUNIT_ASSERT(m_dialect.readEngineAnswer(CallKind::Prefill, body).handle.empty());
            CPPUNIT_ASSERT(m_dialect.readEngineAnswer(CallKind::StopRun, body).handle.empty());
        }
        CPPUNIT_ASSERT(m_dialect.readEngineAnswer(CallKind::Reserve, R"({"hold":"a\nb"})")
                           .reservation.empty());
    }

    // Guards against a process that ends because of a desired state that no operator writes.
    void rejectsRoutingThatIsNone()
    {
        for (const char *text :
             {R"({"routes":[7]})", R"({"routes":[[]]})", R"({"routes":[],"services":[7]})",
              R"({"routes":[],"services":{"a":[]}})"}) {
            CPPUNIT_ASSERT_MESSAGE(
                text, std::holds_alternative<DecodeFault>(m_codec.decodeRouting(text)));
        }
        for (const char *text :
             {R"({"routes":[{"traffic_split":7,"timeout_ms":1e308,"max_attempts":1e30}]})",
              R"({"routes":[{"traffic_split":[7,null],"name":[]}],"limits":7,"tenants":[7]})",
              R"({"routes":[],"services":[{"engine":7},{"engine":{"hold_ms":[]}}]})"}) {
            CPPUNIT_ASSERT_MESSAGE(
                text, std::holds_alternative<RoutingState>(m_codec.decodeRouting(text)));
        }
    }

    void decodesOrRejectsAnyBytes()
    {
        const bool hasPassed = rc::check("any bytes are decoded or rejected", [this] {
            Json::Value entry = validEntry();
            const auto names = entry.getMemberNames();
            const auto name = names[*rc::gen::inRange<std::size_t>(0, names.size())];
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                entry[name] = *rc::gen::arbitrary<std::string>();
                break;
            case 1:
                entry[name] = *rc::gen::arbitrary<double>();
                break;
            case 2:
                entry[name] = Json::UInt64(*rc::gen::arbitrary<std::uint64_t>());
                break;
            default:
                entry.removeMember(name);
                break;
            }
            std::string text = jsonText(entry);
            if (*rc::gen::inRange(0, 3) == 0) {
                text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
            }
            const auto decoded = m_codec.decodeServer("i-1", text);
            if (const auto *server = std::get_if<AnnouncedServer>(&decoded)) {
                RC_ASSERT(!server->service.isEmpty());
                RC_ASSERT(server->slots > 0U);
            }
            (void)m_codec.decodeRouting(text);
            (void)m_dialect.readEngineAnswer(CallKind::Report, text);
        });
        CPPUNIT_ASSERT(hasPassed);
    }

private:
    static Json::Value validEntry()
    {
        Json::Value entry;
        entry["service"] = "a";
        entry["address"] = "10.1.1.1:80";
        entry["zone"] = "z";
        entry["version"] = "v1";
        entry["capacity"] = 64;
        entry["state"] = "ready";
        entry["warmup_ms"] = 0;
        entry["phase"] = "decode";
        entry["sequence"] = 4;
        return entry;
    }

    bool isValid(const Json::Value &entry) const
    {
        return std::holds_alternative<AnnouncedServer>(
            m_codec.decodeServer("i-1", jsonText(entry)));
    }

    const PlatformDialect m_dialect {NodeName("n1")};
    PlatformCodec m_codec;

    // Guards against overlooking the header in some kinds of answers.
    void readsThatAServerLeaves()
    {
        const auto isLeaving = [this](int status, const std::string &value) {
            MessageHead head;
            head.status = status;
            head.headers = {{"Server-Leaving", value}};
            const auto advice = m_dialect.readAnswer(head).advice;
            return advice && advice->isLeaving;
        };
        for (const int status : {200, 404, 500, 503}) {
            CPPUNIT_ASSERT(isLeaving(status, "1"));
            CPPUNIT_ASSERT(!isLeaving(status, ""));
            CPPUNIT_ASSERT(!isLeaving(status, "0"));
        }
        CPPUNIT_ASSERT(!isLeaving(421, "1"));
    }

    // Guards against pauses without end, and against pauses in answers that refuse nothing.
    void readsThePauseOfARefusal()
    {
        const auto pauseIn = [this](int status, const std::string &value) {
            MessageHead head;
            head.status = status;
            head.headers = {{"Retry-After", value}};
            const auto advice = m_dialect.readAnswer(head).advice;
            return advice ? advice->pause : std::nullopt;
        };
        CPPUNIT_ASSERT(pauseIn(503, "3") == Duration(std::chrono::seconds(3)));
        CPPUNIT_ASSERT(pauseIn(429, "0.25") == Duration(std::chrono::milliseconds(250)));
        CPPUNIT_ASSERT(pauseIn(503, "1e12") == Duration(std::chrono::seconds(300)));
        for (const char *invalid : {"", "0", "-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            CPPUNIT_ASSERT(!pauseIn(503, invalid));
        }
        CPPUNIT_ASSERT(!pauseIn(200, "3"));
        CPPUNIT_ASSERT(!pauseIn(421, "3"));
    }

    // Guards against taking the limit of one server for another that answers at its address.
    void readsTheRateLimitOfAServer()
    {
        const auto limitIn = [this](int status, const std::string &value) {
            MessageHead head;
            head.status = status;
            head.headers = {{"Server-Limit", value}};
            const auto advice = m_dialect.readAnswer(head).advice;
            return advice ? advice->requestsPerSecond : std::nullopt;
        };
        for (const int status : {200, 500, 503}) {
            CPPUNIT_ASSERT(limitIn(status, "3.7") == std::optional(3.7));
        }
        CPPUNIT_ASSERT(limitIn(200, "0") == std::optional(0.0));
        for (const char *invalid : {"", "x", "-1", "nan", "inf", "3.7 a second"}) {
            CPPUNIT_ASSERT(!limitIn(200, invalid));
        }
        MessageHead misdirected;
        misdirected.status = 421;
        misdirected.headers = {{"Server-Limit", "3.7"}};
        CPPUNIT_ASSERT(!m_dialect.readAnswer(misdirected).advice);
    }

    // Guards against a stream that is resumed by a value that names none, or two.
    void readsTheResumedStream()
    {
        const PlatformDialect dialect(NodeName("n1"));
        const auto resumedId = [&dialect](const std::vector<std::string> &values) {
            CallerRequest request = callerRequest();
            request.head.headers.emplace_back("Last-Event-Id", "7");
            for (const std::string &value : values) {
                request.head.headers.emplace_back("Resumes", value);
            }
            return dialect.readRequest(request.head).resumedId.value_or("none");
        };
        CPPUNIT_ASSERT_EQUAL(std::string("5f7cc0a4b77d4f8e"), resumedId({"5f7cc0a4b77d4f8e"}));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), resumedId({}));
        CPPUNIT_ASSERT_EQUAL(std::string(), resumedId({""}));
        CPPUNIT_ASSERT_EQUAL(std::string(), resumedId({"a", "b"}));
        CPPUNIT_ASSERT_EQUAL(std::string(), resumedId({"", "b"}));
        CPPUNIT_ASSERT_EQUAL(std::string(), resumedId({"a b"}));
        CPPUNIT_ASSERT_EQUAL(std::string(), resumedId({std::string("a\tb")}));
        CPPUNIT_ASSERT_EQUAL(std::string(), resumedId({std::string(3'000, 'a')}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDialectTest);
