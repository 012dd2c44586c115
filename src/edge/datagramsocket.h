#pragma once

#include "http/eventbase.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

struct event_base;

namespace indigoway {

/** Source or destination of a datagram: "IP:port". */
using DatagramAddress = std::string;

/** A non-blocking UDP socket. A datagram that cannot be sent at once is dropped. */
class DatagramSocket
{
public:
    using Handler = std::function<void(const DatagramAddress &from, const std::string &text)>;

    DatagramSocket(event_base *base, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /**
     * Binds the socket to @p address; port 0 takes a free port.
     * @return the bound address; nothing on failure.
     */
    std::optional<DatagramAddress> listenOn(const DatagramAddress &address);
    void send(const DatagramAddress &to, std::string_view text);
    /** @return the number of datagrams dropped by send(). */
    std::uint64_t unsent() const { return m_unsent; }

private:
    void receive();

    event_base *m_base;
    Handler m_handler;
    int m_socket = -1;
    EventHandle m_readable;
    std::uint64_t m_unsent = 0;
};

} // namespace indigoway
