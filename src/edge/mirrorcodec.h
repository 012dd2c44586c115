#pragma once

#include "store/mirror.h"
#include "store/sourcepath.h"
#include "store/updatelog.h"

#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** The response to another node's long poll for changes of the mirror. */
struct MirrorResponse
{
    /** Encoded blocks of changes, in order; empty if there are no changes. */
    std::vector<std::string> blocks;
    /** Maximum age of a copy that has applied all blocks; nothing: unknown. */
    std::optional<Duration> age = {};
    Duration heldFor {}; ///< Time from the arrival of the poll to the response.
    /** Control addresses of nodes that may have a full copy, if this one is too busy to send it. */
    std::vector<std::string> alternativePeers = {};
    /**
     * Whether the sender receives changes and can pass them on; nothing if it does not say. A
     * sender that says so also honours the hold time that a poll names.
     */
    std::optional<bool> isCurrent = {};
    /** Time since the store answered the node from which the sender's changes come. */
    std::optional<Duration> contactAge = {};
    /** The path of the sender if it is current; nothing: it is not, or of an earlier version. */
    std::optional<SourcePath> path = {};
};

/**
 * Encodes one block of changes as MessagePack compressed with zstd. Decoders ignore members that
 * later versions append to an array.
 */
EncodedUpdate encodeUpdate(const MirrorUpdate &news);
/** Decodes one block of changes; returns nothing if @p bytes are malformed. */
std::optional<MirrorUpdate> decodeUpdate(const std::string &bytes);

std::string encodeResponse(const MirrorResponse &response);
/** Decodes a response; returns nothing if @p bytes are malformed. */
std::optional<MirrorResponse> decodeResponse(const std::string &bytes);

} // namespace indigoway
