#pragma once

#include <indigoway/ids.h>

#include <variant>
#include <vector>

/** @file Messages between nodes and the rate limiter of the fleet, each sent in one datagram. */
namespace indigoway::ratelimits {

/** Identifies a query within one incarnation of a node. */
using PermitId = Number<struct PermitTag>;

/** A limit as a node knows it. */
struct KnownLimit
{
    ServerName server;
    double perSecond = 0;
    Duration announcedAgo {}; ///< Time since the server announced the limit to a node.
    bool operator==(const KnownLimit &) const = default;
};

/** Asks for a permit to send one request to a server. A repeated query gets the same answer. */
struct PermitQuery
{
    PermitId id;
    KnownLimit limit; ///< The limit of the server that the request is for.
    bool operator==(const PermitQuery &) const = default;
};

/** Reports the first limit that a server has announced to the node. */
struct LimitStarted
{
    KnownLimit limit;
    bool operator==(const LimitStarted &) const = default;
};

/** Reports that a server no longer announces a limit. */
struct LimitEnded
{
    ServerName server;
    bool operator==(const LimitEnded &) const = default;
};

using ToRateLimiter = std::variant<PermitQuery, LimitStarted, LimitEnded>;

struct PermitAnswer
{
    PermitId id;
    bool isGranted = false;
    Duration retryAfter {};     ///< Time until the next query if the permit is refused.
    bool hasLimitEnded = false; ///< Another node has seen that the server has no limit any more.
    bool operator==(const PermitAnswer &) const = default;
};

/**
 * Informs a node of limits that servers have announced to others. Otherwise each node of a large
 * fleet would have to exceed the limit to learn of it.
 */
struct LimitNotice
{
    std::vector<KnownLimit> limits;
    bool operator==(const LimitNotice &) const = default;
};

using FromRateLimiter = std::variant<PermitAnswer, LimitNotice>;

} // namespace indigoway::ratelimits
