#pragma once

#include "scheduling/prefillestimator.h"
#include "scheduling/schedulermessages.h"

#include <map>

namespace indigoway::scheduling {

/** Estimates how long claims wait for decode memory, from how long grants hold it. */
class WaitEstimator
{
public:
    WaitEstimator();

    /** Records that a granted claim held its memory for @p holdTime. */
    void addHoldTime(Duration holdTime);
    /**
     * Returns the expected time until memory comes free on the decode engines.
     * @param fraction Share of all decode memory that has to come free.
     */
    Duration timeUntilFree(double fraction) const;
    /**
     * Records the prompt length of @p claim and returns the time to subtract from its target, so
     * that claims with longer prompts can meet theirs as well.
     */
    Duration longPromptAllowance(const Claim &claim, const PrefillEstimator &estimator);

private:
    double m_meanHoldSeconds;
    /** Longest prompt of each service in tokens, decaying with every claim. */
    std::map<ServiceName, double> m_longestRecentPrompts;
};

} // namespace indigoway::scheduling
