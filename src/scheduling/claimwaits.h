#pragma once

#include "scheduling/prefillpace.h"
#include "scheduling/schedulermessages.h"

#include <map>

namespace indigoway::scheduling {

/** How long claims wait for room, from how long others hold it. */
class ClaimWaits
{
public:
    ClaimWaits();

    /** What was granted has been held for @p held. */
    void addHeld(Duration held);
    /** Until so much of the decode engines' memory has come free; @p part: of all of it. */
    Duration untilFree(double part) const;
    /** Time that a claim leaves so that others with longer prompts are not always the hopeless. */
    Duration allowanceForLarge(const Claim &claim, const PrefillPace &pace);

private:
    double m_secondsHeld; ///< Moving average.
    /** In tokens, of late; fades with each claim. */
    std::map<ServiceName, double> m_longestPrompts;
};

} // namespace indigoway::scheduling
