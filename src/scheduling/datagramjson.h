#pragma once

#include "core/jsontext.h"
#include "scheduling/schedulercodec.h"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>

/** @file The JSON format that codecs of messages between nodes share. */
namespace indigoway::scheduling {

/**
 * Encodes a datagram with the sender beside the members of the message.
 * @param body returns the members of each alternative of Message, with its kind
 */
template <typename Message, typename Body>
std::string encodeDatagram(const Datagram<Message> &datagram, const Body &body)
{
    Json::Value value = std::visit(body, datagram.message);
    value["node"] = datagram.from.node.text();
    value["life"] = Json::UInt64(datagram.from.incarnation.value());
    return jsonText(value);
}

/** Reads the messages of one kind; returns nothing if the members are invalid. */
template <typename Message>
struct MessageReader
{
    const char *kind;
    std::optional<Message> (*read)(const Json::Value &value);
};

/** Reads a datagram; returns nothing if its kind, its sender or its members are invalid. */
template <typename Message, std::size_t count>
std::optional<Datagram<Message>>
readDatagram(const Json::Value &value, const std::array<MessageReader<Message>, count> &readers)
{
    NodeLife from {NodeName(stringMember(value, "node")), Incarnation(numberMember(value, "life"))};
    const std::string kind = stringMember(value, "kind");
    const auto reader = std::ranges::find(readers, kind, &MessageReader<Message>::kind);
    if (from.node.isEmpty() || reader == readers.end()) {
        return std::nullopt;
    }
    auto message = reader->read(value);
    return message ? std::optional(Datagram<Message> {std::move(from), std::move(*message)})
                   : std::nullopt;
}

} // namespace indigoway::scheduling
