#pragma once

#include <indigoway/ids.h>
#include <indigoway/organisation.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace indigoway::scheduling {

/**
 * Orders the claims that wait for a service. Claims of the same class and priority are served by
 * max-min fairness between organisations over the memory-time that they were granted recently: the
 * organisation with the least goes first. An organisation alone may use everything. Claims without
 * an organisation share one account; among themselves they are served by latest start.
 */
class FairQueue
{
public:
    /** Limits the organisations with an account; others share that of claims without any. */
    static constexpr std::size_t MaxOrganisations = 1000;
    /**
     * Bounds the wait of a claim behind claims of other organisations; longer than most claims
     * wait, since otherwise a burst would soon be served in order of arrival.
     */
    static constexpr Duration MaxOvertakenTime = std::chrono::seconds(1);

    /** A claim in the queue. */
    struct Entry
    {
        int urgencyClass = 0; ///< Lower classes are served first.
        std::uint32_t priority = 0;
        TimePoint latestStart {};
        OrganisationName organisation;
        double tokenSeconds = 0; ///< Expected memory-time of the claim.
        /**
         * When a claim of another organisation with a later latest start was granted first; nothing
         * if none was.
         */
        std::optional<TimePoint> overtakenAt;
    };
    /** Recent use of an organisation. */
    struct Usage
    {
        OrganisationName organisation;
        double share = 0; ///< Of the memory-time granted to all.
    };

    /**
     * Returns whether a claim goes before all others of its class and priority, because it was
     * first overtaken at @p overtakenAt.
     */
    static bool mustNotBeOvertaken(const std::optional<TimePoint> &overtakenAt, TimePoint now);
    /** Returns the indexes of @p entries in serving order. */
    std::vector<std::size_t> order(const std::vector<Entry> &entries, TimePoint now) const;
    /**
     * Adds memory-time to the account of @p organisation.
     * @param tokenSeconds Negative to correct an earlier charge.
     * @param at The time of the charge; earlier than @p now for a correction.
     */
    void charge(const OrganisationName &organisation, double tokenSeconds, TimePoint at,
                TimePoint now);
    /** Returns the shares of the organisations with recent use, largest first. */
    std::vector<Usage> usage(TimePoint now) const;

private:
    struct Account
    {
        double tokenSeconds = 0;
        TimePoint updatedAt {};
    };
    using Indexes = std::vector<std::size_t>;

    static double usedAt(const Account &account, TimePoint now);
    double used(const OrganisationName &organisation, TimePoint now) const;
    /** Reorders claims of one class and priority, which are in order of latest start. */
    void orderFairly(Indexes::iterator first, Indexes::iterator last,
                     const std::vector<Entry> &entries, TimePoint now) const;
    void removeIdleAccounts(TimePoint now);

    std::map<OrganisationName, Account> m_accounts;
};

} // namespace indigoway::scheduling
