#pragma once

#include "http/eventbase.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

struct event_base;

namespace indigoway {

/** Where a datagram came from, or is to go: "IP:port". */
using DatagramAddress = std::string;

/** One UDP socket; sending never blocks, and what cannot be sent is lost like any datagram. */
class SchedulerLink
{
public:
    using Handler = std::function<void(const DatagramAddress &from, const std::string &text)>;

    SchedulerLink(event_base *base, Handler handler);
    ~SchedulerLink();
    SchedulerLink(const SchedulerLink &) = delete;
    SchedulerLink &operator=(const SchedulerLink &) = delete;

    /** The address bound, with the port that was chosen for port 0; nothing if it cannot be had. */
    std::optional<DatagramAddress> listenOn(const DatagramAddress &address);
    void send(const DatagramAddress &to, std::string_view text);
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
