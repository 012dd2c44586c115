#include "http/backendcalls.h"

#include "relay/rawsockets.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

using namespace indigoway;
using namespace indigoway::tests;

namespace {

const std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string LastMarker = "data: [DONE]\n\n";

/** Returns a chunk of the stream of the request "r"; @p finish is JSON. */
std::string chunk(const std::string &text, const std::string &finish, int tokens)
{
    return "data: {\"id\":\"r\",\"choices\":[{\"index\":0,\"text\":\"" + text
        + "\",\"finish_reason\":" + finish
        + "}],\"usage\":{\"completion_tokens\":" + std::to_string(tokens) + "}}\n\n";
}

} // namespace

/** Streams of engines without length or chunks, and what proves their end. */
class BackendCallsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendCallsTest);
    CPPUNIT_TEST(aStreamIsWholeWithItsLastMarkerOnly);
    CPPUNIT_TEST(aStreamThatACancelEndsIsNotWhole);
    CPPUNIT_TEST(aStreamThatGoesOnAfterACancelKeepsItsOwnEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    // An engine whose process ends closes the connection as at the end of a stream.
    void aStreamIsWholeWithItsLastMarkerOnly()
    {
        CPPUNIT_ASSERT(
            outcomeOfStream(chunk("a", "null", 1) + chunk("", "\"stop\"", 1) + LastMarker)
            == CallOutcome::Whole);
        CPPUNIT_ASSERT_EQUAL(std::string("stop"), m_request.finishReason);
        CPPUNIT_ASSERT(outcomeOfStream(chunk("a", "null", 1) + chunk("", "\"stop\"", 1))
                       == CallOutcome::Truncated);
        CPPUNIT_ASSERT(outcomeOfStream(chunk("a", "null", 1)) == CallOutcome::Truncated);
    }

    // A node that takes the owner of a request for dead cancels it at its engine. Engines write
    // their last marker then, too: a part of an answer would pass for all of it.
    void aStreamThatACancelEndsIsNotWhole()
    {
        CPPUNIT_ASSERT(
            outcomeOfStream(chunk("a", "null", 1) + chunk("", "\"abort\"", 1) + LastMarker)
            == CallOutcome::Truncated);
        CPPUNIT_ASSERT_EQUAL(std::string(), m_request.finishReason);
    }

    // What goes on elsewhere after a cancel ends with the reason of its own end.
    void aStreamThatGoesOnAfterACancelKeepsItsOwnEnd()
    {
        outcomeOfStream(chunk("a", "null", 1) + chunk("", "\"abort\"", 1) + LastMarker);
        CPPUNIT_ASSERT(
            outcomeOfStream(chunk("b", "null", 1) + chunk("", "\"length\"", 1) + LastMarker)
            == CallOutcome::Whole);
        CPPUNIT_ASSERT_EQUAL(std::string("length"), m_request.finishReason);
    }

private:
    /** Plays a stream of @p events whose engine then closes its connection in good order. */
    CallOutcome outcomeOfStream(const std::string &events)
    {
        TestLoop loop;
        std::optional<CallOutcome> outcome;
        {
            HttpClient client(loop.base());
            const RawServer engine;
            m_request.body["prompt"] = "p";
            BackendCalls calls(
                client, [this](RequestNumber) { return &m_request; },
                [&outcome](const Event &event) {
                    if (const auto *ended = std::get_if<DecodeFinished>(&event)) {
                        outcome = ended->outcome;
                    }
                });
            StartDecode decode;
            decode.call = CallNumber(1);
            decode.request = RequestNumber(1);
            decode.name = EngineRequestName("r");
            decode.address = engine.address();
            calls.run(decode);
            int accepted = -1;
            loop.runUntil([&] { return (accepted = engine.tryAccept()) >= 0; }, "connected");
            RawSocket socket(accepted);
            loop.runUntil([&] { return !socket.receive().empty(); }, "request");
            socket.send(Head + events);
            socket.close();
            loop.runUntil([&] { return outcome.has_value(); }, "ended");
        }
        loop.run();
        return *outcome;
    }

    OpenRequest m_request;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendCallsTest);
