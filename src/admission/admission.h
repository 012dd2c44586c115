#pragma once

#include "routing/routetable.h"

#include <optional>
#include <variant>

namespace indigoway {

/** The credentials that a caller has sent. */
struct Credentials
{
    /** Digest of the API key, of the empty string if malformed; nothing if none was sent. */
    std::optional<KeyDigest> key;
};

/** The request is admitted for an organisation; null on an open route without a known key. */
struct Admitted
{
    const Organisation *organisation = nullptr;
};

/** No organisation has the key, or none was sent. */
struct UnknownKey
{
};

/** This node's copy of the configuration may be too stale to decide. */
struct CopyTooOld
{
};

using Admission = std::variant<Admitted, UnknownKey, CopyTooOld>;

/**
 * Decides whether a request on @p route may be served.
 *
 * A revoked key must stop working on all nodes within a bounded time, including nodes that have
 * lost the store or were suspended. So a copy of the configuration that may be older than @p
 * maxCopyAge neither accepts nor rejects a key, which may have been added meanwhile.
 *
 * @param copyAge the staleness of the copy; nothing if unknown
 * @param maxCopyAge the maximum staleness; nothing if unlimited
 */
Admission admit(const RouteTable &table, const Route &route, const Credentials &credentials,
                std::optional<Duration> copyAge, std::optional<Duration> maxCopyAge);

/** Returns true if the staleness @p copyAge is within @p maxCopyAge. */
bool isFreshEnough(std::optional<Duration> copyAge, std::optional<Duration> maxCopyAge);

} // namespace indigoway
