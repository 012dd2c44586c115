#include "datagramsocket.h"

#include "http/httpserver.h"

#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>

namespace indigoway {

namespace {

/** Limits how long one read event can delay the events of other sockets. */
constexpr int MaxDatagramsPerEvent = 64;
/** The largest messages, records of the use of 40 organisations, have some 9 KB. */
constexpr std::size_t MaxDatagramBytes = std::size_t {16} * 1024;

std::optional<sockaddr_in> parseAddress(const DatagramAddress &address)
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

DatagramAddress formatAddress(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> host {};
    inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    return std::string(host.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

} // namespace

DatagramSocket::DatagramSocket(event_base *base, Handler handler)
    : m_base(base)
    , m_handler(std::move(handler))
{ }

DatagramSocket::~DatagramSocket()
{
    m_readable.reset();
    if (m_socket >= 0) {
        evutil_closesocket(m_socket);
    }
}

std::optional<DatagramAddress> DatagramSocket::listenOn(const DatagramAddress &address)
{
    const auto requested = parseAddress(address);
    if (!requested) {
        return std::nullopt;
    }
    m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0
        || bind(m_socket, reinterpret_cast<const sockaddr *>(&*requested), sizeof *requested)
            != 0) {
        return std::nullopt;
    }
    sockaddr_in bound {};
    socklen_t length = sizeof bound;
    getsockname(m_socket, reinterpret_cast<sockaddr *>(&bound), &length);
    m_readable.reset(event_new(
        m_base, m_socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *self) { static_cast<DatagramSocket *>(self)->receive(); },
        this));
    event_add(m_readable.get(), nullptr);
    return formatAddress(bound);
}

void DatagramSocket::send(const DatagramAddress &to, std::string_view text)
{
    const auto address = parseAddress(to);
    const bool isSent = address && m_socket >= 0
        && sendto(m_socket, text.data(), text.size(), 0,
                  reinterpret_cast<const sockaddr *>(&*address), sizeof *address)
            == static_cast<ssize_t>(text.size());
    m_unsent += isSent ? 0 : 1;
}

void DatagramSocket::receive()
{
    std::array<char, MaxDatagramBytes> buffer {};
    for (int i = 0; i < MaxDatagramsPerEvent; ++i) {
        sockaddr_in from {};
        socklen_t length = sizeof from;
        const ssize_t size = recvfrom(m_socket, buffer.data(), buffer.size(), 0,
                                      reinterpret_cast<sockaddr *>(&from), &length);
        if (size < 0) {
            return;
        }
        m_handler(formatAddress(from), std::string(buffer.data(), static_cast<std::size_t>(size)));
    }
}

} // namespace indigoway
