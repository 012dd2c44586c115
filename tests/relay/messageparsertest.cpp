#include "relay/messageparser.h"

#include "relay/dialect.h"
#include "relay/eventcutter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace indigoway;

namespace {

/** A parser with the body that it read. */
struct Read
{
    explicit Read(MessageParser::Kind kind)
        : parser(kind,
                 {[](const MessageHead &) {},
                  [this](std::string_view data) {
                      body.append(data);
                  }})
    { }

    std::string body;
    MessageParser parser;
};

bool isRefused(const std::string &request)
{
    Read one(MessageParser::Kind::Request);
    one.parser.feed(request);
    return one.parser.hasFailed();
}

} // namespace

class MessageParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageParserTest);
    CPPUNIT_TEST(readsOneMessageAndLeavesTheNext);
    CPPUNIT_TEST(ambiguousFramingIsAnError);
    CPPUNIT_TEST(tellsAnAnswerThatEndsWithItsConnection);
    CPPUNIT_TEST(aShortBodyIsNotComplete);
    CPPUNIT_TEST(connectionHeadersStayBehind);
    CPPUNIT_TEST(anyBytesLeaveItSane);
    CPPUNIT_TEST(eventsAreCutAtTheirEnds);
    CPPUNIT_TEST(anyCutGivesTheSameEvents);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsOneMessageAndLeavesTheNext()
    {
        const std::string first =
            "POST /a?b=%20c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
        const std::string second = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        Read one(MessageParser::Kind::Request);
        CPPUNIT_ASSERT_EQUAL(first.size(), one.parser.feed(first + second));
        CPPUNIT_ASSERT(one.parser.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), one.body);
        CPPUNIT_ASSERT_EQUAL(std::string("/a?b=%20c"), one.parser.head().target);
        CPPUNIT_ASSERT(one.parser.head().keepsConnection);
        one.parser.reset();
        CPPUNIT_ASSERT_EQUAL(second.size(), one.parser.feed(second));
        CPPUNIT_ASSERT(one.parser.isComplete());
    }

    // A request that two readers would cut at different places carries a second one inside. What
    // this node takes for a body the server would run as a request of somebody else's.
    void ambiguousFramingIsAnError()
    {
        const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
        CPPUNIT_ASSERT(isRefused(head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
        CPPUNIT_ASSERT(
            isRefused(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
        CPPUNIT_ASSERT(isRefused(head + "Content-Length: 3, 4\r\n\r\nabc"));
        CPPUNIT_ASSERT(isRefused(head + "Content-Length: -1\r\n\r\n"));
        CPPUNIT_ASSERT(isRefused(head + "Transfer-Encoding: gzip\r\n\r\n"));
        CPPUNIT_ASSERT(isRefused(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"));
        CPPUNIT_ASSERT(isRefused(head + "Bad Header: x\r\n\r\n"));
        CPPUNIT_ASSERT(isRefused(head + "Bad\rHeader: x\r\n\r\n"));
    }

    void tellsAnAnswerThatEndsWithItsConnection()
    {
        Read one(MessageParser::Kind::Response);
        one.parser.feed("HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome");
        CPPUNIT_ASSERT(one.parser.head().endsWithConnection);
        CPPUNIT_ASSERT(!one.parser.isComplete());
        one.parser.feedEnd();
        CPPUNIT_ASSERT(one.parser.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("some"), one.body);
    }

    void aShortBodyIsNotComplete()
    {
        Read one(MessageParser::Kind::Response);
        one.parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nsome");
        one.parser.feedEnd();
        CPPUNIT_ASSERT(!one.parser.isComplete());
        CPPUNIT_ASSERT(one.parser.hasFailed());
        one.parser.reset();
        one.parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n");
        one.parser.feedEnd();
        CPPUNIT_ASSERT(!one.parser.isComplete());
    }

    void connectionHeadersStayBehind()
    {
        Read one(MessageParser::Kind::Request);
        one.parser.feed("GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                        "Keep-Alive: timeout=3\r\nTE: trailers\r\nX-End: 2\r\n\r\n");
        const HttpHeaders kept = endToEndHeaders(one.parser.head());
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, kept.size());
        CPPUNIT_ASSERT_EQUAL(std::string("Host"), kept[0].first);
        CPPUNIT_ASSERT_EQUAL(std::string("X-End"), kept[1].first);
    }

    void anyBytesLeaveItSane()
    {
        const bool isOk = rc::check("any bytes", [](const std::string &noise, std::uint8_t cut) {
            const std::string text = "POST / HTTP/1.1\r\nHost: x\r\n" + noise + "\r\n\r\n" + noise;
            Read one(MessageParser::Kind::Request);
            const std::size_t at = cut % (text.size() + 1);
            std::size_t used = one.parser.feed(std::string_view(text).substr(0, at));
            if (used == at) {
                used += one.parser.feed(std::string_view(text).substr(at));
            }
            RC_ASSERT(used <= text.size());
            RC_ASSERT(!(one.parser.isComplete() && one.parser.hasFailed()));
        });
        CPPUNIT_ASSERT(isOk);
    }

    // The server dies in the middle of an event. What is passed on ends with a whole event, so
    // that another server can go on after its id.
    void eventsAreCutAtTheirEnds()
    {
        EventCutter cutter;
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"),
                             cutter.take("id: 1\ndata: a\n\nid: 2\nda"));
        CPPUNIT_ASSERT(!cutter.isBetweenEvents());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), cutter.lastId());
        cutter.dropPartial();
        CPPUNIT_ASSERT_EQUAL(std::string("id:2\r\ndata: b\r\n\r\n"),
                             cutter.take("id:2\r\ndata: b\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), cutter.lastId());
        CPPUNIT_ASSERT_EQUAL(2U, cutter.events());
        CPPUNIT_ASSERT(cutter.isBetweenEvents());
    }

    void anyCutGivesTheSameEvents()
    {
        const bool isOk = rc::check("cuts", [](std::uint8_t events, std::uint8_t step) {
            std::string text;
            for (int i = 1; i <= events; ++i) {
                text += "id: " + std::to_string(i) + "\ndata: x\n\n";
            }
            EventCutter cutter;
            std::string passed;
            for (std::size_t at = 0; at < text.size(); at += step + 1U) {
                passed += cutter.take(std::string_view(text).substr(at, step + 1U));
            }
            RC_ASSERT(passed == text);
            RC_ASSERT(cutter.events() == events);
        });
        CPPUNIT_ASSERT(isOk);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageParserTest);
