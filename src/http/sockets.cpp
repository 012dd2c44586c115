#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace indigoway {

namespace {

constexpr int ListenBacklog = 512;
constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
/** Longer than a sound peer falls silent. */
constexpr auto DeadPeerTimeout = std::chrono::milliseconds(2500);

} // namespace

std::optional<std::pair<std::string, std::uint16_t>> splitAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (error != std::errc {} || stop != end) {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    in_addr v4 {};
    in6_addr v6 {};
    if (inet_pton(AF_INET, host.c_str(), &v4) != 1 && inet_pton(AF_INET6, host.c_str(), &v6) != 1) {
        return std::nullopt;
    }
    return std::pair(host, port);
}

std::optional<sockaddr_in> socketAddress(const std::string &address)
{
    const auto parts = splitAddress(address);
    sockaddr_in result {};
    result.sin_family = AF_INET;
    if (!parts || inet_pton(AF_INET, parts->first.c_str(), &result.sin_addr) != 1) {
        return std::nullopt;
    }
    result.sin_port = htons(parts->second);
    return result;
}

std::string boundAddress(int socket)
{
    sockaddr_in bound {};
    socklen_t length = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &length);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &bound.sin_addr, text, sizeof text);
    return std::string(text) + ":" + std::to_string(ntohs(bound.sin_port));
}

evconnlistener *listenForConnections(event_base *base, const std::string &address,
                                     evconnlistener_cb accept, void *context)
{
    const auto at = socketAddress(address);
    return at ? evconnlistener_new_bind(base, accept, context,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, ListenBacklog,
                                        reinterpret_cast<const sockaddr *>(&*at), sizeof *at)
              : nullptr;
}

void setSendBuffer(int listener, std::size_t bytes)
{
    const int size = static_cast<int>(bytes);
    setsockopt(listener, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
}

void setReceiveBuffer(int socket, std::size_t bytes)
{
    const int size = static_cast<int>(bytes);
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void setUserTimeout(int socket, std::chrono::milliseconds timeout)
{
    const auto milliseconds = static_cast<unsigned>(timeout.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

void detectDeadPeer(int socket)
{
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeAfterSeconds, sizeof ProbeAfterSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeIntervalSeconds,
               sizeof ProbeIntervalSeconds);
    setUserTimeout(socket, DeadPeerTimeout);
}

void resetOnClose(int socket)
{
    const linger abort {1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

void endRegularlyOnClose(int socket)
{
    const linger regular {0, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &regular, sizeof regular);
}

} // namespace indigoway
