#include "tunnellistener.h"

#include "http/sockets.h"
#include "http/timers.h"
#include "relay/answerreading.h"
#include "relay/tunnelframes.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace indigoway {

namespace {

constexpr timeval RequestLimit {1, 0};
/** Time for the last bytes of an answer to a node that reads slowly. */
constexpr timeval FlushLimit {5, 0};
/** Limits the processor time that other nodes can take; the guard may allow fewer. */
constexpr std::size_t MaxTunnels = 256;
/** Time without a byte that is longer than any request; its node has lost the tunnel. */
constexpr timeval IdleLimit {600, 0};
/** What a tunnel without any data takes. */
constexpr std::size_t BaseBytes = std::size_t {5} * 1024;
/** Bytes that are read ahead while no connection to the server is open. */
constexpr std::size_t MaxReadAheadBytes = std::size_t {32} * 1024;
/** Pause after a failed accept(), which would fail again at once. */
constexpr timeval AcceptPause {0, 50'000};
/** Unsent bytes beyond which the other side is not read, and below which it is read again. */
constexpr std::size_t MaxUnsentBytes = std::size_t {128} * 1024;
constexpr std::size_t LowUnsentBytes = std::size_t {32} * 1024;
/**
 * Time after the last bytes until a tunnel without frames counts as idle: servers that are sound
 * fall silent for a second or so.
 */
constexpr Duration UnframedIdleTime = std::chrono::milliseconds(2500);

} // namespace

struct TunnelListener::Tunnel
{
    enum class Stage {
        ReadingRequest,
        Connecting,
        CheckingOther, ///< Connects to another server after a failure.
        Open,
        Closing, ///< The last bytes are sent to the node; a node that knows frames closes then.
    };

    TunnelListener *owner = nullptr;
    TunnelNumber number;
    Stage stage = Stage::ReadingRequest;
    Target target;
    TimePoint startedAt {};                          ///< Of the connection to the target.
    TunnelAnswer answer = TunnelAnswer::Unavailable; ///< While another server is checked.
    bufferevent *nodeSide = nullptr;
    bufferevent *serverSide = nullptr;
    event *timer = nullptr;
    TimePoint lastBytesAt {};
    bool isFramed = false;
    TunnelFrameReader frames; ///< Of the node, if they are used.
    ByteLease lease;
    TimePoint openedAt {};
    std::uint64_t movedBytes = 0; ///< Taken by either side.
    AnswerReading reading;        ///< Of the server's answers; without frames, since it opened.
    /** The server may have cut off its answer: a node that knows frames gets no last one. */
    bool isEndInDoubt = false;
    /** A request may be open on the connection; without frames this is unknown. */
    bool isBusy = true;

    Tunnel() = default;
    Tunnel(const Tunnel &) = delete;
    Tunnel &operator=(const Tunnel &) = delete;
    ~Tunnel()
    {
        if (timer) {
            event_free(timer);
        }
        for (bufferevent *side : {nodeSide, serverSide}) {
            if (side) {
                bufferevent_free(side);
            }
        }
    }

    std::size_t heldBytes() const
    {
        std::size_t bytes = BaseBytes;
        for (bufferevent *side : {nodeSide, serverSide}) {
            if (side) {
                bytes += evbuffer_get_length(bufferevent_get_input(side))
                    + evbuffer_get_length(bufferevent_get_output(side));
            }
        }
        return bytes;
    }
};

TunnelListener::TunnelListener(event_base *base, OverloadGuard &guard, ServerPaths &paths,
                               Dependencies dependencies, const PathTimeLimits &limits)
    : m_base(base)
    , m_guard(guard)
    , m_paths(paths)
    , m_dependencies(std::move(dependencies))
    , m_limits(limits)
    , m_acceptTimer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *self) {
              evconnlistener_enable(static_cast<TunnelListener *>(self)->m_listener);
          },
          this))
{
    m_guard.add(*this);
}

TunnelListener::~TunnelListener()
{
    m_guard.remove(*this);
    if (m_listener) {
        evconnlistener_free(m_listener);
    }
}

std::optional<std::string> TunnelListener::listenOn(const std::string &address)
{
    m_listener = listenForConnections(m_base, address, &TunnelListener::handleAccept, this);
    if (!m_listener) {
        return std::nullopt;
    }
    const int socket = evconnlistener_get_fd(m_listener);
    if (m_guard.budget().capacity() != ByteBudget::Unlimited) {
        setReceiveBuffer(socket, ReceiveBufferBytes);
    }
    evconnlistener_set_error_cb(m_listener, &TunnelListener::handleAcceptError);
    return boundAddress(socket);
}

void TunnelListener::beginLeaving()
{
    m_isLeaving = true;
    for (const auto &[number, tunnel] : m_tunnels) {
        if (tunnel->stage == Tunnel::Stage::Open && tunnel->isFramed) {
            writeTunnelFrame(bufferevent_get_output(tunnel->nodeSide), TunnelFrame::Leaving);
        }
    }
}

std::size_t TunnelListener::busyTunnels(TimePoint now) const
{
    const auto isBusy = [now](const Tunnel &tunnel) {
        switch (tunnel.stage) {
        case Tunnel::Stage::ReadingRequest:
        case Tunnel::Stage::CheckingOther:
            return false;
        case Tunnel::Stage::Connecting:
        case Tunnel::Stage::Closing:
            return true;
        case Tunnel::Stage::Open:
            break;
        }
        return tunnel.isFramed ? tunnel.isBusy : now < tunnel.lastBytesAt + UnframedIdleTime;
    };
    return static_cast<std::size_t>(std::ranges::count_if(
        m_tunnels, [&isBusy](const auto &one) { return isBusy(*one.second); }));
}

void TunnelListener::handleAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/,
                                  int /*length*/, void *self)
{
    static_cast<TunnelListener *>(self)->accept(socket);
}

void TunnelListener::handleAcceptError(evconnlistener *listener, void *self)
{
    // No descriptor is left. The waiting connection would wake the event loop again at once.
    auto &owner = *static_cast<TunnelListener *>(self);
    owner.m_guard.count(owner.door(), ShedReason::Descriptors, "accept failed");
    evconnlistener_disable(listener);
    event_add(owner.m_acceptTimer.get(), &AcceptPause);
}

void TunnelListener::accept(int socket)
{
    if (m_tunnels.size() >= std::min(MaxTunnels, m_guard.maxConnections(door()))
        && !makeRoomForTunnel()) {
        m_guard.count(door(), ShedReason::Connections, "not accepted");
        ::close(socket);
        return;
    }
    setNoDelay(socket);
    detectDeadPeer(socket);
    const TunnelNumber number(++m_lastTunnel);
    auto tunnel = std::make_unique<Tunnel>();
    tunnel->owner = this;
    tunnel->number = number;
    tunnel->nodeSide =
        bufferevent_socket_new(m_base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    tunnel->timer = event_new(m_base, -1, 0, &TunnelListener::handleTimer, tunnel.get());
    if (!tunnel->nodeSide || !tunnel->timer) {
        m_guard.count(door(), ShedReason::Descriptors, "no memory for a connection");
        if (!tunnel->nodeSide) {
            ::close(socket);
        }
        return;
    }
    tunnel->lease = ByteLease(m_guard.budget());
    tunnel->openedAt = steadyNow();
    tunnel->lease.hold(tunnel->heldBytes());
    bufferevent_setcb(tunnel->nodeSide, &TunnelListener::handleNodeRead,
                      &TunnelListener::handleNodeWritten, &TunnelListener::handleNodeEvent,
                      tunnel.get());
    bufferevent_setwatermark(tunnel->nodeSide, EV_WRITE, LowUnsentBytes, 0);
    bufferevent_enable(tunnel->nodeSide, EV_READ | EV_WRITE);
    event_add(tunnel->timer, &RequestLimit);
    m_tunnels.emplace(number, std::move(tunnel));
}

void TunnelListener::handleNodeRead(bufferevent * /*bev*/, void *context)
{
    auto &tunnel = *static_cast<Tunnel *>(context);
    if (tunnel.stage == Tunnel::Stage::ReadingRequest) {
        tunnel.owner->readRequest(tunnel);
    } else if (tunnel.stage == Tunnel::Stage::Open) {
        tunnel.owner->passToServer(tunnel);
    } else if (tunnel.stage == Tunnel::Stage::Closing) {
        evbuffer *input = bufferevent_get_input(tunnel.nodeSide);
        evbuffer_drain(input, evbuffer_get_length(input));
    } else if (evbuffer_get_length(bufferevent_get_input(tunnel.nodeSide)) >= MaxReadAheadBytes) {
        bufferevent_disable(tunnel.nodeSide,
                            EV_READ); // Until the connection to the server is open.
    }
}

void TunnelListener::readRequest(Tunnel &tunnel)
{
    evbuffer *input = bufferevent_get_input(tunnel.nodeSide);
    const std::size_t size = std::min(evbuffer_get_length(input), MaxTunnelHeadBytes);
    std::string head(size, '\0');
    evbuffer_copyout(input, head.data(), size);
    const auto length = tunnelHeadLength(head);
    if (!length) {
        if (size == MaxTunnelHeadBytes) {
            reset(tunnel);
        }
        return;
    }
    evbuffer_drain(input, *length);
    const auto request = parseTunnelRequest(std::string_view(head).substr(0, *length));
    const auto target = request ? m_dependencies.find(request->server) : std::nullopt;
    if (!target || m_isLeaving || m_paths.isRelayed(request->server)) {
        refuse(tunnel, TunnelAnswer::Unavailable);
        return;
    }
    tunnel.isFramed = request->knowsFrames;
    connectTo(tunnel, *target);
}

void TunnelListener::connectTo(Tunnel &tunnel, const Target &target)
{
    tunnel.target = target;
    tunnel.startedAt = steadyNow();
    tunnel.stage = Tunnel::Stage::Connecting;
    const timeval limit = timevalOf(m_limits.connectAtRelay);
    event_add(tunnel.timer, &limit);
    openServerSide(tunnel, target.address);
}

void TunnelListener::openServerSide(Tunnel &tunnel, const std::string &address)
{
    tunnel.serverSide =
        bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(tunnel.serverSide, &TunnelListener::handleServerRead,
                      &TunnelListener::handleServerWritten, &TunnelListener::handleServerEvent,
                      &tunnel);
    bufferevent_setwatermark(tunnel.serverSide, EV_WRITE, LowUnsentBytes, 0);
    bufferevent_enable(tunnel.serverSide, EV_READ | EV_WRITE);
    const auto to = socketAddress(address);
    if (!to
        || bufferevent_socket_connect(tunnel.serverSide, reinterpret_cast<const sockaddr *>(&*to),
                                      sizeof *to)
            != 0) {
        refuse(tunnel, TunnelAnswer::Unavailable);
        return;
    }
    setNoDelay(bufferevent_getfd(tunnel.serverSide));
    detectDeadPeer(bufferevent_getfd(tunnel.serverSide));
}

void TunnelListener::handleServerEvent(bufferevent * /*bev*/, short events, void *context)
{
    auto &tunnel = *static_cast<Tunnel *>(context);
    TunnelListener &owner = *tunnel.owner;
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        owner.serverConnected(tunnel);
    } else if (tunnel.stage == Tunnel::Stage::Connecting) {
        owner.serverNotConnected(tunnel, TunnelAnswer::Refused);
    } else if (tunnel.stage == Tunnel::Stage::CheckingOther) {
        owner.otherChecked(tunnel, false);
    } else if (tunnel.stage == Tunnel::Stage::Open) {
        // An error that a write has taken does not show at the next read.
        const bool hasUnsentBytes =
            evbuffer_get_length(bufferevent_get_output(tunnel.serverSide)) > 0;
        owner.serverEnded(tunnel, (events & BEV_EVENT_ERROR) == 0 && !hasUnsentBytes);
    }
}

void TunnelListener::serverConnected(Tunnel &tunnel)
{
    if (tunnel.stage == Tunnel::Stage::CheckingOther) {
        otherChecked(tunnel, true);
        return;
    }
    if (tunnel.stage != Tunnel::Stage::Connecting) {
        return;
    }
    m_paths.recordConnected(tunnel.target.server, steadyNow());
    ++m_opened;
    event_add(tunnel.timer, &IdleLimit);
    tunnel.stage = Tunnel::Stage::Open;
    tunnel.lastBytesAt = steadyNow();
    tunnel.reading.begin(BootClock::now());
    resetOnClose(bufferevent_getfd(tunnel.nodeSide));
    // Otherwise the server could go on with a request whose node has ended.
    resetOnClose(bufferevent_getfd(tunnel.serverSide));
    const std::string answer = encodeTunnelAnswer(TunnelAnswer::Open, tunnel.isFramed);
    bufferevent_write(tunnel.nodeSide, answer.data(), answer.size());
    if (m_isLeaving && tunnel.isFramed) {
        writeTunnelFrame(bufferevent_get_output(tunnel.nodeSide), TunnelFrame::Leaving);
    }
    bufferevent_enable(tunnel.nodeSide, EV_READ);
    passToServer(tunnel);
}

void TunnelListener::serverNotConnected(Tunnel &tunnel, TunnelAnswer answer)
{
    const char *reason = answer == TunnelAnswer::Refused ? "refused to another node's connection"
                                                         : "no answer to another node's connection";
    m_paths.recordNotConnected(tunnel.target.server, reason, steadyNow());
    const auto other = m_dependencies.findOther(tunnel.target.server);
    if (!other || m_paths.hasConnectedSince(tunnel.startedAt)) {
        refuse(tunnel, answer);
        return;
    }
    tunnel.answer = answer;
    checkOther(tunnel, *other);
}

void TunnelListener::checkOther(Tunnel &tunnel, const Target &other)
{
    bufferevent_free(tunnel.serverSide);
    tunnel.serverSide = nullptr;
    tunnel.target = other;
    tunnel.stage = Tunnel::Stage::CheckingOther;
    const timeval limit = timevalOf(m_limits.checkAtRelay);
    event_add(tunnel.timer, &limit);
    openServerSide(tunnel, other.address);
}

void TunnelListener::otherChecked(Tunnel &tunnel, bool isConnected)
{
    if (isConnected) {
        m_paths.recordConnected(tunnel.target.server, steadyNow());
    } else {
        m_paths.recordNotConnected(tunnel.target.server, "no connection in a check", steadyNow());
    }
    refuse(tunnel, isConnected ? tunnel.answer : TunnelAnswer::Unavailable);
}

void TunnelListener::handleServerRead(bufferevent * /*bev*/, void *context)
{
    auto &tunnel = *static_cast<Tunnel *>(context);
    if (tunnel.stage == Tunnel::Stage::Open) {
        tunnel.owner->passToNode(tunnel);
    }
}

void TunnelListener::passToServer(Tunnel &tunnel)
{
    const std::size_t size = evbuffer_get_length(bufferevent_get_input(tunnel.nodeSide));
    if (size == 0) {
        return;
    }
    noteBytes(tunnel, size);
    if (tunnel.isFramed) {
        readFrames(tunnel);
    } else {
        bufferevent_write_buffer(tunnel.serverSide, bufferevent_get_input(tunnel.nodeSide));
    }
    limitUnsent(tunnel, tunnel.nodeSide, tunnel.serverSide);
}

void TunnelListener::readFrames(Tunnel &tunnel)
{
    evbuffer *input = bufferevent_get_input(tunnel.nodeSide);
    while (const auto part = tunnel.frames.next(input)) {
        if (part->kind == TunnelFrame::Data) {
            if (!std::exchange(tunnel.isBusy, true)) {
                tunnel.reading.begin(BootClock::now());
            }
            evbuffer_remove_buffer(input, bufferevent_get_output(tunnel.serverSide), part->bytes);
        } else if (part->kind == TunnelFrame::Idle) {
            tunnel.isBusy = false;
        }
    }
}

void TunnelListener::passToNode(Tunnel &tunnel)
{
    evbuffer *input = bufferevent_get_input(tunnel.serverSide);
    if (evbuffer_get_length(input) == 0) {
        return;
    }
    noteBytes(tunnel, evbuffer_get_length(input));
    tunnel.reading.received(m_unreadTimes, evbuffer_get_length(input), BootClock::now());
    if (tunnel.isFramed) {
        moveTunnelData(bufferevent_get_output(tunnel.nodeSide), input);
    } else {
        bufferevent_write_buffer(tunnel.nodeSide, input);
    }
    limitUnsent(tunnel, tunnel.serverSide, tunnel.nodeSide);
}

void TunnelListener::noteBytes(Tunnel &tunnel, std::size_t bytes)
{
    tunnel.lastBytesAt = steadyNow();
    tunnel.movedBytes += bytes;
    event_add(tunnel.timer, &IdleLimit);
}

void TunnelListener::limitUnsent(Tunnel &tunnel, bufferevent *from, bufferevent *to)
{
    const bool isCalm = m_guard.budget().level() == ByteBudget::Level::Calm;
    if (evbuffer_get_length(bufferevent_get_output(to))
        > (isCalm ? MaxUnsentBytes : LowUnsentBytes)) {
        bufferevent_disable(from, EV_READ);
        if (from == tunnel.serverSide) {
            tunnel.reading.pause(BootClock::now());
        }
    }
    tunnel.lease.hold(tunnel.heldBytes());
    m_guard.relieveSoon();
}

void TunnelListener::appendHolders(std::vector<Holder> &holders) const
{
    for (const auto &[number, tunnel] : m_tunnels) {
        Holder holder {door(),          number.value(),      HolderStage::Head,
                       false,           tunnel->heldBytes(), tunnel->movedBytes,
                       tunnel->openedAt};
        if (tunnel->stage == Tunnel::Stage::Closing) {
            holder.stage = HolderStage::Unread;
        } else if (tunnel->stage != Tunnel::Stage::ReadingRequest) {
            holder.stage = HolderStage::Answering;
        }
        holders.push_back(holder);
    }
}

void TunnelListener::shed(std::uint64_t number, ShedReason reason)
{
    const auto it = m_tunnels.find(TunnelNumber(number));
    if (it == m_tunnels.end()) {
        return;
    }
    const Tunnel &tunnel = *it->second;
    m_guard.count(door(), reason,
                  "server=" + tunnel.target.server.text()
                      + " held=" + std::to_string(tunnel.heldBytes())
                      + " moved=" + std::to_string(tunnel.movedBytes));
    reset(*it->second);
}

bool TunnelListener::makeRoomForTunnel()
{
    std::vector<Holder> holders;
    appendHolders(holders);
    const auto chosen = chooseForConnections(holders, steadyNow());
    for (const Holder &one : chosen) {
        shed(one.number, ShedReason::Connections);
    }
    return !chosen.empty();
}

void TunnelListener::serverEnded(Tunnel &tunnel, bool isOrderly)
{
    passToNode(tunnel);
    tunnel.isEndInDoubt = isOrderly && tunnel.reading.mayBeCutOff(m_unreadTimes, BootClock::now());
    if (!tunnel.isFramed && (!isOrderly || tunnel.isEndInDoubt)) {
        reset(tunnel);
        return;
    }
    // Without a last frame the node takes the path for lost, which says nothing of the server.
    if (tunnel.isFramed && !tunnel.isEndInDoubt) {
        writeTunnelFrame(bufferevent_get_output(tunnel.nodeSide),
                         isOrderly ? TunnelFrame::ServerClosed : TunnelFrame::ServerReset);
    }
    closeWhenWritten(tunnel);
}

void TunnelListener::handleNodeWritten(bufferevent *bev, void *context)
{
    auto &tunnel = *static_cast<Tunnel *>(context);
    if (tunnel.stage == Tunnel::Stage::Open) {
        tunnel.lease.hold(tunnel.heldBytes());
        tunnel.reading.resume(BootClock::now());
        bufferevent_enable(tunnel.serverSide, EV_READ);
    } else if (tunnel.stage == Tunnel::Stage::Closing
               && evbuffer_get_length(bufferevent_get_output(bev)) == 0) {
        tunnel.owner->lastBytesWritten(tunnel);
    }
}

void TunnelListener::handleServerWritten(bufferevent * /*bev*/, void *context)
{
    auto &tunnel = *static_cast<Tunnel *>(context);
    if (tunnel.stage == Tunnel::Stage::Open) {
        bufferevent_enable(tunnel.nodeSide, EV_READ);
    }
}

void TunnelListener::handleNodeEvent(bufferevent * /*bev*/, short events, void *context)
{
    auto &tunnel = *static_cast<Tunnel *>(context);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        tunnel.owner->reset(tunnel);
    }
}

void TunnelListener::handleTimer(int /*socket*/, short /*events*/, void *context)
{
    auto &tunnel = *static_cast<Tunnel *>(context);
    if (tunnel.stage == Tunnel::Stage::Connecting) {
        tunnel.owner->serverNotConnected(tunnel, TunnelAnswer::NoAnswer);
    } else if (tunnel.stage == Tunnel::Stage::CheckingOther) {
        tunnel.owner->otherChecked(tunnel, false);
    } else {
        tunnel.owner->reset(tunnel);
    }
}

void TunnelListener::refuse(Tunnel &tunnel, TunnelAnswer answer)
{
    ++m_refused;
    tunnel.isFramed = false;
    const std::string text = encodeTunnelAnswer(answer);
    bufferevent_write(tunnel.nodeSide, text.data(), text.size());
    closeWhenWritten(tunnel);
}

void TunnelListener::closeWhenWritten(Tunnel &tunnel)
{
    const bool isWritten = evbuffer_get_length(bufferevent_get_output(tunnel.nodeSide)) == 0;
    if (!tunnel.isFramed && isWritten) {
        closeRegularly(tunnel);
        return;
    }
    tunnel.stage = Tunnel::Stage::Closing;
    if (tunnel.isFramed) {
        bufferevent_enable(tunnel.nodeSide, EV_READ); // The node closes once it has read all.
    } else {
        bufferevent_disable(tunnel.nodeSide, EV_READ);
    }
    if (tunnel.serverSide) {
        bufferevent_disable(tunnel.serverSide, EV_READ | EV_WRITE);
    }
    // The callback for written bytes must come when nothing is left.
    bufferevent_setwatermark(tunnel.nodeSide, EV_WRITE, 0, 0);
    event_add(tunnel.timer, &FlushLimit);
    if (isWritten) {
        lastBytesWritten(tunnel);
    }
}

void TunnelListener::lastBytesWritten(Tunnel &tunnel)
{
    if (!tunnel.isFramed) {
        closeRegularly(tunnel);
    } else if (tunnel.isEndInDoubt) {
        // Not closed: unread bytes of the node would make it a reset, which may overtake the
        // answer.
        shutdown(bufferevent_getfd(tunnel.nodeSide), SHUT_WR);
    }
}

void TunnelListener::closeRegularly(Tunnel &tunnel)
{
    // Not before all bytes are written: until then the end of the process must be a reset.
    endRegularlyOnClose(bufferevent_getfd(tunnel.nodeSide));
    close(tunnel.number);
}

void TunnelListener::reset(Tunnel &tunnel)
{
    for (bufferevent *side : {tunnel.nodeSide, tunnel.serverSide}) {
        if (side && bufferevent_getfd(side) >= 0) {
            resetOnClose(bufferevent_getfd(side));
        }
    }
    close(tunnel.number);
}

void TunnelListener::close(TunnelNumber number)
{
    m_tunnels.erase(number);
}

} // namespace indigoway
