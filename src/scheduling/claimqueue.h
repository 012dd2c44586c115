#pragma once

#include "scheduling/claimkey.h"
#include "scheduling/fairqueue.h"
#include "scheduling/schedulermessages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace indigoway::scheduling {

/** A claim that waits for a grant. */
struct WaitingClaim
{
    Claim claim;
    TimePoint since {};
    TimePoint latestStart {};             ///< Latest time of a grant that meets the claim's target.
    double tokenSeconds = 0;              ///< Expected memory-time of the run.
    std::optional<TimePoint> overtakenAt; ///< See FairQueue::Entry.
};

/** Returns the mean memory of a run over its lifetime; its output grows linearly. */
double meanTokens(const MemoryNeed &need);

/** Keeps the waiting claims and the order in which they are served. */
class ClaimQueue
{
public:
    using Claims = std::map<ClaimKey, WaitingClaim>;
    using Entry = Claims::value_type;

    void add(const ClaimKey &key, WaitingClaim waiting)
    {
        m_claims.emplace(key, std::move(waiting));
    }
    void remove(const ClaimKey &key) { m_claims.erase(key); }
    /** Replaces the engines that the waiting claim @p key must not get. */
    void setExcludedServers(const ClaimKey &key, const std::vector<ServerName> &servers)
    {
        m_claims.at(key).claim.excludedServers = servers;
    }
    void removeOtherIncarnations(const NodeLife &owner);
    /** Removes and returns the claims that have waited longer than they may, with their wait. */
    std::vector<std::pair<ClaimKey, Duration>> takeOverdue(TimePoint now);
    bool contains(const ClaimKey &key) const { return m_claims.contains(key); }
    std::size_t size() const { return m_claims.size(); }
    bool empty() const { return m_claims.empty(); }
    /** Returns the services with waiting claims. */
    std::set<ServiceName> services() const;

    /**
     * Returns the claims that wait for @p service in the order in which they are served.
     * @param prefillWait The queueing delay that each claim still has after its grant.
     */
    std::vector<const Entry *> servingOrder(TimePoint now, Duration prefillWait,
                                            const ServiceName &service) const;
    /** Returns the claims that would be served before @p waiting, which is not in the queue. */
    std::vector<const WaitingClaim *> servedBefore(TimePoint now,
                                                   const WaitingClaim &waiting) const;
    /** Removes a claim that is granted, and charges its organisation. */
    void takeGranted(TimePoint now, const ClaimKey &key);
    /**
     * Records which of the waiting claims were overtaken by claims of other organisations that were
     * granted since the last call.
     */
    void recordOvertaking(TimePoint now);
    /** Corrects the account of an organisation by the memory-time that a run has used. */
    void recordEnd(const ServiceName &service, const OrganisationName &organisation,
                   double expectedTokenSeconds, double usedTokenSeconds, TimePoint grantedAt,
                   TimePoint now);
    /**
     * Returns the memory that the waiting claims on @p service need, counting their full output.
     */
    double waitingTokens(const ServiceName &service) const;

    /** Waiting claims and recent use of one organisation on one service. */
    struct OrganisationState
    {
        ServiceName service;
        OrganisationName organisation;
        std::size_t waiting = 0;
        double usageShare = 0;
    };
    /** Returns the @p limit organisations with the most waiting claims and the largest use. */
    std::vector<OrganisationState> organisations(TimePoint now, std::size_t limit) const;

private:
    /** Service, urgency and priority. Overtaking is recorded between claims that agree in all. */
    using Class = std::tuple<ServiceName, Urgency, std::uint32_t>;
    /**
     * The largest values of WaitingClaim::latestStart among the granted claims of a class. Two are
     * kept, since a claim is only overtaken by claims of other organisations.
     */
    struct GrantedStarts
    {
        OrganisationName organisation; ///< Organisation of the claim with the largest value.
        TimePoint latestStart {};      ///< The largest value of all organisations.
        /** The largest value of all organisations but that one; nothing if there are none. */
        std::optional<TimePoint> otherLatestStart;

        void add(const OrganisationName &name, TimePoint start);
        /**
         * Returns whether a granted claim of another organisation than that of @p waiting had a
         * later latest start.
         */
        bool hasOvertaken(const WaitingClaim &waiting) const;
    };

    static Class classOf(const Claim &claim);
    const FairQueue &fairQueue(const ServiceName &service) const;

    Claims m_claims;
    std::map<ServiceName, FairQueue> m_fairQueues;
    /** Claims granted since the last call of recordOvertaking(). */
    std::map<Class, GrantedStarts> m_grantedStarts;
};

} // namespace indigoway::scheduling
