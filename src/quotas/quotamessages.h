#pragma once

#include <indigoway/ids.h>
#include <indigoway/organisation.h>

#include <cstdint>
#include <variant>
#include <vector>

/** @file What nodes and the keeper of the quotas tell each other, each in one datagram. */
namespace indigoway::quotas {

/** A question of one life of a node. */
using QuotaAskId = Number<struct QuotaAskTag>;

/** What requests at one node have used of an organisation's quota. */
struct UsedSoFar
{
    OrganisationName organisation;
    /** Since the node heard this keeper first; less where requests were not run after all. */
    double units = 0;
    bool operator==(const UsedSoFar &) const = default;
};

/** Sums, so that a lost datagram is made good by the next one. */
struct UsageTold
{
    Incarnation keeper;         ///< That the sums are for; none: the node has not heard it yet.
    std::uint64_t sequence = 0; ///< Rises with each of a node's messages; datagrams may overtake.
    bool wantsStanding = false; ///< The node wants to know that the keeper lives, and what it says.
    std::vector<UsedSoFar> used;
    bool operator==(const UsageTold &) const = default;
};

/** May a request be served? Asked again, it is the same. */
struct QuotaAsked
{
    QuotaAskId ask;
    OrganisationName organisation;
    double units = 0;
    bool operator==(const QuotaAsked &) const = default;
};

using ToKeeper = std::variant<UsageTold, QuotaAsked>;

/** The organisations whose requests are to be asked for one by one; all others have plenty. */
struct StandingTold
{
    std::vector<OrganisationName> scarce;
    bool operator==(const StandingTold &) const = default;
};

struct QuotaAnswered
{
    QuotaAskId ask;
    bool isGranted = false;
    Duration roomAfter {}; ///< Of one that is not granted.
    bool operator==(const QuotaAnswered &) const = default;
};

using FromKeeper = std::variant<StandingTold, QuotaAnswered>;

} // namespace indigoway::quotas
