#pragma once

#include <chrono>

struct bufferevent;

namespace indigoway {

/** Sends each piece at once: events of a stream are small and must not wait for each other. */
void setNoDelay(int socket);
/**
 * Gives a connection up whose peer acknowledges nothing for @p longest: behind a partition no
 * reset ever arrives, and the connection would hang for minutes.
 */
void setUserTimeout(int socket, std::chrono::milliseconds longest);
/** The next close sends a reset, so that the peer cannot take it for an orderly end. */
void resetOnClose(int socket);

} // namespace indigoway
