#include "generationlimits.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

/**
 * Share of the route's target after which a queued request is rejected, as it can no longer meet
 * the target.
 */
constexpr double MaxQueueTimeOfTarget = 0.9;
/**
 * Maximum queue time of a resumed stream. Its caller receives nothing meanwhile, and waits for two
 * seconds at least.
 */
constexpr Duration MaxResumeQueueTime = std::chrono::milliseconds(2000);
/**
 * Divisor of the caller's remaining time. Callers accept a delay of up to a third of it and retry
 * once. They are late then anyway, and as bursts last for seconds, an early retry risks a second
 * rejection.
 */
constexpr int PatiencePerRetryDelay = 4;
/** Retry delay if the caller's remaining time is unknown. */
constexpr Duration DefaultRetryDelay = std::chrono::milliseconds(3500);
/** Factor on the caller's output estimate, which is only accurate at the median. */
constexpr double UnscheduledOutputFactor = 1.5;
/** Share of the estimated output that is reserved first; the scheduler has planned for the rest. */
constexpr double ScheduledOutputFactor = 0.25;
/** Block size of engine memory, in tokens. */
constexpr std::uint64_t BlockTokens = 16;

std::uint64_t scaled(std::uint64_t tokens, double factor)
{
    return static_cast<std::uint64_t>(static_cast<double>(tokens) * factor);
}

} // namespace

scheduling::MemoryNeed memoryNeedOf(const ArrivedRequest &arrival)
{
    const std::uint64_t most = arrival.maxOutputTokens;
    const std::uint64_t likely = arrival.likelyOutputTokens.value_or(arrival.maxOutputTokens);
    return {arrival.promptTokens + BlockTokens, std::min(likely, most), most};
}

std::uint64_t unscheduledReservation(const ArrivedRequest &arrival,
                                     const scheduling::MemoryNeed &need)
{
    const std::uint64_t most = arrival.maxOutputTokens;
    return need.contextTokens + std::min(most, scaled(need.outputTokens, UnscheduledOutputFactor));
}

std::uint64_t initialReservation(const scheduling::MemoryNeed &need)
{
    return need.contextTokens + scaled(need.outputTokens, ScheduledOutputFactor);
}

Duration maxQueueTime(const OpenRequest &request)
{
    if (request.urgency() == scheduling::Urgency::Resumed) {
        return MaxResumeQueueTime;
    }
    const auto target = static_cast<double>(request.route->target.count());
    return Duration(static_cast<Duration::rep>(target * MaxQueueTimeOfTarget));
}

Duration retryDelay(const OpenRequest &request)
{
    return request.arrival.patience ? *request.arrival.patience / PatiencePerRetryDelay
                                    : DefaultRetryDelay;
}

} // namespace indigoway::dispatch
