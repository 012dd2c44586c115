#include "generationlimits.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

/**
 * Share of the route's target after which a queued request is rejected, as it can no longer meet
 * the target.
 */
constexpr double WaitOfTarget = 0.9;
/** Maximum queue time of a resumed stream, during which its caller receives nothing. */
constexpr Duration LongestPause = std::chrono::milliseconds(2000);
/** Divisor of the caller's remaining time; retries within a third of it are accepted by callers. */
constexpr int ComeBackOfPatience = 4;
/** Retry delay if the caller's remaining time is unknown. */
constexpr Duration ComeBackUntold = std::chrono::milliseconds(3500);
/** Factor on the caller's output estimate, which is only accurate at the median. */
constexpr double ReservedOfLikely = 1.5;
/** Share of the estimated output that is reserved first; the scheduler has planned for the rest. */
constexpr double ReservedOfPlanned = 0.25;
/** Block size of engine memory, in tokens. */
constexpr std::uint64_t BlockTokens = 16;

std::uint64_t partOf(std::uint64_t tokens, double part)
{
    return static_cast<std::uint64_t>(static_cast<double>(tokens) * part);
}

} // namespace

scheduling::MemoryNeed memoryNeedOf(const ArrivedRequest &facts)
{
    const std::uint64_t most = facts.mostOutputTokens;
    const std::uint64_t likely = facts.likelyOutputTokens.value_or(facts.mostOutputTokens);
    return {facts.promptTokens + BlockTokens, std::min(likely, most), most};
}

std::uint64_t tokensUnplanned(const ArrivedRequest &facts, const scheduling::MemoryNeed &need)
{
    const std::uint64_t most = facts.mostOutputTokens;
    return need.contextTokens + std::min(most, partOf(need.outputTokens, ReservedOfLikely));
}

std::uint64_t tokensToBegin(const scheduling::MemoryNeed &need)
{
    return need.contextTokens + partOf(need.outputTokens, ReservedOfPlanned);
}

Duration longestWait(const OpenRequest &request)
{
    if (request.urgency() == scheduling::Urgency::GoesOn) {
        return LongestPause;
    }
    const auto target = static_cast<double>(request.route->target.count());
    return Duration(static_cast<Duration::rep>(target * WaitOfTarget));
}

Duration comeBackAfter(const OpenRequest &request)
{
    return request.facts.patience ? *request.facts.patience / ComeBackOfPatience : ComeBackUntold;
}

} // namespace indigoway::dispatch
