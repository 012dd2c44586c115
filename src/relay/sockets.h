#pragma once

#include <event2/listener.h>

#include <netinet/in.h>

#include <chrono>
#include <optional>
#include <string>

namespace indigoway {

/** Returns the socket address of "IP:port", or nothing if it is none. */
std::optional<sockaddr_in> socketAddress(const std::string &address);
/** Returns the "IP:port" to which @p socket is bound. */
std::string boundAddress(int socket);
/** Listens on @p address, "IP:port"; returns null on failure. */
evconnlistener *listenForConnections(event_base *base, const std::string &address,
                                     evconnlistener_cb accept, void *context);

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
