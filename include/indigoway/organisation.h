#pragma once

#include <indigoway/ids.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace indigoway {

/** A customer of the operators, whose callers authenticate with one of its API keys. */
using OrganisationName = Name<struct OrganisationTag>;

/**
 * SHA-256 digest of an API key. The keys themselves are not stored: a digest that is logged by
 * accident does not reveal the key, and the time that a lookup takes does not show how much of a
 * guessed key is right.
 */
using KeyDigest = std::array<unsigned char, 32>;

KeyDigest digestOf(std::string_view key);

/** The unit of an organisation's quota. */
enum class QuotaUnit {
    Requests,
    Tokens, ///< Prompt tokens plus the maximum of output tokens.
};

/** A token bucket shared by all nodes. */
struct Quota
{
    double perSecond = 0; ///< Refill rate in units.
    double burst = 0;     ///< Bucket size in units.
    QuotaUnit unit = QuotaUnit::Requests;
    double plainCost = 1; ///< Cost in units of a request without token counts.
    bool operator==(const Quota &) const = default;
};

struct Organisation
{
    OrganisationName name;
    std::vector<KeyDigest> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the route's; 0 is the most urgent.
    std::optional<Quota> quota;            ///< If not set: no limit.
    bool operator==(const Organisation &) const = default;
};

} // namespace indigoway
