#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigoway {

/** A part of a prompt, such as the instructions of an application; requests may share it. */
using PartId = Number<struct PromptPartTag>;

/**
 * Returns the id that @p name stands for: its value if it is a hexadecimal number of at most 16
 * digits, otherwise a hash of it. Case and leading zeros make no difference.
 */
PartId partIdOf(std::string_view name);
/** Returns the id in hexadecimal. */
std::string textOf(PartId part);
/** Parses textOf(); returns nothing for any other text. */
std::optional<PartId> parsePartId(std::string_view text);

/** Limits the parts of one request that are considered; they are the caller's input. */
constexpr std::size_t MaxPromptParts = 256;

/**
 * Collects the parts of a prompt in order. The last part belongs to the request itself or to its
 * session, so that it is left out of the result.
 */
class PromptPartList
{
public:
    /** Adds the next part. */
    void add(std::string_view name);
    /** Returns the parts but the last one, each once, at most MaxPromptParts. */
    std::vector<PartId> takeShared();

private:
    std::vector<PartId> m_shared;
    std::optional<PartId> m_last;
};

} // namespace indigoway
