#include "http/httpclient.h"

#include "http/illanswers.h"
#include "relay/rawsockets.h"

#include <chrono>
#include <functional>
#include <optional>

using namespace indigoway;
using namespace indigoway::tests;

namespace {

using End = HttpAnswer::End;

constexpr std::size_t MaxTakenBytes = std::size_t {16} * 1024 * 1024;

} // namespace

/** Servers, nodes and stores in trouble behind HttpClient; each case is played over sockets. */
class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(takesWhatAllReadersTakeAlike);
    CPPUNIT_TEST(takesNoIllAnswer);
    CPPUNIT_TEST(takesNoAnswerThatEndsInItsHead);
    CPPUNIT_TEST(endsAnswersWithoutEnd);
    CPPUNIT_TEST(anAnswerWithoutLengthIsNotKnownToBeWhole);
    CPPUNIT_TEST(aHandlerOfChunksTakesAnOrderlyEndOnly);
    CPPUNIT_TEST(aResetDuringTheUploadIsNoOrderlyEnd);
    CPPUNIT_TEST(reusesAConnection);
    CPPUNIT_TEST(closesAConnectionWithSurplusBytes);
    CPPUNIT_TEST(anAnswerToHeadHasNoBody);
    CPPUNIT_TEST(tellsThatNothingWasSent);
    CPPUNIT_TEST(endsAtItsTimeLimit);
    CPPUNIT_TEST(abandonedCallTellsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_reusesConnections = false;
        m_loop.emplace();
        m_client.emplace(m_loop->base());
    }
    void tearDown() override
    {
        m_client.reset();
        m_loop.reset();
    }

    void takesWhatAllReadersTakeAlike()
    {
        for (const AnswerCase &one : validAnswers()) {
            begin();
            m_server->send(one.bytes);
            const HttpAnswer answer = ended(one.name);
            CPPUNIT_ASSERT_MESSAGE(one.name, answer.end == End::Complete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::string("ok"), answer.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 200, answer.status);
        }
    }

    // Guards against a state, a lease or an order that rests on bytes that are no answer.
    void takesNoIllAnswer()
    {
        for (const AnswerCase &one : illAnswers()) {
            begin();
            m_server->send(one.bytes);
            m_server->close();
            const HttpAnswer answer = ended(one.name);
            CPPUNIT_ASSERT_MESSAGE(one.name, answer.end == End::Broken);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 0, answer.status);
        }
    }

    // Guards against an empty state that passes for the whole one of a store that stopped before.
    void takesNoAnswerThatEndsInItsHead()
    {
        for (const AnswerCase &one : headsToCut()) {
            for (std::size_t length = 0; length < one.bytes.size(); ++length) {
                beginChunks("");
                m_server->send(one.bytes.substr(0, length));
                m_server->close();
                CPPUNIT_ASSERT_MESSAGE(one.name, ended(one.name).end == End::Broken);
            }
        }
    }

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
                    return m_answer || taken > MaxTakenBytes;
                },
                one.name);
            CPPUNIT_ASSERT_MESSAGE(one.name, taken <= MaxTakenBytes);
            CPPUNIT_ASSERT_MESSAGE(one.name, m_answer->end == End::Broken);
        }
    }

    void anAnswerWithoutLengthIsNotKnownToBeWhole()
    {
        begin();
        m_server->send("HTTP/1.1 200 OK\r\n\r\nwhole?");
        m_server->close();
        CPPUNIT_ASSERT(ended("close").end == End::Broken);
    }

    void aHandlerOfChunksTakesAnOrderlyEndOnly()
    {
        beginChunks({});
        m_server->send("HTTP/1.1 200 OK\r\n\r\nwhole");
        m_server->close();
        CPPUNIT_ASSERT(ended("close").end == End::Complete);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), m_chunks);
        beginChunks({});
        m_server->send("HTTP/1.1 200 OK\r\n\r\npart");
        runUntil([&] { return m_chunks == "part"; }, "part");
        m_server->reset();
        CPPUNIT_ASSERT(ended("reset").end == End::Broken);
    }

    // Guards against a part of an answer that passes for the whole.
    void aResetDuringTheUploadIsNoOrderlyEnd()
    {
        for (int i = 0; i < 20; ++i) {
            beginChunks(std::string(std::size_t {16} * 1024 * 1024, 'u'));
            m_server->send("HTTP/1.1 200 OK\r\n\r\npart");
            runUntil([&] { return m_chunks == "part"; }, "part");
            m_server->reset();
            CPPUNIT_ASSERT(ended("reset").end == End::Broken);
        }
    }

    void reusesAConnection()
    {
        m_reusesConnections = true;
        begin();
        m_server->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        CPPUNIT_ASSERT(ended("first").end == End::Complete);
        start({});
        runUntil([&] { return !m_server->receive().empty(); }, "second request");
        m_server->send("HTTP/1.1 204 No Content\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(204, ended("second").status);
        CPPUNIT_ASSERT(m_listener.tryAccept() < 0);
        // The peer closes it while it is idle: the next call opens another one.
        m_server->close();
        run();
        begin();
    }

    void closesAConnectionWithSurplusBytes()
    {
        m_reusesConnections = true;
        begin();
        m_server->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), ended("surplus").body);
        begin();
    }

    void anAnswerToHeadHasNoBody()
    {
        HttpCall call;
        call.method = "HEAD";
        begin(call);
        m_server->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
        CPPUNIT_ASSERT(ended("head").end == End::Complete);
    }

    void tellsThatNothingWasSent()
    {
        const RefusingAddress refusing;
        for (const std::string &address : {refusing.address(), std::string("nonsense")}) {
            HttpCall call;
            call.address = address;
            m_answer.reset();
            m_client->start(call, [this](const HttpAnswer &answer) { m_answer = answer; });
            CPPUNIT_ASSERT(!m_answer);
            CPPUNIT_ASSERT(ended("closed").end == End::NotConnected);
        }
    }

    void endsAtItsTimeLimit()
    {
        HttpCall call;
        call.timeout = std::chrono::milliseconds(50);
        begin(call);
        m_server->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
        CPPUNIT_ASSERT(ended("limit").end == End::TimedOut);
    }

    void abandonedCallTellsNothing()
    {
        begin();
        m_client->abandon(m_number);
        runUntil(
            [&] {
                m_server->receive();
                return m_server->hasEnded() || m_server->isReset();
            },
            "abandoned");
        CPPUNIT_ASSERT(!m_answer);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_client->open());
    }

private:
    void start(HttpCall call, const HttpClient::ChunkHandler &chunk = {})
    {
        call.address = m_listener.address();
        call.isFreshConnection = !m_reusesConnections;
        m_answer.reset();
        m_number = m_client->start(
            call, [this](const HttpAnswer &answer) { m_answer = answer; }, chunk);
        run();
    }
    /** Starts a call whose connection the test takes over. */
    void begin(const HttpCall &call = {}, const HttpClient::ChunkHandler &chunk = {})
    {
        start(call, chunk);
        m_server.emplace(m_listener.acceptConnection());
        runUntil([&] { return !m_server->receive().empty(); }, "request");
    }
    void beginChunks(const std::string &upload)
    {
        HttpCall call;
        call.method = "POST";
        call.body = upload;
        m_chunks.clear();
        begin(call, [this](int /*status*/, const std::string &data) { m_chunks += data; });
    }

    void run() { m_loop->run(); }
    void runUntil(const std::function<bool()> &isDone, const char *name)
    {
        m_loop->runUntil(isDone, name);
    }
    HttpAnswer ended(const char *name)
    {
        runUntil([&] { return m_answer.has_value(); }, name);
        return *m_answer;
    }

    std::optional<TestLoop> m_loop;
    RawServer m_listener;
    std::optional<HttpClient> m_client;
    bool m_reusesConnections = false;
    HttpCallNumber m_number;
    std::optional<HttpAnswer> m_answer;
    std::string m_chunks;
    std::optional<RawSocket> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
