#pragma once

#include "scheduling/schedulermessages.h"

#include <json/json.h>

#include <optional>
#include <string>

namespace indigoway::scheduling {

/** A message with the life of the node that sends it. */
template <typename Message>
struct Datagram
{
    NodeLife from;
    Message message;
    bool operator==(const Datagram &) const = default;
};

/**
 * JSON in single datagrams. Between the nodes JSON-RPC over HTTP is the rule; a claim is decided
 * within milliseconds or is worthless, so that waiting for a lost packet's repetition, or for a
 * connection to a node that is gone, is what this avoids.
 */
std::string encode(const Datagram<ToScheduler> &datagram);
std::string encode(const Datagram<FromScheduler> &datagram);
/** Nothing if @p text is no such message. */
std::optional<Datagram<ToScheduler>> decodeToScheduler(const std::string &text);
std::optional<Datagram<FromScheduler>> decodeFromScheduler(const std::string &text);
/** As above, of text that has been parsed. */
std::optional<Datagram<ToScheduler>> readDatagramToScheduler(const Json::Value &value);
std::optional<Datagram<FromScheduler>> readDatagramFromScheduler(const Json::Value &value);

} // namespace indigoway::scheduling
