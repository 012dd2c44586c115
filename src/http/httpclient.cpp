#include "httpclient.h"

#include "http/httpclientconnection.h"
#include "http/sockets.h"
#include "http/timers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <strings.h>

#include <algorithm>
#include <utility>

namespace indigoway {

namespace {

constexpr std::size_t MaxIdlePerAddress = 32;
/** Of an answer that is kept whole. */
constexpr std::size_t MaxAnswerBytes = std::size_t {64} * 1024 * 1024;
/** Interim answers before an answer. */
constexpr std::uint32_t MaxInterimAnswers = 16;

/** Of a request or status line with what ends the head. */
constexpr std::size_t LineOverhead = 20;
constexpr std::size_t HeaderOverhead = 4;

std::size_t headBytes(const HttpHeaders &headers)
{
    std::size_t bytes = LineOverhead;
    for (const auto &[name, value] : headers) {
        bytes += name.size() + value.size() + HeaderOverhead;
    }
    return bytes;
}

std::string requestText(const HttpCall &call)
{
    std::string text =
        call.method + ' ' + call.path + " HTTP/1.1\r\nHost: " + call.address + "\r\n";
    for (const auto &[name, value] : call.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    const bool needsLength = !call.body.empty() || call.method == "POST" || call.method == "PUT"
        || call.method == "PATCH";
    if (needsLength) {
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    return text + "\r\n" + call.body;
}

} // namespace

struct HttpClient::Call
{
    HttpClient *client = nullptr;
    HttpCallNumber number;
    std::string address;
    bool isFresh = false;
    Connection *connection = nullptr; ///< Null if none could be opened.
    event *timer = nullptr;
    HttpAnswer answer;
    std::uint32_t interimAnswers = 0;
    DoneHandler done;
    ChunkHandler chunk; ///< Knows by the content whether the answer is whole.
    Traffic traffic = Traffic::Requests;

    Call() = default;
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;
    ~Call()
    {
        if (timer) {
            event_free(timer);
        }
    }
};

std::string HttpAnswer::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

HttpClient::HttpClient(event_base *base)
    : m_base(base)
    , m_closer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *client) {
              static_cast<HttpClient *>(client)->m_closing.clear();
          },
          this))
{ }

HttpClient::~HttpClient() = default;

HttpCallNumber HttpClient::start(HttpCall wanted, DoneHandler done, ChunkHandler chunk)
{
    const std::string text = requestText(wanted);
    auto call = std::make_unique<Call>();
    call->client = this;
    call->number = HttpCallNumber(++m_lastCall);
    call->address = std::move(wanted.address);
    call->isFresh = wanted.isFreshConnection;
    call->done = std::move(done);
    call->chunk = std::move(chunk);
    call->traffic = wanted.traffic;
    call->timer = event_new(m_base, -1, 0, &HttpClient::handleTimeout, call.get());
    call->connection = connectionTo(call->address, wanted.isFreshConnection);
    const HttpCallNumber number = call->number;
    Call &started = *call;
    m_calls.emplace(number, std::move(call));
    TrafficCount &count = m_traffic[static_cast<std::size_t>(wanted.traffic)];
    ++count.calls;
    count.bytesSent += text.size();
    if (!started.connection) {
        // Told from the event loop, so that callers need not expect it inside start().
        event_active(started.timer, EV_TIMEOUT, 0);
        return number;
    }
    started.connection->begin(number, wanted.method == "HEAD");
    bufferevent_write(started.connection->bev(), text.data(), text.size());
    if (wanted.timeout > Duration::zero()) {
        const timeval limit = timevalOf(wanted.timeout);
        event_add(started.timer, &limit);
    }
    return number;
}

void HttpClient::abandon(HttpCallNumber number)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end()) {
        return;
    }
    const std::unique_ptr<Call> call = std::move(it->second);
    m_calls.erase(it);
    if (call->connection) {
        closeLater(*call->connection);
    }
}

void HttpClient::handleTimeout(int /*socket*/, short /*what*/, void *call)
{
    auto *late = static_cast<Call *>(call);
    const auto end = late->connection ? HttpAnswer::End::TimedOut : HttpAnswer::End::NotConnected;
    late->client->finish(late->number, end, false);
}

HttpClient::Connection *HttpClient::connectionTo(const std::string &address, bool isFresh)
{
    std::vector<Connection *> &idle = m_idle[address];
    if (!isFresh && !idle.empty()) {
        Connection *connection = idle.back();
        idle.pop_back();
        return connection;
    }
    auto created = std::make_unique<Connection>(m_base, *this, address);
    if (!created->open()) {
        return nullptr;
    }
    Connection *connection = created.get();
    m_connections.emplace(connection, std::move(created));
    return connection;
}

HttpClient::Call *HttpClient::callOf(const Connection &connection)
{
    const auto it = m_calls.find(connection.call());
    return it == m_calls.end() ? nullptr : it->second.get();
}

void HttpClient::answerBegan(Connection &connection, const MessageHead &head)
{
    constexpr int FirstFinalStatus = 200;
    Call *call = callOf(connection);
    if (!call) {
        return;
    }
    connection.setInterim(head.status < FirstFinalStatus);
    if (connection.isInterim()) {
        ++call->interimAnswers;
        return;
    }
    call->answer.status = head.status;
    call->answer.headers = head.headers;
}

bool HttpClient::answerBytes(Connection &connection, std::string_view data)
{
    Call *call = callOf(connection);
    if (!call || connection.isInterim()) {
        return true;
    }
    if (call->chunk) {
        // The handler may abandon the call, which frees it.
        const ChunkHandler handler = call->chunk;
        handler(call->answer.status, std::string(data));
        return true;
    }
    call->answer.body.append(data);
    return call->answer.body.size() <= MaxAnswerBytes;
}

bool HttpClient::answerEnded(Connection &connection, bool isReusable)
{
    Call *call = callOf(connection);
    if (!call) {
        return false;
    }
    if (connection.isInterim()) {
        if (call->interimAnswers > MaxInterimAnswers) {
            broken(connection);
            return false;
        }
        return true;
    }
    finish(call->number, HttpAnswer::End::Complete, isReusable);
    return false;
}

void HttpClient::broken(Connection &connection)
{
    if (const Call *call = callOf(connection)) {
        finish(call->number,
               connection.isConnected() ? HttpAnswer::End::Broken : HttpAnswer::End::NotConnected,
               false);
    } else {
        closeLater(connection);
    }
}

void HttpClient::closedByPeer(Connection &connection)
{
    Call *call = callOf(connection);
    // Without a length, an answer ends like one whose server was killed; only a handler of its
    // chunks can tell.
    if (call && call->chunk && connection.completeByClose()) {
        finish(call->number, HttpAnswer::End::Complete, false);
    } else {
        broken(connection);
    }
}

void HttpClient::finish(HttpCallNumber number, HttpAnswer::End end, bool mayReuse)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end()) {
        return;
    }
    const std::unique_ptr<Call> call = std::move(it->second);
    m_calls.erase(it);
    call->answer.end = end;
    if (end == HttpAnswer::End::Complete) {
        m_traffic[static_cast<std::size_t>(call->traffic)].bytesReceived +=
            headBytes(call->answer.headers) + call->answer.body.size();
    } else {
        call->answer.status = 0;
        call->answer.headers.clear();
        call->answer.body.clear();
    }
    if (call->connection) {
        release(*call->connection, mayReuse && !call->isFresh);
    }
    call->done(call->answer);
}

void HttpClient::release(Connection &connection, bool mayReuse)
{
    std::vector<Connection *> &idle = m_idle[connection.address()];
    if (mayReuse && idle.size() < MaxIdlePerAddress) {
        connection.becomeIdle();
        idle.push_back(&connection);
    } else {
        closeLater(connection);
    }
}

void HttpClient::closeLater(Connection &connection)
{
    std::erase(m_idle[connection.address()], &connection);
    const auto it = m_connections.find(&connection);
    if (it == m_connections.end()) {
        return;
    }
    // Not at once: this may run inside one of the connection's own callbacks.
    connection.close();
    m_closing.push_back(std::move(it->second));
    m_connections.erase(it);
    event_active(m_closer.get(), EV_TIMEOUT, 0);
}

} // namespace indigoway
