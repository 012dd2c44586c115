#pragma once

#include "store/mirror.h"
#include "store/updatelog.h"

#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** What a node that asked another one for news is answered. */
struct MirrorAnswer
{
    /** In order; nothing new if it is empty. */
    std::vector<std::string> blocks;
    /** How old the copy was that has come to the last block; nothing: not known. */
    std::optional<Duration> age = {};
    Duration held {}; ///< From the question until then.
    /** Control addresses of nodes that may give a whole copy where this one is too busy to. */
    std::vector<std::string> elsewhere = {};
};

/**
 * One block of news: MessagePack, compressed with zstd. Members that a later version adds at the
 * end of an array are ignored.
 */
EncodedUpdate encodeUpdate(const MirrorUpdate &news);
/** Nothing if @p bytes are not that. */
std::optional<MirrorUpdate> decodeUpdate(const std::string &bytes);

std::string encodeAnswer(const MirrorAnswer &answer);
/** Nothing if @p bytes are not that. */
std::optional<MirrorAnswer> decodeAnswer(const std::string &bytes);

} // namespace indigoway
