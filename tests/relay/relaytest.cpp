#include "http/httplistener.h"
#include "relay/rawsockets.h"

#include <event2/event.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace indigoway;
using namespace indigoway::tests;

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(answersOnAKeepAliveConnection);
    CPPUNIT_TEST(handlesPipelinedRequestsOneAtATime);
    CPPUNIT_TEST(reportsADisconnectedCaller);
    CPPUNIT_TEST(rejectsOversizedRequests);
    CPPUNIT_TEST(rejectsMalformedRequests);
    CPPUNIT_TEST(answersExpectContinue);
    CPPUNIT_TEST(anAbortedStreamHasNoLastChunk);
    CPPUNIT_TEST(aStreamToAnOldCallerEndsWithItsConnection);
    CPPUNIT_TEST(anAbortedStreamToAnOldCallerIsReset);
    CPPUNIT_TEST(aStreamToAnOldCallerIsResetWhenTheProcessEnds);
    CPPUNIT_TEST(anUnreadStreamToAnOldCallerIsResetWhenTheProcessEnds);
    CPPUNIT_TEST(closesConnectionsWhileLeaving);
    CPPUNIT_TEST(countsAnswersThatSlowCallersHaveNotRead);
    CPPUNIT_TEST(reusesAnIdleConnection);
    CPPUNIT_TEST(aResetEndsAnAnswerWithoutLengthAsLost);
    CPPUNIT_TEST(aRegularCloseCompletesAnAnswerWithoutLength);
    CPPUNIT_TEST(anIncompleteAnswerIsReportedAsLost);
    CPPUNIT_TEST(discardsAnAnswerToAnEarlierRequest);
    CPPUNIT_TEST(extraDataAfterAnAnswerClosesTheConnection);
    CPPUNIT_TEST(reportsARefusedConnection);
    CPPUNIT_TEST(aRefusalBesideAnOpenConnectionIsNoProof);
    CPPUNIT_TEST(aProbeSendsNoData);
    CPPUNIT_TEST(theIdleTimeoutEndsACall);
    CPPUNIT_TEST(aSilentCallIsReportedAndContinues);
    CPPUNIT_TEST(aSilentCallStillEndsByItsIdleTimeout);
    CPPUNIT_TEST(abandoningACallClosesItsConnection);
    CPPUNIT_TEST(anAnswerIsReadOnAfterAPause);
    CPPUNIT_TEST(aConnectionThatWasPausedIsReused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_base.reset(event_base_new());
        m_requests.clear();
        m_disconnected.clear();
        m_calls.emplace();
        m_guard.emplace(m_base.get(), MachineResources {});
        m_listener.emplace(
            m_base.get(), *m_guard, ListenerOptions {},
            [this](RequestNumber number, CallerRequest request) {
                m_requests.emplace_back(number, std::move(request));
            },
            [this](RequestNumber number) { m_disconnected.push_back(number); });
        m_address = *m_listener->listenOn("127.0.0.1:0");
        m_servers.emplace(m_base.get(), *m_calls);
    }

    void tearDown() override
    {
        m_servers.reset();
        m_listener.reset();
        m_guard.reset();
        m_calls.reset();
        m_base.reset();
    }

    void answersOnAKeepAliveConnection()
    {
        RawSocket caller(m_address);
        for (int i = 0; i < 3; ++i) {
            caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
            runUntil([&] { return m_requests.size() == std::size_t(i) + 1; });
            m_listener->respond(m_requests.back().first, 200, {{"X-One", "1"}}, "hello");
            std::string answer;
            runUntil([&] { return (answer += caller.receive()).ends_with("hello"); });
            CPPUNIT_ASSERT(answer.find("Content-Length: 5") != std::string::npos);
            CPPUNIT_ASSERT(answer.find("close") == std::string::npos);
        }
    }

    void handlesPipelinedRequestsOneAtATime()
    {
        RawSocket caller(m_address);
        const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
        caller.send(request + request);
        runUntil([&] { return !m_requests.empty(); });
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_requests.size());
        m_listener->respond(m_requests.back().first, 200, {}, "");
        runUntil([&] { return m_requests.size() == 2; });
    }

    // If a disconnect during a request isn't reported, an engine's memory stays reserved for an
    // answer that nobody receives.
    void reportsADisconnectedCaller()
    {
        RawSocket caller(m_address);
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil([&] { return !m_requests.empty(); });
        caller.close();
        runUntil([&] { return !m_disconnected.empty(); });
        CPPUNIT_ASSERT(m_disconnected.front() == m_requests.front().first);
        m_listener->respond(m_disconnected.front(), 200, {}, "late");
    }

    void rejectsOversizedRequests()
    {
        CallerLimits limits;
        limits.headerBytes = 500;
        limits.bodyBytes = 100;
        m_listener->setLimits(limits);
        CPPUNIT_ASSERT_EQUAL(std::string("431"),
                             rejectionStatusOf("GET / HTTP/1.1\r\nHost: x\r\nX: "
                                               + std::string(600, 'a') + "\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("431"),
                             rejectionStatusOf("GET /" + std::string(2'000, 'a')));
        CPPUNIT_ASSERT_EQUAL(
            std::string("413"),
            rejectionStatusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("413"),
            rejectionStatusOf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
                              "\r\n\r\n70\r\n"
                              + std::string(0x70, 'b')));
    }

    void rejectsMalformedRequests()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("400"),
                             rejectionStatusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                                               "Content-Length: 2\r\n\r\nab"));
        CPPUNIT_ASSERT_EQUAL(std::string("400"), rejectionStatusOf("nonsense\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("400"),
                             rejectionStatusOf("CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n"));
        CPPUNIT_ASSERT(m_requests.empty());
    }

    void answersExpectContinue()
    {
        RawSocket caller(m_address);
        caller.send(
            "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        std::string answer;
        runUntil(
            [&] { return (answer += caller.receive()).find("100 Continue") != std::string::npos; });
        caller.send("ab");
        runUntil([&] { return !m_requests.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), std::string(m_requests.front().second.body.text()));
    }

    // The caller must be able to detect that an aborted stream is incomplete.
    void anAbortedStreamHasNoLastChunk()
    {
        RawSocket caller(m_address);
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil([&] { return !m_requests.empty(); });
        m_listener->startStream(m_requests.front().first, 200, {});
        m_listener->sendChunk(m_requests.front().first, "data: a\n\n");
        m_listener->abortAnswer(m_requests.front().first);
        std::string answer;
        runUntil([&] {
            answer += caller.receive();
            return caller.hasEnded();
        });
        CPPUNIT_ASSERT(answer.ends_with("9\r\ndata: a\n\n\r\n"));
    }

    // A caller with HTTP/1.0 takes chunk sizes for a part of the answer.
    void aStreamToAnOldCallerEndsWithItsConnection()
    {
        RawSocket caller(m_address);
        const std::string answer = streamToOldCaller(caller);
        m_listener->endStream(m_requests.front().first);
        runUntil([&] {
            caller.receive();
            return caller.hasEnded();
        });
        CPPUNIT_ASSERT(answer.find("Transfer-Encoding") == std::string::npos);
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("\r\n\r\ndata: a\n\n"));
        CPPUNIT_ASSERT(!caller.isReset());
    }

    // A regular close would pass the stream as whole.
    void anAbortedStreamToAnOldCallerIsReset()
    {
        RawSocket caller(m_address);
        streamToOldCaller(caller);
        m_listener->abortAnswer(m_requests.front().first);
        runUntil([&] {
            caller.receive();
            return caller.isReset();
        });
        CPPUNIT_ASSERT(!caller.hasEnded());
    }

    // The kernel closes the connections of a process that ends: the stream would look whole.
    void aStreamToAnOldCallerIsResetWhenTheProcessEnds()
    {
        RawSocket caller(m_address);
        streamToOldCaller(caller);
        m_listener.reset();
        runUntil([&] {
            caller.receive();
            return caller.isReset();
        });
        CPPUNIT_ASSERT(!caller.hasEnded());
    }

    // The stream has ended, but the caller has not been sent all of it.
    void anUnreadStreamToAnOldCallerIsResetWhenTheProcessEnds()
    {
        RawSocket caller(m_address);
        streamToOldCaller(caller);
        const std::string part(100'000, 'x');
        for (int i = 0; i < 35; ++i) {
            m_listener->sendChunk(m_requests.front().first, part);
        }
        m_listener->endStream(m_requests.front().first);
        event_base_loop(m_base.get(), EVLOOP_NONBLOCK);
        m_listener.reset();
        std::size_t received = 0;
        runUntil([&] {
            received += caller.receive().size();
            return caller.isReset() || caller.hasEnded();
        });
        CPPUNIT_ASSERT(caller.isReset() || received == 35 * part.size());
    }

    void closesConnectionsWhileLeaving()
    {
        RawSocket caller(m_address);
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil([&] { return !m_requests.empty(); });
        m_listener->beginLeaving();
        m_listener->respond(m_requests.front().first, 200, {}, "whole");
        std::string answer;
        runUntil([&] {
            answer += caller.receive();
            return caller.hasEnded();
        });
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("whole"));
    }

    // A node that leaves would end with the rest of an answer in its memory.
    void countsAnswersThatSlowCallersHaveNotRead()
    {
        RawSocket caller(m_address);
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil([&] { return !m_requests.empty(); });
        const std::string body(20'000'000, 'x');
        m_listener->respond(m_requests.front().first, 200, {}, body);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_listener->openRequests());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_listener->unwrittenAnswers());
        std::size_t received = 0;
        runUntil([&] { return (received += caller.receive().size()) > body.size(); });
        runUntil([&] { return m_listener->unwrittenAnswers() == 0; });
    }

    void reusesAnIdleConnection()
    {
        startCall(1);
        RawSocket first(m_server.acceptConnection());
        runUntil([&] { return !first.receive().empty(); });
        first.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
        runUntil([&] { return m_calls->ends.contains(CallNumber(1)); });
        startCall(2);
        runUntil([&] { return !first.receive().empty(); });
        first.send("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
        runUntil([&] { return m_calls->ends.contains(CallNumber(2)); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, m_servers->connectionsMade());
        startCall(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, m_servers->connectionsMade());
    }

    // A server process is killed during an answer without a length; only the reset shows that the
    // answer is incomplete.
    void aResetEndsAnAnswerWithoutLengthAsLost()
    {
        startCall(1);
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\n\r\nhalf");
        runUntil([&] { return m_calls->body[CallNumber(1)] == "half"; });
        server.reset();
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::ConnectionLost);
    }

    void aRegularCloseCompletesAnAnswerWithoutLength()
    {
        startCall(1);
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\n\r\nwhole");
        server.close();
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), m_calls->body[CallNumber(1)]);
    }

    void anIncompleteAnswerIsReportedAsLost()
    {
        startCall(1);
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        server.close();
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::ConnectionLost);
    }

    // A late answer to an earlier request must not be forwarded to the caller of the next one.
    void discardsAnAnswerToAnEarlierRequest()
    {
        startCall(1);
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother"
                    "HTTP/1.1 201 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), m_calls->body[CallNumber(1)]);
        CPPUNIT_ASSERT_EQUAL(201, m_calls->status[CallNumber(1)]);
    }

    void extraDataAfterAnAnswerClosesTheConnection()
    {
        startCall(1);
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), m_calls->body[CallNumber(1)]);
        startCall(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, m_servers->connectionsMade());
    }

    void reportsARefusedConnection()
    {
        const RefusingAddress refusing;
        startCall(1, refusing.address());
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Refused);
    }

    // Guards against a server that is taken for dead, and its runs for over, since it takes no more
    // connections than it has.
    void aRefusalBesideAnOpenConnectionIsNoProof()
    {
        std::optional<RawServer> listening(std::in_place);
        const std::string address = listening->address();
        startCall(1, address);
        RawSocket open(listening->acceptConnection());
        runUntil([&] { return !open.receive().empty(); });
        listening.reset();
        startCall(2, address);
        CPPUNIT_ASSERT(endOf(2) == TransferEnd::NotConnected);
        CPPUNIT_ASSERT(!m_calls->ends.contains(CallNumber(1)));
        open.reset();
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::ConnectionLost);
        startCall(3, address);
        CPPUNIT_ASSERT(endOf(3) == TransferEnd::Refused);
    }

    // A probe must not send data, which the server could interpret as a request.
    void aProbeSendsNoData()
    {
        ServerRequest probe;
        probe.call = CallNumber(1);
        probe.server = ServerName("s");
        probe.address = m_server.address();
        probe.isConnectOnly = true;
        m_servers->start(probe);
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Complete);
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return server.hasEnded() || !server.receive().empty(); });
        CPPUNIT_ASSERT(server.hasEnded());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_servers->idleConnections());
    }

    void theIdleTimeoutEndsACall()
    {
        startCall(1, m_server.address(), std::chrono::milliseconds(30));
        RawSocket server(m_server.acceptConnection());
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Broken);
    }

    // The end of a call by its silence limit would lose a run whose engine only pauses.
    void aSilentCallIsReportedAndContinues()
    {
        startSilentCall(Duration(0));
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return m_calls->silences[CallNumber(1)] >= 2; });
        CPPUNIT_ASSERT(m_calls->ends.empty());
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Complete);
    }

    // The reports must not prolong the idle timeout.
    void aSilentCallStillEndsByItsIdleTimeout()
    {
        startSilentCall(std::chrono::milliseconds(100));
        RawSocket server(m_server.acceptConnection());
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Broken);
        const int silences = m_calls->silences[CallNumber(1)];
        CPPUNIT_ASSERT(silences >= 2 && silences <= 4);
    }

    // Without room the rest of an answer stays at its server, and comes once there is room.
    void anAnswerIsReadOnAfterAPause()
    {
        startCall(1);
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
        runUntil([&] { return m_calls->body[CallNumber(1)] == "ab"; });
        m_servers->pause(CallNumber(1));
        server.send("cd");
        run();
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), m_calls->body[CallNumber(1)]);
        m_servers->resume(CallNumber(1));
        runUntil([&] { return m_calls->ends.contains(CallNumber(1)); });
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), m_calls->body[CallNumber(1)]);
    }

    // An answer ends with bytes that had arrived before it was paused. The next call on the
    // connection would never get its answer if nobody read there.
    void aConnectionThatWasPausedIsReused()
    {
        startCall(1);
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return !server.receive().empty(); });
        m_calls->atData = [this] {
            m_servers->pause(CallNumber(1));
        };
        server.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
        runUntil([&] { return m_calls->ends.contains(CallNumber(1)); });
        m_calls->atData = nullptr;
        startCall(2);
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        runUntil([&] { return m_calls->ends.contains(CallNumber(2)); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, m_servers->connectionsMade());
    }

    void abandoningACallClosesItsConnection()
    {
        startCall(1);
        RawSocket server(m_server.acceptConnection());
        runUntil([&] { return !server.receive().empty(); });
        m_servers->abandon(CallNumber(1));
        run();
        server.receive();
        CPPUNIT_ASSERT(m_calls->ends.empty());
        startCall(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, m_servers->connectionsMade());
    }

private:
    void run() { event_base_loop(m_base.get(), EVLOOP_NONBLOCK); }

    void runUntil(const std::function<bool()> &isDone)
    {
        constexpr int MaxIterations = 20'000;
        for (int i = 0; i < MaxIterations; ++i) {
            run();
            if (isDone()) {
                return;
            }
            usleep(200);
        }
        CPPUNIT_FAIL("condition not met in time");
    }

    /** Sends an event to a caller with HTTP/1.0 on a kept connection; returns what it has got. */
    std::string streamToOldCaller(RawSocket &caller)
    {
        caller.send("GET /a HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n");
        runUntil([&] { return !m_requests.empty(); });
        m_listener->startStream(m_requests.front().first, 200, {});
        m_listener->sendChunk(m_requests.front().first, "data: a\n\n");
        std::string answer;
        runUntil([&] { return (answer += caller.receive()).ends_with("\n\n"); });
        return answer;
    }

    void startSilentCall(Duration idleTimeout)
    {
        startCall(1, {}, idleTimeout, std::chrono::milliseconds(30));
    }

    void startCall(std::uint64_t number, const std::string &address = {}, Duration idleTimeout = {},
                   Duration silenceLimit = {})
    {
        ServerRequest request;
        request.call = CallNumber(number);
        request.server = ServerName("s");
        request.address = address.empty() ? m_server.address() : address;
        request.method = "GET";
        request.target = "/";
        request.idleTimeout = idleTimeout;
        request.silenceLimit = silenceLimit;
        m_servers->start(request);
        run();
    }

    TransferEnd endOf(std::uint64_t number)
    {
        runUntil([&] { return m_calls->ends.contains(CallNumber(number)); });
        return m_calls->ends.at(CallNumber(number));
    }

    /** Returns the status of the answer to @p request; requires that the connection is closed. */
    std::string rejectionStatusOf(const std::string &request)
    {
        RawSocket caller(m_address);
        caller.send(request);
        std::string answer;
        runUntil([&] {
            answer += caller.receive();
            return caller.hasEnded();
        });
        constexpr std::size_t StatusPosition = 9;
        return answer.substr(StatusPosition, 3);
    }

    EventBase m_base;
    RawServer m_server;
    std::optional<CallRecorder> m_calls;
    std::optional<OverloadGuard> m_guard;
    std::optional<HttpListener> m_listener;
    std::optional<ServerConnections> m_servers;
    std::string m_address;
    std::vector<std::pair<RequestNumber, CallerRequest>> m_requests;
    std::vector<RequestNumber> m_disconnected;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
