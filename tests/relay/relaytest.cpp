#include "relay/callerlistener.h"
#include "relay/serverconnections.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace indigoway;

namespace {

sockaddr_in socketAddress(const std::string &address)
{
    const auto parts = splitAddress(address);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(parts->second);
    inet_pton(AF_INET, parts->first.c_str(), &to.sin_addr);
    return to;
}

/** One end of a connection, for what a well-behaved peer never does. */
class RawSocket
{
public:
    explicit RawSocket(int socket)
        : m_socket(socket)
    { }
    explicit RawSocket(const std::string &address)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        const sockaddr_in to = socketAddress(address);
        CPPUNIT_ASSERT_EQUAL(0,
                             connect(m_socket, reinterpret_cast<const sockaddr *>(&to), sizeof to));
    }
    ~RawSocket() { close(); }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void send(const std::string &text) const
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                             ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL));
    }
    /** All that has arrived; sets hasEnded() at the peer's orderly end. */
    std::string receive()
    {
        std::string text;
        char buffer[4096];
        for (;;) {
            const ssize_t size = recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
            if (size <= 0) {
                m_hasEnded = m_hasEnded || size == 0;
                return text;
            }
            text.append(buffer, static_cast<std::size_t>(size));
        }
    }
    bool hasEnded() const { return m_hasEnded; }
    void reset()
    {
        const linger abort {1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        close();
    }
    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }

private:
    int m_socket;
    bool m_hasEnded = false;
};

/** A backend server that the test plays by hand. */
class RawServer
{
public:
    RawServer()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in at = socketAddress("127.0.0.1:0");
        CPPUNIT_ASSERT_EQUAL(0, bind(m_socket, reinterpret_cast<sockaddr *>(&at), sizeof at));
        CPPUNIT_ASSERT_EQUAL(0, listen(m_socket, 8));
        socklen_t length = sizeof at;
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&at), &length);
        m_address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    }
    ~RawServer() { close(m_socket); }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    const std::string &address() const { return m_address; }
    int takeConnection() const { return accept(m_socket, nullptr, nullptr); }

private:
    int m_socket;
    std::string m_address;
};

/** Remembers what it is told of calls. */
class Calls : public ServerCallObserver
{
public:
    bool isAnswerTo(CallNumber /*call*/, const MessageHead &head) override
    {
        return head.header("X-Id").empty() || head.header("X-Id") == "mine";
    }
    void answerBegan(CallNumber call, const MessageHead &head) override
    {
        status[call] = head.status;
    }
    void answerData(CallNumber call, std::string_view data) override { body[call] += data; }
    void callEnded(CallNumber call, TransferEnd end, const std::string & /*why*/) override
    {
        ends[call] = end;
    }

    std::map<CallNumber, int> status;
    std::map<CallNumber, std::string> body;
    std::map<CallNumber, TransferEnd> ends;
};

} // namespace

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(answersOnAKeptConnection);
    CPPUNIT_TEST(handsOnOneRequestAtATime);
    CPPUNIT_TEST(tellsThatACallerLeft);
    CPPUNIT_TEST(refusesWhatIsTooLarge);
    CPPUNIT_TEST(refusesTwoLengths);
    CPPUNIT_TEST(invitesABodyThatWaits);
    CPPUNIT_TEST(aBrokenStreamHasNoLastChunk);
    CPPUNIT_TEST(asksToCloseWhileLeaving);
    CPPUNIT_TEST(keepsAConnectionToAServer);
    CPPUNIT_TEST(aResetAnswerWithoutLengthIsBroken);
    CPPUNIT_TEST(anEndedAnswerWithoutLengthIsWhole);
    CPPUNIT_TEST(aShortAnswerIsBroken);
    CPPUNIT_TEST(anotherRequestsAnswerIsDropped);
    CPPUNIT_TEST(bytesAfterAnAnswerEndTheConnection);
    CPPUNIT_TEST(nothingSentIsToldApart);
    CPPUNIT_TEST(aConnectionAloneSendsNothing);
    CPPUNIT_TEST(aSilentServerIsGivenUp);
    CPPUNIT_TEST(anAbandonedCallClosesItsConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_base.reset(event_base_new());
        m_taken.clear();
        m_gone.clear();
        m_calls.emplace();
        m_listener.emplace(
            m_base.get(),
            [this](RequestNumber number, CallerRequest request) {
                m_taken.emplace_back(number, std::move(request));
            },
            [this](RequestNumber number) { m_gone.push_back(number); });
        m_address = *m_listener->listenOn("127.0.0.1:0");
        m_servers.emplace(m_base.get(), *m_calls);
    }

    void tearDown() override
    {
        m_servers.reset();
        m_listener.reset();
        m_calls.reset();
        m_base.reset();
    }

    void answersOnAKeptConnection()
    {
        RawSocket caller(m_address);
        for (int i = 0; i < 3; ++i) {
            caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
            runUntil([&] { return m_taken.size() == std::size_t(i) + 1; });
            m_listener->respond(m_taken.back().first, 200, {{"X-One", "1"}}, "hello");
            std::string answer;
            runUntil([&] { return (answer += caller.receive()).ends_with("hello"); });
            CPPUNIT_ASSERT(answer.find("Content-Length: 5") != std::string::npos);
            CPPUNIT_ASSERT(answer.find("close") == std::string::npos);
        }
    }

    void handsOnOneRequestAtATime()
    {
        RawSocket caller(m_address);
        const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
        caller.send(request + request);
        runUntil([&] { return !m_taken.empty(); });
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_taken.size());
        m_listener->respond(m_taken.back().first, 200, {}, "");
        runUntil([&] { return m_taken.size() == 2; });
    }

    // A caller gives up while its request waits. Without being told, the node would keep an
    // engine's memory for an answer that nobody reads.
    void tellsThatACallerLeft()
    {
        RawSocket caller(m_address);
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil([&] { return !m_taken.empty(); });
        caller.close();
        runUntil([&] { return !m_gone.empty(); });
        CPPUNIT_ASSERT(m_gone.front() == m_taken.front().first);
        m_listener->respond(m_gone.front(), 200, {}, "late");
    }

    void refusesWhatIsTooLarge()
    {
        CallerLimits limits;
        limits.headerBytes = 500;
        limits.bodyBytes = 100;
        m_listener->setLimits(limits);
        CPPUNIT_ASSERT_EQUAL(
            std::string("431"),
            refusalOf("GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(600, 'a') + "\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("431"), refusalOf("GET /" + std::string(2'000, 'a')));
        CPPUNIT_ASSERT_EQUAL(
            std::string("413"),
            refusalOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("413"),
                             refusalOf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
                                       "\r\n\r\n70\r\n"
                                       + std::string(0x70, 'b')));
    }

    void refusesTwoLengths()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("400"),
                             refusalOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                                       "Content-Length: 2\r\n\r\nab"));
        CPPUNIT_ASSERT_EQUAL(std::string("400"), refusalOf("nonsense\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("400"),
                             refusalOf("CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n"));
        CPPUNIT_ASSERT(m_taken.empty());
    }

    void invitesABodyThatWaits()
    {
        RawSocket caller(m_address);
        caller.send(
            "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        std::string answer;
        runUntil(
            [&] { return (answer += caller.receive()).find("100 Continue") != std::string::npos; });
        caller.send("ab");
        runUntil([&] { return !m_taken.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), m_taken.front().second.body);
    }

    // A stream that cannot go on must not look whole to its caller.
    void aBrokenStreamHasNoLastChunk()
    {
        RawSocket caller(m_address);
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil([&] { return !m_taken.empty(); });
        m_listener->beginStream(m_taken.front().first, 200, {});
        m_listener->sendPiece(m_taken.front().first, "data: a\n\n");
        m_listener->breakAnswer(m_taken.front().first);
        std::string answer;
        runUntil([&] {
            answer += caller.receive();
            return caller.hasEnded();
        });
        CPPUNIT_ASSERT(answer.ends_with("9\r\ndata: a\n\n\r\n"));
    }

    void asksToCloseWhileLeaving()
    {
        RawSocket caller(m_address);
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil([&] { return !m_taken.empty(); });
        m_listener->beginLeaving();
        m_listener->respond(m_taken.front().first, 200, {}, "whole");
        std::string answer;
        runUntil([&] {
            answer += caller.receive();
            return caller.hasEnded();
        });
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("whole"));
    }

    void keepsAConnectionToAServer()
    {
        startCall(1);
        RawSocket first(m_server.takeConnection());
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

    // The server is killed in the middle of an answer that has no length. Only the reset shows
    // that the answer is not whole.
    void aResetAnswerWithoutLengthIsBroken()
    {
        startCall(1);
        RawSocket server(m_server.takeConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\n\r\nhalf");
        runUntil([&] { return m_calls->body[CallNumber(1)] == "half"; });
        server.reset();
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Lost);
    }

    void anEndedAnswerWithoutLengthIsWhole()
    {
        startCall(1);
        RawSocket server(m_server.takeConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\n\r\nwhole");
        server.close();
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), m_calls->body[CallNumber(1)]);
    }

    void aShortAnswerIsBroken()
    {
        startCall(1);
        RawSocket server(m_server.takeConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        server.close();
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Lost);
    }

    // A server's answer to an earlier request comes late, where the next answer is expected.
    // Passed on, it would be somebody else's answer.
    void anotherRequestsAnswerIsDropped()
    {
        startCall(1);
        RawSocket server(m_server.takeConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother"
                    "HTTP/1.1 201 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), m_calls->body[CallNumber(1)]);
        CPPUNIT_ASSERT_EQUAL(201, m_calls->status[CallNumber(1)]);
    }

    void bytesAfterAnAnswerEndTheConnection()
    {
        startCall(1);
        RawSocket server(m_server.takeConnection());
        runUntil([&] { return !server.receive().empty(); });
        server.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), m_calls->body[CallNumber(1)]);
        startCall(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, m_servers->connectionsMade());
    }

    void nothingSentIsToldApart()
    {
        std::string deadAddress;
        {
            const RawServer dead;
            deadAddress = dead.address();
        }
        startCall(1, deadAddress);
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::NotConnected);
    }

    // Whether a server still lives is asked by a connection and nothing more: bytes could be taken
    // for a request.
    void aConnectionAloneSendsNothing()
    {
        ServerRequest probe;
        probe.call = CallNumber(1);
        probe.server = ServerName("s");
        probe.address = m_server.address();
        probe.isConnectOnly = true;
        m_servers->start(probe);
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Complete);
        RawSocket server(m_server.takeConnection());
        runUntil([&] { return server.hasEnded() || !server.receive().empty(); });
        CPPUNIT_ASSERT(server.hasEnded());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_servers->kept());
    }

    void aSilentServerIsGivenUp()
    {
        startCall(1, m_server.address(), std::chrono::milliseconds(30));
        RawSocket server(m_server.takeConnection());
        CPPUNIT_ASSERT(endOf(1) == TransferEnd::Broken);
    }

    void anAbandonedCallClosesItsConnection()
    {
        startCall(1);
        RawSocket server(m_server.takeConnection());
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
        constexpr int MostRounds = 20'000;
        for (int i = 0; i < MostRounds; ++i) {
            run();
            if (isDone()) {
                return;
            }
            usleep(200);
        }
        CPPUNIT_FAIL("what was waited for did not come");
    }

    void startCall(std::uint64_t number, const std::string &address = {}, Duration idleTimeout = {})
    {
        ServerRequest request;
        request.call = CallNumber(number);
        request.server = ServerName("s");
        request.address = address.empty() ? m_server.address() : address;
        request.method = "GET";
        request.target = "/";
        request.idleTimeout = idleTimeout;
        m_servers->start(request);
        run();
    }

    TransferEnd endOf(std::uint64_t number)
    {
        runUntil([&] { return m_calls->ends.contains(CallNumber(number)); });
        return m_calls->ends.at(CallNumber(number));
    }

    /** Status of the answer to @p request, after which the connection must be closed. */
    std::string refusalOf(const std::string &request)
    {
        RawSocket caller(m_address);
        caller.send(request);
        std::string answer;
        runUntil([&] {
            answer += caller.receive();
            return caller.hasEnded();
        });
        constexpr std::size_t StatusAt = 9;
        return answer.substr(StatusAt, 3);
    }

    EventBase m_base;
    RawServer m_server;
    std::optional<Calls> m_calls;
    std::optional<CallerListener> m_listener;
    std::optional<ServerConnections> m_servers;
    std::string m_address;
    std::vector<std::pair<RequestNumber, CallerRequest>> m_taken;
    std::vector<RequestNumber> m_gone;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
