#pragma once

#include <indigoway/ids.h>
#include <indigoway/organisation.h>

#include <cstdint>
#include <variant>
#include <vector>

/** @file Messages between nodes and the quota keeper, each in one datagram. */
namespace indigoway::quotas {

/** Identifies a query within one incarnation of a node. */
using QuotaQueryId = Number<struct QuotaQueryTag>;

/** The total usage of an organisation's quota by the requests of one node. */
struct UsageTotal
{
    OrganisationName organisation;
    /**
     * Units since the node first heard from this keeper; units of requests that did not run are
     * deducted again.
     */
    double units = 0;
    bool operator==(const UsageTotal &) const = default;
};

/** Reports totals rather than differences, so a lost datagram is made up for by the next one. */
struct UsageReport
{
    /**
     * Incarnation of the keeper that the totals are for; none if the node has not heard from it
     * yet.
     */
    Incarnation keeper;
    /** Increases with each message of a node; datagrams may be reordered. */
    std::uint64_t sequence = 0;
    bool wantsScarcity = false; ///< True if the node requests a ScarcityReport in return.
    std::vector<UsageTotal> used;
    bool operator==(const UsageReport &) const = default;
};

/** Asks whether a request may be served. A repeated query gets the same answer. */
struct QuotaQuery
{
    QuotaQueryId queryId;
    OrganisationName organisation;
    double units = 0;
    bool operator==(const QuotaQuery &) const = default;
};

using ToKeeper = std::variant<UsageReport, QuotaQuery>;

/** Lists the organisations whose requests must be asked for individually. */
struct ScarcityReport
{
    std::vector<OrganisationName> scarce;
    bool operator==(const ScarcityReport &) const = default;
};

struct QuotaAnswer
{
    QuotaQueryId queryId;
    bool isGranted = false;
    Duration retryAfter {}; ///< Retry delay of a refused request.
    bool operator==(const QuotaAnswer &) const = default;
};

using FromKeeper = std::variant<ScarcityReport, QuotaAnswer>;

} // namespace indigoway::quotas
