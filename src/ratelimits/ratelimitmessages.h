#pragma once

#include <indigoway/ids.h>

#include <variant>

/** @file Messages between nodes and the rate limiter of the fleet, each sent in one datagram. */
namespace indigoway::ratelimits {

/** Identifies a query within one incarnation of a node. */
using PermitId = Number<struct PermitTag>;

/** Asks for a permit to send one request to a server. A repeated query gets the same answer. */
struct PermitQuery
{
    PermitId id;
    ServerName server;
    double perSecond = 0;     ///< The limit that the node knows.
    Duration announcedAgo {}; ///< Time since the server last announced the limit to the node.
    bool operator==(const PermitQuery &) const = default;
};

/** Reports that a server no longer announces a limit. */
struct LimitEnded
{
    ServerName server;
    bool operator==(const LimitEnded &) const = default;
};

using ToRateLimiter = std::variant<PermitQuery, LimitEnded>;

struct PermitAnswer
{
    PermitId id;
    bool isGranted = false;
    Duration retryAfter {};     ///< Time until the next query if the permit is refused.
    bool hasLimitEnded = false; ///< Another node has seen that the server has no limit any more.
    bool operator==(const PermitAnswer &) const = default;
};

} // namespace indigoway::ratelimits
