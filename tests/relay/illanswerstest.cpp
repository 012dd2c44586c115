#include "http/illanswers.h"
#include "relay/rawsockets.h"

#include <chrono>
#include <functional>
#include <optional>

using namespace indigoway;
using namespace indigoway::tests;

namespace {

/** More than the limits of an answer's head and framing and the buffers of the kernel. */
constexpr std::size_t MaxTakenBytes = std::size_t {16} * 1024 * 1024;

} // namespace

/** Servers in trouble behind ServerConnections; each case is played over sockets. */
class IllAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IllAnswersTest);
    CPPUNIT_TEST(takesWhatAllReadersTakeAlike);
    CPPUNIT_TEST(takesNoIllAnswer);
    CPPUNIT_TEST(takesNoIllAnswerInPieces);
    CPPUNIT_TEST(takesNoAnswerThatEndsInItsHead);
    CPPUNIT_TEST(endsAnswersWithoutEnd);
    CPPUNIT_TEST(limitsTheTimeOfAnAnswerForTheNode);
    CPPUNIT_TEST(closesAConnectionWithSurplusBytes);
    CPPUNIT_TEST(aResetDuringTheUploadEndsAnAnswerWithoutLengthAsLost);
    CPPUNIT_TEST(anEndDuringTheUploadIsNoOrderlyEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_loop.emplace(); }
    void tearDown() override
    {
        m_servers.reset();
        m_loop.reset();
    }

    void takesWhatAllReadersTakeAlike()
    {
        for (const AnswerCase &one : validAnswers()) {
            begin();
            m_server->send(one.bytes);
            const TransferEnd end = ended(one.name);
            CPPUNIT_ASSERT_MESSAGE(one.name, end == TransferEnd::Complete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::string("ok"), m_calls->body[Call]);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 200, m_calls->status[Call]);
        }
    }

    // Guards against bytes that are no answer, or another one to another reader, being passed on.
    void takesNoIllAnswer()
    {
        for (const AnswerCase &one : illAnswers()) {
            begin();
            m_server->send(one.bytes);
            m_server->close();
            CPPUNIT_ASSERT_MESSAGE(one.name, ended(one.name) != TransferEnd::Complete);
        }
    }

    void takesNoIllAnswerInPieces()
    {
        for (const AnswerCase &one : illAnswers()) {
            begin();
            for (const char byte : one.bytes) {
                if (m_calls->ends.empty()) {
                    m_server->trySend(std::string(1, byte));
                    run();
                }
            }
            m_server->close();
            CPPUNIT_ASSERT_MESSAGE(one.name, ended(one.name) != TransferEnd::Complete);
        }
    }

    // Guards against an empty body that passes for the whole one of a server that stopped before.
    void takesNoAnswerThatEndsInItsHead()
    {
        for (const AnswerCase &one : headsToCut()) {
            for (std::size_t length = 0; length < one.bytes.size(); ++length) {
                begin();
                m_server->send(one.bytes.substr(0, length));
                m_server->close();
                CPPUNIT_ASSERT_MESSAGE(one.name, ended(one.name) == TransferEnd::ConnectionLost);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 0, m_calls->status[Call]);
            }
        }
    }

    // Guards against a server that takes a node's memory and time with bytes that do not end.
    void endsAnswersWithoutEnd()
    {
        for (const EndlessCase &one : endlessAnswers()) {
            begin();
            m_server->send(one.begin);
            std::size_t taken = 0;
            runUntil(
                [&] {
                    for (int i = 0; i < 100; ++i) {
                        taken += m_server->trySend(one.part);
                    }
                    return !m_calls->ends.empty() || taken > MaxTakenBytes;
                },
                one.name);
            CPPUNIT_ASSERT_MESSAGE(one.name, taken <= MaxTakenBytes);
            CPPUNIT_ASSERT_MESSAGE(one.name, m_calls->ends[Call] == TransferEnd::Broken);
            runUntil(
                [&] {
                    m_server->receive();
                    return m_server->isReset() || m_server->hasEnded();
                },
                one.name);
        }
    }

    // Guards against an engine that drips bytes and keeps prompts from sound ones.
    void limitsTheTimeOfAnAnswerForTheNode()
    {
        ServerRequest request = requestOf();
        request.idleTimeout = std::chrono::seconds(60);
        request.answerLimit = std::chrono::milliseconds(80);
        begin(request);
        usleep(100'000); // The limit counts from the first byte.
        run();
        CPPUNIT_ASSERT(m_calls->ends.empty());
        m_server->send("HTTP/1.1 200 OK\r\nX: ");
        runUntil(
            [&] {
                m_server->trySend("y");
                usleep(5'000);
                return !m_calls->ends.empty();
            },
            "drip");
        CPPUNIT_ASSERT(m_calls->ends[Call] == TransferEnd::Broken);
    }

    void closesAConnectionWithSurplusBytes()
    {
        begin();
        m_server->send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok");
        m_server->send(std::string(10'000, 'x'));
        CPPUNIT_ASSERT(ended("surplus") == TransferEnd::Complete);
        runUntil(
            [&] {
                m_server->trySend("x");
                m_server->receive();
                return m_server->isReset() || m_server->hasEnded();
            },
            "surplus");
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_servers->idleConnections());
    }

    // Guards against a part of an answer that passes for the whole: a write takes the error of the
    // reset, and the next read looks like an orderly end.
    void aResetDuringTheUploadEndsAnAnswerWithoutLengthAsLost()
    {
        for (int i = 0; i < 20; ++i) {
            begin(uploadOf());
            m_server->send("HTTP/1.1 200 OK\r\n\r\npart");
            runUntil([&] { return m_calls->body[Call] == "part"; }, "part");
            m_server->reset();
            CPPUNIT_ASSERT(ended("reset") == TransferEnd::ConnectionLost);
        }
    }

    void anEndDuringTheUploadIsNoOrderlyEnd()
    {
        begin(uploadOf());
        m_server->send("HTTP/1.1 200 OK\r\n\r\npart");
        runUntil([&] { return m_calls->body[Call] == "part"; }, "part");
        m_server->endSending();
        CPPUNIT_ASSERT(ended("end") == TransferEnd::ConnectionLost);
    }

private:
    const CallNumber Call {1};

    ServerRequest requestOf() const
    {
        ServerRequest request;
        request.call = Call;
        request.server = ServerName("s");
        request.address = m_listener.address();
        request.method = "POST";
        request.target = "/";
        return request;
    }

    ServerRequest uploadOf() const
    {
        ServerRequest request = requestOf();
        request.body = std::string(std::size_t {16} * 1024 * 1024, 'u');
        return request;
    }

    void begin() { begin(requestOf()); }
    void begin(const ServerRequest &request)
    {
        m_servers.reset();
        m_calls.emplace();
        m_servers.emplace(m_loop->base(), *m_calls);
        m_servers->start(request);
        run();
        m_server.emplace(m_listener.acceptConnection());
        runUntil([&] { return !m_server->receive().empty(); }, "request");
    }

    void run() { m_loop->run(); }
    void runUntil(const std::function<bool()> &isDone, const char *name)
    {
        m_loop->runUntil(isDone, name);
    }

    TransferEnd ended(const char *name)
    {
        runUntil([&] { return !m_calls->ends.empty(); }, name);
        return m_calls->ends[Call];
    }

    std::optional<TestLoop> m_loop;
    RawServer m_listener;
    std::optional<CallRecorder> m_calls;
    std::optional<ServerConnections> m_servers;
    std::optional<RawSocket> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(IllAnswersTest);
