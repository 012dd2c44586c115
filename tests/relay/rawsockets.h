#pragma once

#include "http/sockets.h"
#include "relay/serverconnections.h"

#include <cppunit/extensions/HelperMacros.h>

#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace indigoway::tests {

/** Event loop that a test turns until something has happened. */
class TestLoop
{
public:
    event_base *base() { return m_base.get(); }
    void run() { event_base_loop(m_base.get(), EVLOOP_NONBLOCK); }
    /** @param name Of the case, for the failure if @p isDone does not become true. */
    void runUntil(const std::function<bool()> &isDone, const char *name)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (std::chrono::steady_clock::now() < limit) {
            run();
            if (isDone()) {
                return;
            }
            usleep(100);
        }
        CPPUNIT_FAIL(std::string("condition not met in time: ") + name);
    }

private:
    struct FreeBase
    {
        void operator()(event_base *base) const { event_base_free(base); }
    };
    std::unique_ptr<event_base, FreeBase> m_base {event_base_new()};
};

/** Socket for sending malformed data and resets. */
class RawSocket
{
public:
    explicit RawSocket(int socket)
        : m_socket(socket)
    { }
    explicit RawSocket(const std::string &address)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        const sockaddr_in to = *socketAddress(address);
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
    /** Returns all received data. hasEnded() is true after the peer's regular close. */
    std::string receive()
    {
        std::string text;
        char buffer[4096];
        for (;;) {
            const ssize_t size = recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
            if (size <= 0) {
                m_hasEnded = m_hasEnded || size == 0;
                m_isReset = m_isReset || (size < 0 && errno == ECONNRESET);
                return text;
            }
            text.append(buffer, static_cast<std::size_t>(size));
        }
    }
    /** Returns how many bytes were sent without blocking. */
    std::size_t trySend(const std::string &text) const
    {
        const ssize_t sent =
            ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }
    /** Sends the regular end of the connection and reads on. */
    void endSending() const { shutdown(m_socket, SHUT_WR); }
    bool hasEnded() const { return m_hasEnded; }
    bool isReset() const { return m_isReset; }
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
    bool m_isReset = false;
};

/** Binds @p socket to a free port; returns its address. */
inline std::string boundToFreePort(int socket)
{
    sockaddr_in at = *socketAddress("127.0.0.1:0");
    CPPUNIT_ASSERT_EQUAL(0, bind(socket, reinterpret_cast<sockaddr *>(&at), sizeof at));
    socklen_t length = sizeof at;
    getsockname(socket, reinterpret_cast<sockaddr *>(&at), &length);
    return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

/** Listening socket for answers written by the test. */
class RawServer
{
public:
    RawServer()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
        , m_address(boundToFreePort(m_socket))
    {
        CPPUNIT_ASSERT_EQUAL(0, listen(m_socket, 8));
    }
    ~RawServer() { close(m_socket); }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    const std::string &address() const { return m_address; }
    int acceptConnection() const { return accept(m_socket, nullptr, nullptr); }
    /** Returns a negative number if no connection waits. */
    int tryAccept() const
    {
        pollfd waiting {m_socket, POLLIN, 0};
        return poll(&waiting, 1, 0) == 1 ? acceptConnection() : -1;
    }

private:
    int m_socket;
    std::string m_address;
};

/** Address that refuses connections; no other process can listen at it meanwhile. */
class RefusingAddress
{
public:
    RefusingAddress()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
        , m_address(boundToFreePort(m_socket))
    { }
    ~RefusingAddress() { close(m_socket); }
    RefusingAddress(const RefusingAddress &) = delete;
    RefusingAddress &operator=(const RefusingAddress &) = delete;

    const std::string &address() const { return m_address; }

private:
    int m_socket; ///< Bound, but it doesn't listen.
    std::string m_address;
};

/** Its kernel answers no SYN packet, as that of a stopped VM. */
class SilentServer
{
public:
    SilentServer()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
        , m_address(boundToFreePort(m_socket))
    {
        CPPUNIT_ASSERT_EQUAL(0, listen(m_socket, 0));
        m_waiting.emplace(m_address);
    }
    ~SilentServer() { close(m_socket); }
    SilentServer(const SilentServer &) = delete;
    SilentServer &operator=(const SilentServer &) = delete;

    const std::string &address() const { return m_address; }

private:
    int m_socket;
    std::string m_address;
    std::optional<RawSocket> m_waiting; ///< Fills the listen queue.
};

/** Records the events of calls. */
class CallRecorder : public ServerCallObserver
{
public:
    bool isAnswerTo(CallNumber /*call*/, const MessageHead &head) override
    {
        return head.header("X-Id").empty() || head.header("X-Id") == "mine";
    }
    void answerStarted(CallNumber call, const MessageHead &head) override
    {
        status[call] = head.status;
    }
    void answerDataReceived(CallNumber call, std::string_view data) override
    {
        body[call] += data;
        if (atData) {
            atData();
        }
    }
    void callRelayed(CallNumber call, const NodeName &relay) override { relays[call] = relay; }
    void callSilent(CallNumber call) override { ++silences[call]; }
    void callEnded(CallNumber call, TransferEnd end, const std::string & /*why*/) override
    {
        ends[call] = end;
    }

    std::function<void()> atData; ///< Called after each part of an answer; may be null.
    std::map<CallNumber, int> status;
    std::map<CallNumber, std::string> body;
    std::map<CallNumber, TransferEnd> ends;
    std::map<CallNumber, int> silences;
    std::map<CallNumber, NodeName> relays;
};

} // namespace indigoway::tests
