#include "sockets.h"

#include "http/httpserver.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace indigoway {

namespace {

constexpr int ListenBacklog = 512;
constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
/** Longer than a sound peer falls silent. */
constexpr auto DeadPeerTimeout = std::chrono::milliseconds(2500);

} // namespace

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
