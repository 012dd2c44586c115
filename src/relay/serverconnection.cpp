#include "serverconnection.h"

#include "http/timers.h"
#include "relay/serverconnections.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>

namespace indigoway {

ServerConnection::ServerConnection(event_base *base, ServerConnections &connections,
                                   ServerConnectionNumber itsNumber, ServerName itsServer,
                                   MessageParser::Handler handler)
    : owner(connections)
    , number(itsNumber)
    , server(std::move(itsServer))
    , bev(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , timer(event_new(base, -1, 0, &ServerConnections::handleTimer, this))
    , parser(MessageParser::Kind::Response, std::move(handler))
{
    bufferevent_setcb(bev, &ServerConnections::handleRead, nullptr, &ServerConnections::handleEvent,
                      this);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

ServerConnection::~ServerConnection()
{
    event_free(timer);
    bufferevent_free(bev);
    if (m_serverBytes) {
        evbuffer_free(m_serverBytes);
    }
}

void ServerConnection::assign(const ServerRequest &request)
{
    call = request.call;
    reading.begin(BootClock::now());
    idleTimeout = request.idleTimeout;
    silenceLimit = request.silenceLimit;
    answerLimit = request.answerLimit;
    hasAnswerBegun = false;
    discardedMessages = 0;
    discardedBytes = 0;
    maxIdleConnections = request.maxIdleConnections;
    isConnectOnly = request.isConnectOnly;
}

evbuffer *ServerConnection::input() const
{
    return m_serverBytes ? m_serverBytes : bufferevent_get_input(bev);
}

void ServerConnection::useFrames()
{
    m_serverBytes = evbuffer_new();
}

void ServerConnection::send(const std::string &head, const MessageBody &body)
{
    evbuffer *output = bufferevent_get_output(bev);
    if (m_serverBytes) {
        writeTunnelDataHead(output, head.size() + body.size());
    }
    evbuffer_add(output, head.data(), head.size());
    body.writeTo(output);
}

void ServerConnection::readFrames()
{
    if (!m_serverBytes) {
        return;
    }
    evbuffer *frames = bufferevent_get_input(bev);
    while (const auto part = m_frames.next(frames)) {
        switch (part->kind) {
        case TunnelFrame::Data:
            evbuffer_remove_buffer(frames, m_serverBytes, part->bytes);
            break;
        case TunnelFrame::ServerClosed:
        case TunnelFrame::ServerReset:
            serverEnd = part->kind;
            break;
        case TunnelFrame::Leaving:
            isRelayLeaving = true;
            break;
        case TunnelFrame::Idle:
            break;
        }
    }
}

void ServerConnection::setPaused(bool isWanted)
{
    if (isWanted == isPaused) {
        return;
    }
    isPaused = isWanted;
    if (isWanted) {
        reading.pause(BootClock::now());
        bufferevent_disable(bev, EV_READ);
        event_del(timer);
    } else {
        reading.resume(BootClock::now());
        bufferevent_enable(bev, EV_READ);
        armIdleTimer();
    }
}

void ServerConnection::markIdle()
{
    if (m_serverBytes) {
        writeTunnelFrame(bufferevent_get_output(bev), TunnelFrame::Idle);
    }
}

void ServerConnection::noteAnswerBytes()
{
    if (answerLimit.count() == 0) {
        armIdleTimer();
    } else if (!hasAnswerBegun) {
        idleTimeout = answerLimit;
        armIdleTimer();
    }
    hasAnswerBegun = true;
}

bool ServerConnection::hasUnsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(bev)) > 0;
}

void ServerConnection::armIdleTimer()
{
    silentFor = {};
    armSilenceTimer();
}

void ServerConnection::armSilenceTimer()
{
    const bool hasSilenceLimit = silenceLimit.count() > 0;
    const bool hasIdleTimeout = idleTimeout.count() > 0;
    if (!hasSilenceLimit && !hasIdleTimeout) {
        return;
    }
    armedFor = idleTimeout - silentFor;
    if (hasSilenceLimit) {
        armedFor = hasIdleTimeout ? std::min(armedFor, silenceLimit) : silenceLimit;
    }
    const timeval limit = timevalOf(armedFor);
    event_add(timer, &limit);
}

} // namespace indigoway
