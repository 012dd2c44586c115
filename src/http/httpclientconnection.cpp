#include "httpclientconnection.h"

#include "http/sockets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <utility>

namespace indigoway {

HttpClient::Connection::Connection(event_base *base, HttpClient &client, std::string address)
    : m_client(client)
    , m_address(std::move(address))
    , m_bev(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , m_parser(MessageParser::Kind::Response,
               {[this](const MessageHead &head) { m_client.answerBegan(*this, head); },
                [this](std::string_view data) {
                    m_isTooLong = m_isTooLong || !m_client.answerBytes(*this, data);
                }})
{ }

HttpClient::Connection::~Connection()
{
    bufferevent_free(m_bev);
}

bool HttpClient::Connection::open()
{
    const auto to = socketAddress(m_address);
    if (!to) {
        return false;
    }
    bufferevent_setcb(m_bev, &Connection::handleRead, nullptr, &Connection::handleEvent, this);
    bufferevent_enable(m_bev, EV_READ | EV_WRITE);
    const bool isStarted =
        bufferevent_socket_connect(m_bev, reinterpret_cast<const sockaddr *>(&*to), sizeof *to)
        == 0;
    if (isStarted) {
        setNoDelay(bufferevent_getfd(m_bev));
    }
    return isStarted;
}

void HttpClient::Connection::begin(HttpCallNumber call, bool isHeadRequest)
{
    m_call = call;
    m_isHeadRequest = isHeadRequest;
    m_isInterim = false;
    m_parser.reset(isHeadRequest);
}

void HttpClient::Connection::close()
{
    m_isClosed = true;
    m_call = {};
    bufferevent_disable(m_bev, EV_READ | EV_WRITE);
}

bool HttpClient::Connection::completeByClose()
{
    if (!m_parser.isHeadComplete() || m_isInterim) {
        return false;
    }
    m_parser.feedEof();
    return m_parser.isComplete();
}

void HttpClient::Connection::handleRead(bufferevent * /*bev*/, void *self)
{
    static_cast<Connection *>(self)->read();
}

void HttpClient::Connection::read()
{
    evbuffer *input = bufferevent_get_input(m_bev);
    while (!m_isClosed && evbuffer_get_length(input) > 0) {
        if (m_call.isNone()) {
            m_client.closeLater(*this); // Data that belongs to no request.
            return;
        }
        const std::size_t size = evbuffer_get_length(input);
        const auto *bytes =
            reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::size_t consumed = m_parser.feed({bytes, size});
        evbuffer_drain(input, consumed);
        if (m_isClosed) {
            return;
        }
        if (m_parser.hasFailed() || m_isTooLong) {
            m_client.broken(*this);
            return;
        }
        if (m_parser.isComplete() && !handleMessageEnd()) {
            return;
        }
    }
}

bool HttpClient::Connection::handleMessageEnd()
{
    const MessageHead &head = m_parser.head();
    const bool hasMore = evbuffer_get_length(bufferevent_get_input(m_bev)) > 0
        || evbuffer_get_length(bufferevent_get_output(m_bev)) > 0;
    const bool isReusable = head.isKeepAlive && !head.isDelimitedByClose && !hasMore;
    if (!m_client.answerEnded(*this, isReusable)) {
        return false;
    }
    m_isInterim = false;
    m_parser.reset(m_isHeadRequest);
    return true;
}

void HttpClient::Connection::handleEvent(bufferevent * /*bev*/, short events, void *self)
{
    auto &connection = *static_cast<Connection *>(self);
    if (connection.m_isClosed) {
        return;
    }
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        connection.m_isConnected = true;
        return;
    }
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    connection.read(); // What came before the end.
    if (connection.m_isClosed) {
        return;
    }
    // An error that a write has taken does not show at the next read, which looks like an orderly
    // end.
    const bool isRegular = (events & BEV_EVENT_ERROR) == 0
        && evbuffer_get_length(bufferevent_get_output(connection.m_bev)) == 0;
    if (connection.m_call.isNone()) {
        connection.m_client.closeLater(connection);
    } else if (isRegular) {
        connection.m_client.closedByPeer(connection);
    } else {
        connection.m_client.broken(connection);
    }
}

} // namespace indigoway
