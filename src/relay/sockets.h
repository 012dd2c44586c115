#pragma once

#include <chrono>

struct bufferevent;

namespace indigoway {

/** Disables Nagle's algorithm, so that small stream events are sent without delay. */
void setNoDelay(int socket);
/**
 * Closes the connection if sent data stays unacknowledged for @p timeout. Without this limit, a
 * connection across a network partition stays open for minutes.
 */
void setUserTimeout(int socket, std::chrono::milliseconds timeout);
/** Makes close() send a TCP reset instead of a FIN, which the peer could read as a regular end. */
void resetOnClose(int socket);

} // namespace indigoway
