#pragma once

#include "origins/originmessages.h"

#include <json/json.h>

#include <optional>
#include <string>

namespace indigoway::origins {

/** Longest stream id and longest version that are kept; longer ones are not valid. */
constexpr std::size_t MaxNameBytes = 128;

struct OriginDatagram
{
    NodeName from;
    OriginMessage message;
};

/**
 * Encodes a datagram as a JSON array, which is shorter than an object: one is sent for each stream
 * and holder. It begins with the kind, the sender and the stream; a notice continues with service,
 * version, milliseconds to keep them, the content and whether it is for the store, an answer with
 * service, version, age in milliseconds and whether it is ambiguous, or with nothing if the stream
 * is unknown.
 */
std::string encode(const NodeName &from, const OriginMessage &message);
/** Reads a datagram; returns nothing if it is no message about an origin or not valid. */
std::optional<OriginDatagram> readOriginDatagram(const Json::Value &value);

} // namespace indigoway::origins
