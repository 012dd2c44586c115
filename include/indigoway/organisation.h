#pragma once

#include <indigoway/ids.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace indigoway {

/** A customer of the operators; its callers bear one of its keys. */
using OrganisationName = Name<struct OrganisationTag>;

/**
 * SHA-256 of an API key. Keys themselves are kept nowhere: what is looked up, compared and logged
 * by accident is the digest, from which a key cannot be had, and whose comparison tells nobody by
 * its time how much of a guess was right.
 */
using KeyDigest = std::array<unsigned char, 32>;

KeyDigest digestOf(std::string_view key);

/** What an organisation's requests are counted in. */
enum class QuotaUnit {
    Requests,
    Tokens, ///< Of the prompt, and the most of the output.
};

/** A token bucket over all nodes together. */
struct Quota
{
    double perSecond = 0; ///< In units.
    double burst = 0;     ///< In units; what may come at once.
    QuotaUnit unit = QuotaUnit::Requests;
    double plainCost = 1; ///< In units, of a request that names no tokens.
    bool operator==(const Quota &) const = default;
};

struct Organisation
{
    OrganisationName name;
    std::vector<KeyDigest> keys;
    std::optional<std::uint32_t> priority; ///< In place of the route's; 0 is the most urgent.
    std::optional<Quota> quota;            ///< Nothing: no limit.
    bool operator==(const Organisation &) const = default;
};

} // namespace indigoway
