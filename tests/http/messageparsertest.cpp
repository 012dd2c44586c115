#include "http/messageparser.h"

#include "http/illanswers.h"
#include "relay/dialect.h"
#include "relay/eventstreamparser.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;

namespace {

/** Parser that stores the body. */
struct BodyRecorder
{
    explicit BodyRecorder(MessageParser::Kind kind)
        : parser(kind,
                 {[](const MessageHead &) {},
                  [this](std::string_view data) {
                      body.append(data);
                  }})
    { }

    std::string body;
    MessageParser parser;
};

rc::Gen<std::vector<std::size_t>> pieceSizes()
{
    return rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 12)));
}

/** Returns the final status and the body of an answer in pieces of these sizes; "none" if none. */
std::string resultOf(const std::string &bytes, const std::vector<std::size_t> &sizes)
{
    BodyRecorder recorder(MessageParser::Kind::Response);
    std::size_t piece = 0;
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t end = std::min(bytes.size(), at + sizes[piece++ % sizes.size()]);
        while (at < end) {
            at += recorder.parser.feed(std::string_view(bytes).substr(at, end - at));
            if (recorder.parser.hasFailed()) {
                return "none";
            }
            if (!recorder.parser.isComplete()) {
                continue;
            }
            const int status = recorder.parser.head().status;
            if (status >= 200) {
                return at == bytes.size() ? std::to_string(status) + " " + recorder.body : "none";
            }
            recorder.parser.reset();
        }
    }
    recorder.parser.feedEof();
    return recorder.parser.isComplete() ? "until the end" : "none";
}

bool isRejected(const std::string &request)
{
    BodyRecorder recorder(MessageParser::Kind::Request);
    recorder.parser.feed(request);
    return recorder.parser.hasFailed();
}

} // namespace

class MessageParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageParserTest);
    CPPUNIT_TEST(stopsAtTheEndOfAMessage);
    CPPUNIT_TEST(rejectsAmbiguousFraming);
    CPPUNIT_TEST(detectsABodyDelimitedByClose);
    CPPUNIT_TEST(anIncompleteBodyIsAnError);
    CPPUNIT_TEST(answersAreIndependentOfFragmentation);
    CPPUNIT_TEST(changedAnswersAreNeverTakenDifferentlyInPieces);
    CPPUNIT_TEST(removesHopByHopHeaders);
    CPPUNIT_TEST(arbitraryInputKeepsTheParserConsistent);
    CPPUNIT_TEST(returnsCompleteEventsOnly);
    CPPUNIT_TEST(eventsAreIndependentOfFragmentation);
    CPPUNIT_TEST_SUITE_END();

public:
    void stopsAtTheEndOfAMessage()
    {
        const std::string first =
            "POST /a?b=%20c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
        const std::string second = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        BodyRecorder recorder(MessageParser::Kind::Request);
        CPPUNIT_ASSERT_EQUAL(first.size(), recorder.parser.feed(first + second));
        CPPUNIT_ASSERT(recorder.parser.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), recorder.body);
        CPPUNIT_ASSERT_EQUAL(std::string("/a?b=%20c"), recorder.parser.head().target);
        CPPUNIT_ASSERT(recorder.parser.head().isKeepAlive);
        recorder.parser.reset();
        CPPUNIT_ASSERT_EQUAL(second.size(), recorder.parser.feed(second));
        CPPUNIT_ASSERT(recorder.parser.isComplete());
    }

    // Request smuggling: with ambiguous framing, the server could execute part of a body as another
    // caller's request.
    void rejectsAmbiguousFraming()
    {
        const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
        CPPUNIT_ASSERT(isRejected(head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
        CPPUNIT_ASSERT(
            isRejected(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
        CPPUNIT_ASSERT(isRejected(head + "Content-Length: 3, 4\r\n\r\nabc"));
        CPPUNIT_ASSERT(isRejected(head + "Content-Length: -1\r\n\r\n"));
        CPPUNIT_ASSERT(isRejected(head + "Transfer-Encoding: gzip\r\n\r\n"));
        CPPUNIT_ASSERT(isRejected(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"));
        CPPUNIT_ASSERT(isRejected(head + "Bad Header: x\r\n\r\n"));
        CPPUNIT_ASSERT(isRejected(head + "Bad\rHeader: x\r\n\r\n"));
    }

    void detectsABodyDelimitedByClose()
    {
        BodyRecorder recorder(MessageParser::Kind::Response);
        recorder.parser.feed("HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome");
        CPPUNIT_ASSERT(recorder.parser.head().isDelimitedByClose);
        CPPUNIT_ASSERT(!recorder.parser.isComplete());
        recorder.parser.feedEof();
        CPPUNIT_ASSERT(recorder.parser.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("some"), recorder.body);
    }

    void anIncompleteBodyIsAnError()
    {
        BodyRecorder recorder(MessageParser::Kind::Response);
        recorder.parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nsome");
        recorder.parser.feedEof();
        CPPUNIT_ASSERT(!recorder.parser.isComplete());
        CPPUNIT_ASSERT(recorder.parser.hasFailed());
        recorder.parser.reset();
        recorder.parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n");
        recorder.parser.feedEof();
        CPPUNIT_ASSERT(!recorder.parser.isComplete());
    }

    void answersAreIndependentOfFragmentation()
    {
        CPPUNIT_ASSERT(rc::check("answers don't depend on the fragmentation", [] {
            const std::vector<tests::AnswerCase> valid = tests::validAnswers();
            const std::vector<tests::AnswerCase> ill = tests::illAnswers();
            const bool isValid = *rc::gen::arbitrary<bool>();
            const auto &one = isValid ? *rc::gen::elementOf(valid) : *rc::gen::elementOf(ill);
            RC_ASSERT(resultOf(one.bytes, *pieceSizes()) == (isValid ? "200 ok" : "none"));
        }));
    }

    // Guards against framing that depends on where the network cuts it.
    void changedAnswersAreNeverTakenDifferentlyInPieces()
    {
        CPPUNIT_ASSERT(rc::check("changed answers are the same in pieces", [] {
            const std::vector<tests::AnswerCase> valid = tests::validAnswers();
            std::string bytes = (*rc::gen::elementOf(valid)).bytes;
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            const auto changed = *rc::gen::elementOf(std::string("\r\n \t:;0129aZ+-\x01\x7f"));
            if (*rc::gen::arbitrary<bool>()) {
                bytes[at] = changed;
            } else {
                bytes.insert(at, 1, changed);
            }
            RC_ASSERT(resultOf(bytes, *pieceSizes()) == resultOf(bytes, {bytes.size()}));
        }));
    }

    void removesHopByHopHeaders()
    {
        BodyRecorder recorder(MessageParser::Kind::Request);
        recorder.parser.feed(
            "GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
            "Keep-Alive: timeout=3\r\nTE: trailers\r\nX-End: 2\r\n\r\n");
        const HttpHeaders endToEnd = endToEndHeaders(recorder.parser.head());
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, endToEnd.size());
        CPPUNIT_ASSERT_EQUAL(std::string("Host"), endToEnd[0].first);
        CPPUNIT_ASSERT_EQUAL(std::string("X-End"), endToEnd[1].first);
    }

    void arbitraryInputKeepsTheParserConsistent()
    {
        const bool isOk =
            rc::check("arbitrary input keeps the parser consistent",
                      [](const std::string &input, std::uint8_t split) {
                          const std::string text =
                              "POST / HTTP/1.1\r\nHost: x\r\n" + input + "\r\n\r\n" + input;
                          BodyRecorder recorder(MessageParser::Kind::Request);
                          const std::size_t at = split % (text.size() + 1);
                          std::size_t used =
                              recorder.parser.feed(std::string_view(text).substr(0, at));
                          if (used == at) {
                              used += recorder.parser.feed(std::string_view(text).substr(at));
                          }
                          RC_ASSERT(used <= text.size());
                          RC_ASSERT(!(recorder.parser.isComplete() && recorder.parser.hasFailed()));
                      });
        CPPUNIT_ASSERT(isOk);
    }

    // If a server fails within an event, the forwarded data must end at an event boundary, so that
    // another server can resume the stream.
    void returnsCompleteEventsOnly()
    {
        EventStreamParser parser;
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"),
                             parser.feed("id: 1\ndata: a\n\nid: 2\nda"));
        CPPUNIT_ASSERT(!parser.isAtEventBoundary());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), parser.lastEventId());
        parser.discardPartialEvent();
        CPPUNIT_ASSERT_EQUAL(std::string("id:2\r\ndata: b\r\n\r\n"),
                             parser.feed("id:2\r\ndata: b\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), parser.lastEventId());
        CPPUNIT_ASSERT_EQUAL(2U, parser.eventCount());
        CPPUNIT_ASSERT(parser.isAtEventBoundary());
    }

    void eventsAreIndependentOfFragmentation()
    {
        const bool isOk = rc::check(
            "events don't depend on the fragmentation", [](std::uint8_t events, std::uint8_t step) {
                std::string text;
                for (int i = 1; i <= events; ++i) {
                    text += "id: " + std::to_string(i) + "\ndata: x\n\n";
                }
                EventStreamParser parser;
                std::string output;
                for (std::size_t at = 0; at < text.size(); at += step + 1U) {
                    output += parser.feed(std::string_view(text).substr(at, step + 1U));
                }
                RC_ASSERT(output == text);
                RC_ASSERT(parser.eventCount() == events);
            });
        CPPUNIT_ASSERT(isOk);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageParserTest);
