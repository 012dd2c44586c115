#pragma once

#include "http/eventbase.h"
#include "http/httpserver.h"

#include <indigoway/ids.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace indigoway {

struct MessageHead;

/** One request of this process to a server. */
using HttpCallNumber = Number<struct HttpCallTag>;

/** What a call is for; counted apart, since control traffic is bounded per node. */
enum class Traffic {
    Requests, ///< Callers' work.
    Peers,
    Store,
    Reports, ///< Load, lists and cache events of backend servers, cancels and orders.
    Size,
};

/** Calls and bytes, headers included, as this process sent and received them. */
struct TrafficCount
{
    std::uint64_t calls = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

struct HttpCall
{
    std::string address; ///< "IP:port"
    std::string method = "GET";
    std::string path = "/";
    HttpHeaders headers;
    std::string body;
    /** Longest time to the end of the answer; zero: no limit of the client's own. */
    Duration timeout {};
    bool isFreshConnection = false;
    Traffic traffic = Traffic::Requests;
};

struct HttpAnswer
{
    enum class End {
        Complete,
        NotConnected, ///< Nothing of the request was sent.
        /**
         * The connection ended before the answer did, or may have: an answer without a length ends
         * like one whose server was killed. The request may have been run.
         */
        Broken,
        TimedOut,
    };
    End end = End::Broken;
    int status = 0;
    HttpHeaders headers;
    std::string body; ///< Empty if the chunks were delivered one by one.

    std::string header(const std::string &name) const;
};

/**
 * HTTP client with connections kept per address. A connection whose call did not end well is
 * closed: its late answer would be taken for the next call's. Not on evhttp's client, which takes
 * answers that other readers refuse, and heads without end.
 */
class HttpClient
{
public:
    using ChunkHandler = std::function<void(int status, const std::string &data)>;
    using DoneHandler = std::function<void(const HttpAnswer &)>;

    explicit HttpClient(event_base *base);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** @p done is called once, never from inside start(), unless the call is abandoned. */
    HttpCallNumber start(HttpCall wanted, DoneHandler done, ChunkHandler chunk = {});
    /** Closes the call's connection; its handlers are not called any more. */
    void abandon(HttpCallNumber number);
    std::size_t open() const { return m_calls.size(); }
    const TrafficCount &traffic(Traffic kind) const
    {
        return m_traffic[static_cast<std::size_t>(kind)];
    }

private:
    struct Call;
    class Connection;

    static void handleTimeout(int socket, short what, void *call);
    /** Returns a connection that is open or opens; null if none can be opened. */
    Connection *connectionTo(const std::string &address, bool isFresh);
    Call *callOf(const Connection &connection);
    void answerBegan(Connection &connection, const MessageHead &head);
    /** Returns false if the answer is too long. */
    bool answerBytes(Connection &connection, std::string_view data);
    /** Handles a complete message; returns whether it was an interim answer. */
    bool answerEnded(Connection &connection, bool isReusable);
    /** Handles that the answer is none, or that the connection has failed. */
    void broken(Connection &connection);
    /** Handles the regular end of the connection. */
    void closedByPeer(Connection &connection);
    void finish(HttpCallNumber number, HttpAnswer::End end, bool mayReuse);
    void release(Connection &connection, bool mayReuse);
    void closeLater(Connection &connection);

    event_base *m_base;
    EventHandle m_closer;
    std::map<const Connection *, std::unique_ptr<Connection>> m_connections;
    std::vector<std::unique_ptr<Connection>> m_closing; ///< Closed by m_closer.
    std::map<HttpCallNumber, std::unique_ptr<Call>> m_calls;
    std::map<std::string, std::vector<Connection *>> m_idle;
    std::uint64_t m_lastCall = 0;
    std::array<TrafficCount, static_cast<std::size_t>(Traffic::Size)> m_traffic;
};

} // namespace indigoway
