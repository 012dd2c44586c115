#pragma once

#include "quotas/quotawindow.h"

#include <indigoway/ids.h>
#include <indigoway/organisation.h>

#include <cstdint>
#include <optional>
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
    /** The part of the units of each priority, the most urgent first; empty if not stated. */
    std::vector<double> byPriority = {};
    // Only in a report with hasRecord.
    UsageProfile granted = {}; ///< Units in the window that a keeper counted.
    UsageProfile local = {};   ///< Units in the window that the node granted without a keeper.
    UsageProfile fleet = {};   ///< Units of all nodes as a keeper last stated them.
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
    /**
     * Time that the node's record covers, at most a window; absent from nodes that keep none.
     */
    std::optional<Duration> recordAge = {};
    /** True if the report lists the use of all organisations in the window. */
    bool hasRecord = false;
    /**
     * Increases whenever the totals restart, at a change of the keeper; 0 if the node does not
     * state it.
     */
    std::uint64_t epoch = 0;
    /** Largest number of nodes that the node knew of in the window; 0 if it does not state it. */
    std::uint32_t nodes = 0;
    bool operator==(const UsageReport &) const = default;
};

/** Asks whether a request may be served. A repeated query gets the same answer. */
struct QuotaQuery
{
    QuotaQueryId queryId;
    OrganisationName organisation;
    double units = 0;
    /** 0 is the most urgent; absent from nodes that do not state it. */
    std::optional<std::uint32_t> priority = {};
    bool operator==(const QuotaQuery &) const = default;
};

using ToKeeper = std::variant<UsageReport, QuotaQuery>;

/** The units of an organisation that all nodes used in the window. */
struct FleetUsage
{
    OrganisationName organisation;
    UsageProfile used;
    bool operator==(const FleetUsage &) const = default;
};

/** Lists the organisations whose requests must be asked for individually. */
struct ScarcityReport
{
    std::vector<OrganisationName> scarce;
    /**
     * Whether the keeper has the record of the receiving node. Only in answers to that node; absent
     * from keepers that keep no window.
     */
    std::optional<bool> isRecorded = {};
    /** The use of some organisations; absent from keepers that keep no window. */
    std::optional<std::vector<FleetUsage>> fleet = {};
    /** Fraction of each quota that the keeper grants; the other nodes hold the rest. */
    double keeperFraction = 0;
    bool operator==(const ScarcityReport &) const = default;
};

/** The state of an organisation's quota in a decision, for the log. */
struct QuotaState
{
    double used = 0;    ///< Units in the window.
    double limit = 0;   ///< Units that may be used in the window.
    double reserve = 0; ///< Units reserved for other priorities.
    /** Time that the keeper's record covers, or time since a node last heard of the usage. */
    Duration recordAge {};
    bool operator==(const QuotaState &) const = default;
};

struct QuotaAnswer
{
    QuotaQueryId queryId;
    bool isGranted = false;
    Duration retryAfter {};               ///< Retry delay of a refused request.
    std::optional<QuotaState> state = {}; ///< Of a refused request; absent from old keepers.
    bool operator==(const QuotaAnswer &) const = default;
};

using FromKeeper = std::variant<ScarcityReport, QuotaAnswer>;

} // namespace indigoway::quotas
