#include "generationlimits.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

/**
 * Of its target: a request that found no room for so long can hardly meet it any more, and what
 * comes after it can.
 */
constexpr double WaitOfTarget = 0.9;
/** A stream that goes on: its caller has part of the answer, and stays for two seconds at least. */
constexpr Duration LongestPause = std::chrono::milliseconds(2000);
/**
 * Of the caller's patience. Callers come back once, and honour up to a third of the time they have
 * left. They are late then anyway, and a second rejection is worse than a wait: bursts last some
 * seconds.
 */
constexpr int ComeBackOfPatience = 4;
/** Where the caller does not tell its patience. */
constexpr Duration ComeBackUntold = std::chrono::milliseconds(3500);
/** Of the caller's estimate of the output, which is right at the median only. */
constexpr double ReservedOfLikely = 1.5;
/** The rest of the output finds room when it comes: the scheduler has looked ahead for it. */
constexpr double ReservedOfPlanned = 0.25;
/** Memory is given out by blocks of so many tokens. */
constexpr std::uint64_t BlockTokens = 16;

std::uint64_t partOf(std::uint64_t tokens, double part)
{
    return static_cast<std::uint64_t>(static_cast<double>(tokens) * part);
}

} // namespace

scheduling::MemoryNeed memoryNeedOf(const ArrivedRequest &facts)
{
    const std::uint64_t most = facts.maxOutputTokens;
    const std::uint64_t likely = facts.likelyOutputTokens.value_or(facts.maxOutputTokens);
    return {facts.promptTokens + BlockTokens, std::min(likely, most), most};
}

std::uint64_t tokensUnplanned(const ArrivedRequest &facts, const scheduling::MemoryNeed &need)
{
    const std::uint64_t most = facts.maxOutputTokens;
    return need.contextTokens + std::min(most, partOf(need.outputTokens, ReservedOfLikely));
}

std::uint64_t tokensToBegin(const scheduling::MemoryNeed &need)
{
    return need.contextTokens + partOf(need.outputTokens, ReservedOfPlanned);
}

Duration longestWait(const OpenRequest &request)
{
    if (request.urgency() == scheduling::Urgency::Resumed) {
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
