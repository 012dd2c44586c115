#include "httpconnection.h"

#include "http/httpstatus.h"
#include "http/timers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <chrono>

namespace indigoway {

namespace {

/** What a connection without any data takes. */
constexpr std::size_t BaseBytes = std::size_t {3} * 1024;
/** Bytes that are read ahead of the request being answered. */
constexpr std::size_t MaxReadAheadBytes = std::size_t {32} * 1024;
/**
 * Bytes of a refused request that are discarded. Beyond, its client is not read: a crowd that goes
 * on sending would take the processor and the link from the others.
 */
constexpr std::size_t MaxLingerBytes = std::size_t {64} * 1024;

} // namespace

HttpConnection::HttpConnection(event_base *base, HttpListener &listener,
                               HttpListener::ConnectionNumber itsNumber, int socket,
                               MessageParser::Handler handler)
    : owner(listener)
    , number(itsNumber)
    , bev(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE))
    , timer(event_new(base, -1, 0, &HttpListener::handleTimer, this))
    , parser(MessageParser::Kind::Request, std::move(handler))
    , stateSince(steadyNow())
{
    if (!isValid()) {
        return;
    }
    bufferevent_setcb(bev, &HttpListener::handleRead, &HttpListener::handleWritten,
                      &HttpListener::handleEvent, this);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

HttpConnection::~HttpConnection()
{
    if (timer) {
        event_free(timer);
    }
    if (bev) {
        bufferevent_free(bev);
    }
}

std::size_t HttpConnection::inputBytes() const
{
    return evbuffer_get_length(bufferevent_get_input(bev));
}

std::size_t HttpConnection::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(bev));
}

void HttpConnection::countBytes()
{
    const std::size_t input = inputBytes();
    // A client that is not read may fill the kernel's buffer as well.
    lease.hold(BaseBytes + input + unsentBytes() + parser.allocatedHeadBytes()
               + (isReading ? 0 : ReceiveBufferBytes));
}

void HttpConnection::setReading(bool isWanted)
{
    if (isWanted == isReading) {
        return;
    }
    isReading = isWanted;
    if (isWanted) {
        bufferevent_enable(bev, EV_READ);
    } else {
        bufferevent_disable(bev, EV_READ);
    }
}

void HttpConnection::limitReadAhead()
{
    // No high watermark of the bufferevent: at the mark it would call the read callback without
    // end.
    const bool isTooMuch = state == State::Lingering ? lingerBytes > MaxLingerBytes
                                                     : inputBytes() >= MaxReadAheadBytes;
    setReading(!isWaiting && !isTooMuch);
}

void HttpConnection::enter(State next, TimePoint now)
{
    state = next;
    stateSince = now;
}

Holder HttpConnection::holder(Door door) const
{
    const std::size_t unsent = unsentBytes();
    Holder holder {door, number.value(), HolderStage::Idle, hasBeenServed, lease.held(),
                   0,    stateSince};
    holder.heldBytes +=
        state == State::Answering ? requestBytes + answerBytes : incomingRequest.body.size();
    const std::uint64_t sent = writtenBytes - unsent;
    const auto reportUnread = [&] {
        holder.stage = HolderStage::Unread;
        holder.since = unsentSince;
        holder.movedBytes = sent > writtenBefore ? sent - writtenBefore : 0;
    };
    switch (state) {
    case State::Answering:
        holder.stage = HolderStage::Answering;
        if (isStreaming && unsent > 0) {
            reportUnread();
        }
        break;
    case State::Reading:
        if (unsent > 0) {
            reportUnread();
        } else if (!parser.hasStarted()) {
            holder.stage = hasBeenServed ? HolderStage::Idle : HolderStage::Head;
        } else if (!parser.isHeadComplete() || !owner.keepsBodies()) {
            holder.stage = HolderStage::Head;
            holder.since = requestSince;
            holder.movedBytes = parser.headBytes();
        } else {
            holder.stage = HolderStage::Body;
            holder.since = bodySince;
            holder.movedBytes = bodyBytes;
        }
        break;
    case State::Closing:
        reportUnread();
        break;
    case State::Lingering:
        holder.stage = HolderStage::Ending;
        break;
    }
    return holder;
}

void HttpConnection::beginRequest(const CallerLimits &itsLimits, ByteBudget &budget)
{
    limits = itsLimits;
    requestSince = steadyNow();
    bodySince = {};
    bodyBytes = 0;
    announcedBytes = 0;
    isContinueDue = false;
    incomingRequest = {};
    incomingRequest.body = MessageBody(budget);
}

void HttpConnection::discardRequest()
{
    parser.reset();
    incomingRequest = {};
    bodyBytes = 0;
}

void HttpConnection::discardInput()
{
    evbuffer *input = bufferevent_get_input(bev);
    lingerBytes += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
}

void HttpConnection::noteWrite()
{
    const std::size_t unsent = unsentBytes();
    if (unsent == 0) {
        unsentSince = steadyNow();
        writtenBefore = writtenBytes;
    }
}

void HttpConnection::writeHead(int code, const HttpHeaders &headers,
                               std::optional<std::size_t> length, bool isLeaving)
{
    std::string text = "HTTP/1.1 " + std::to_string(code) + " " + reasonPhrase(code) + "\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    const bool endsWithConnection = !length && isHttp10;
    if (length) {
        text += "Content-Length: " + std::to_string(*length) + "\r\n";
    } else if (!endsWithConnection) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    if (!isKeepAlive || isLeaving || endsWithConnection) {
        text += "Connection: close\r\n";
        isKeepAlive = false;
    }
    text += "\r\n";
    noteWrite();
    bufferevent_write(bev, text.data(), text.size());
    writtenBytes += text.size();
}

void HttpConnection::writeBody(const MessageBody &body)
{
    body.writeTo(bufferevent_get_output(bev));
    writtenBytes += body.size();
}

void HttpConnection::writeChunk(std::string_view data)
{
    evbuffer *output = bufferevent_get_output(bev);
    const std::size_t unsentBefore = evbuffer_get_length(output);
    noteWrite();
    if (isHttp10) {
        evbuffer_add(output, data.data(), data.size());
    } else {
        evbuffer_add_printf(output, "%zx\r\n", data.size());
        evbuffer_add(output, data.data(), data.size());
        evbuffer_add(output, "\r\n", 2);
    }
    writtenBytes += evbuffer_get_length(output) - unsentBefore;
}

void HttpConnection::writeLastChunk()
{
    constexpr std::string_view LastChunk = "0\r\n\r\n";
    noteWrite();
    bufferevent_write(bev, LastChunk.data(), LastChunk.size());
    writtenBytes += LastChunk.size();
}

void HttpConnection::writeContinue()
{
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    isContinueDue = false;
    bufferevent_write(bev, Continue.data(), Continue.size());
    writtenBytes += Continue.size();
}

void HttpConnection::rejectWith(int status)
{
    isRejected = true;
    rejectionStatus = status;
}

Duration HttpConnection::remainingBodyTime(double minRate, TimePoint now) const
{
    const std::chrono::duration<double> earned(static_cast<double>(bodyBytes) / minRate);
    const TimePoint end =
        bodySince + limits.idleTimeout + std::chrono::duration_cast<Duration>(earned);
    return std::max(Duration(0), Duration(end - now));
}

std::string HttpConnection::description() const
{
    const Holder one = holder(owner.door());
    return "connection=" + std::to_string(number.value()) + " stage=" + nameOf(one.stage) + " held="
        + std::to_string(one.heldBytes) + " moved=" + std::to_string(one.movedBytes) + " for_ms="
        + std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - one.since)
                   .count());
}

} // namespace indigoway
