#include "sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace indigoway {

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

void resetOnClose(int socket)
{
    const linger abort {1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

} // namespace indigoway
