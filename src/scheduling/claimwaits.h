#pragma once

#include "scheduling/prefillpace.h"
#include "scheduling/schedulermessages.h"

#include <map>

namespace indigoway::scheduling {

/** How long claims wait for room, learnt from those that did. */
class ClaimWaits
{
public:
    ClaimWaits();

    /** What was granted has been held for @p held. */
    void addHeld(Duration held);
    /** A claim that was thought to wait for @p expected was granted or refused after @p waited. */
    void addWaited(Urgency urgency, Duration expected, Duration waited);
    /** Until so much of the decode engines' memory has come free; @p part: of all of it. */
    Duration untilFree(Urgency urgency, double part) const;
    /** Time that a claim leaves so that others with longer prompts are not always the hopeless. */
    Duration allowanceForLarge(const Claim &claim, const PrefillPace &pace);

private:
    double m_secondsHeld; ///< Moving average.
    /** Real waits against those expected; moving averages. */
    std::map<Urgency, double> m_ratios;
    /** In tokens, of late; fades with each claim. */
    std::map<ServiceName, double> m_longestPrompts;
};

} // namespace indigoway::scheduling
