#pragma once

#include <indigoway/ids.h>
#include <indigoway/routing.h>

#include <compare>
#include <optional>
#include <string>
#include <variant>

/** @file Messages between nodes about where streams began, each sent in one datagram. */
namespace indigoway::origins {

/** The caller's id of the attempt that brought the first event of a stream. */
using StreamId = Name<struct StreamTag>;

/**
 * Where a stream began. Events of two software versions don't fit together and servers don't check
 * it, so that a stream may only continue at servers of the same service and version.
 */
struct StreamOrigin
{
    ServiceName service;
    std::string version; ///< Of the server's software.
    auto operator<=>(const StreamOrigin &) const = default;
};

/**
 * Returns the id under which a stream is found by its content, for callers that resume it without
 * naming it. No caller's id contains a space.
 */
inline StreamId streamIdOf(const ContentId &content)
{
    return StreamId("content " + content.text());
}

/** Asks a node to keep the origin of a stream. Sending it again has no further effect. */
struct OriginNotice
{
    StreamId stream;
    StreamOrigin origin;
    Duration keepFor {};     ///< Time after which no caller can resume the stream.
    ContentId content = {};  ///< For callers that resume the stream without naming it.
    bool isForStore = false; ///< The receiver also records the origin in the store.
    /** Replaces what an earlier notice said, since the server turned out to be another one. */
    bool isCorrection = false;
    bool operator==(const OriginNotice &) const = default;
};

/** Confirms OriginNotice. */
struct OriginKept
{
    StreamId stream;
    bool operator==(const OriginKept &) const = default;
};

/** Asks a node for the origin of a stream. */
struct OriginQuery
{
    StreamId stream;
    bool operator==(const OriginQuery &) const = default;
};

/** What a node knows of the origin of a stream. */
struct OriginRecord
{
    StreamOrigin origin;
    /** Whether streams with the same id began at different origins. */
    bool isAmbiguous = false;
    Duration age {}; ///< Time since the first notice.
    bool operator==(const OriginRecord &) const = default;
};

/** Answers OriginQuery. */
struct OriginAnswer
{
    StreamId stream;
    std::optional<OriginRecord> record; ///< Nothing if the node does not know the stream.
    bool operator==(const OriginAnswer &) const = default;
};

using OriginMessage = std::variant<OriginNotice, OriginKept, OriginQuery, OriginAnswer>;

} // namespace indigoway::origins
