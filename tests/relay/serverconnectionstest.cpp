#include "relay/serverconnections.h"

#include "http/eventbase.h"
#include "http/httpserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <thread>

using namespace indigoway;

namespace {

/** Remembers how its one call ended. */
class Observer : public ServerCallObserver
{
public:
    explicit Observer(event_base *base)
        : m_base(base)
    { }
    bool isAnswerTo(CallNumber, const MessageHead &) override { return true; }
    void answerBegan(CallNumber, const MessageHead &) override { }
    void answerData(CallNumber, std::string_view) override { }
    void callEnded(CallNumber, TransferEnd end, const std::string &) override
    {
        m_end = end;
        event_base_loopbreak(m_base);
    }
    std::optional<TransferEnd> end() const { return m_end; }

private:
    event_base *m_base;
    std::optional<TransferEnd> m_end;
};

/** A server whose system takes connections, and that reads them when it is asked to. */
class LazyServer
{
public:
    LazyServer()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_socket, 8);
    }
    LazyServer(const LazyServer &) = delete;
    LazyServer &operator=(const LazyServer &) = delete;
    ~LazyServer() { close(m_socket); }

    std::string address() const
    {
        sockaddr_in bound {};
        socklen_t length = sizeof bound;
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&bound), &length);
        return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }

    /** Bytes that have arrived on the first connection so far. */
    std::size_t received() const
    {
        const int connection = accept(m_socket, nullptr, nullptr);
        std::array<char, 4096> buffer {};
        const ssize_t size = recv(connection, buffer.data(), buffer.size(), MSG_DONTWAIT);
        close(connection);
        return size > 0 ? static_cast<std::size_t>(size) : 0;
    }

private:
    int m_socket;
};

} // namespace

class ServerConnectionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerConnectionsTest);
    CPPUNIT_TEST(whatIsToldAsNotConnectedWasNotSent);
    CPPUNIT_TEST(keepsNoMoreIdleConnectionsThanAllowed);
    CPPUNIT_TEST_SUITE_END();

public:
    // The caller's request runs twice. The node has other things to do for longer than it waits
    // for a connection; meanwhile the connection is made. Its loop then finds both at once, the
    // connection and the time that is up: the request went out, and was told as never sent, so
    // that it was sent to another server as well.
    void whatIsToldAsNotConnectedWasNotSent()
    {
        const EventBase base(event_base_new());
        Observer observer(base.get());
        LazyServer server;
        auto connections = std::make_unique<ServerConnections>(base.get(), observer);
        ServerRequest request;
        request.call = CallNumber(1);
        request.server = ServerName("s");
        request.address = server.address();
        request.method = "POST";
        request.target = "/x";
        request.body = "once";
        request.needsNewConnection = true;
        request.idleTimeout = std::chrono::milliseconds(200);
        connections->start(request);
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        event_base_dispatch(base.get());
        CPPUNIT_ASSERT(observer.end().has_value());
        if (*observer.end() == TransferEnd::NotConnected) {
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, server.received());
        }
        // The library frees a connection in the loop's next round.
        connections.reset();
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }

    // A server resets connections beyond its limit, also one on which a caller's request has just
    // been written.
    void keepsNoMoreIdleConnectionsThanAllowed()
    {
        const EventBase base(event_base_new());
        HttpServer server(
            base.get(), HttpLimits {},
            [&server](const HttpRequest &request) {
                server.reply(request.exchange, 200, {{"Keep-Alive", "timeout=5"}}, "whole");
            },
            [](ExchangeNumber) {});
        const std::string address = server.listenOn("127.0.0.1:0").value();
        Observer observer(base.get());
        auto connections = std::make_unique<ServerConnections>(base.get(), observer);
        for (std::uint64_t i = 1; i <= 6; ++i) {
            ServerRequest request;
            request.call = CallNumber(i);
            request.server = ServerName("s");
            request.address = address;
            request.method = "GET";
            request.target = "/x";
            request.headers = {{"Host", address}};
            request.needsNewConnection = true;
            request.maxIdleConnections = 2;
            connections->start(request);
        }
        while (connections->open() > 0) {
            event_base_dispatch(base.get());
        }
        CPPUNIT_ASSERT(*observer.end() == TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, connections->kept());
        connections.reset();
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerConnectionsTest);
