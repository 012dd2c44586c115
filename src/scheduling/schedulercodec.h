#pragma once

#include "scheduling/schedulermessages.h"

#include <json/json.h>

#include <optional>
#include <string>

namespace indigoway::scheduling {

/** Message with the incarnation of the sending node. */
template <typename Message>
struct Datagram
{
    NodeLife from;
    Message message;
    bool operator==(const Datagram &) const = default;
};

/**
 * Encodes a message as JSON for a single UDP datagram. Nodes otherwise use JSON-RPC over HTTP;
 * claims are too short-lived to wait for retransmissions or for connections to a dead node.
 */
std::string encode(const Datagram<ToScheduler> &datagram);
std::string encode(const Datagram<FromScheduler> &datagram);
/**
 * Decodes a datagram.
 * @return Nothing if @p text is not a valid message.
 */
std::optional<Datagram<ToScheduler>> decodeToScheduler(const std::string &text);
std::optional<Datagram<FromScheduler>> decodeFromScheduler(const std::string &text);
/**
 * Reads a message from parsed JSON.
 * @return Nothing if @p value is not a valid message.
 */
std::optional<Datagram<ToScheduler>> readDatagramToScheduler(const Json::Value &value);
std::optional<Datagram<FromScheduler>> readDatagramFromScheduler(const Json::Value &value);

} // namespace indigoway::scheduling
