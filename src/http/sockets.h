#pragma once

#include <event2/listener.h>

#include <netinet/in.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace indigoway {

/** Splits "IP:port"; returns nothing if it is not of that form. */
std::optional<std::pair<std::string, std::uint16_t>> splitAddress(const std::string &address);
/** Returns the socket address of "IP:port", or nothing if it is none. */
std::optional<sockaddr_in> socketAddress(const std::string &address);
/** Returns the "IP:port" to which @p socket is bound. */
std::string boundAddress(int socket);
/** Listens on @p address, "IP:port"; returns null on failure. */
evconnlistener *listenForConnections(event_base *base, const std::string &address,
                                     evconnlistener_cb accept, void *context);

/**
 * Limits the bytes that the kernel holds for a connection that it has received and that are not yet
 * read; that of a listener is that of the connections it accepts.
 */
void setReceiveBuffer(int socket, std::size_t bytes);
/** Limits the unsent bytes that the kernel holds for each connection that @p listener accepts. */
void setSendBuffer(int listener, std::size_t bytes);
/** Disables Nagle's algorithm, so that small stream events are sent without delay. */
void setNoDelay(int socket);
/**
 * Closes the connection if sent data stays unacknowledged for @p timeout. Without this limit, a
 * connection across a network partition stays open for minutes.
 */
void setUserTimeout(int socket, std::chrono::milliseconds timeout);
/**
 * Closes the connection some seconds after its peer has died, also if nothing is sent meanwhile.
 * Keep-alive probes find out, and the user timeout decides when they give up, whatever their count.
 */
void detectDeadPeer(int socket);
/**
 * Makes close(), also the one at the end of the process, send a TCP reset instead of a FIN, which
 * the peer could read as a regular end.
 */
void resetOnClose(int socket);
/** Reverts resetOnClose(). */
void endRegularlyOnClose(int socket);

} // namespace indigoway
