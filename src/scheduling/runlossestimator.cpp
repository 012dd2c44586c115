#include "runlossestimator.h"

namespace indigoway::scheduling {

namespace {

/**
 * Copies cost at most the memory and transfer of the run itself, and a lost run costs its caller
 * the whole request, so that a small fraction justifies them.
 */
constexpr double MinLossFraction = 0.01;
/** Runs assumed to have completed, so that a single loss in a quiet time has no effect. */
constexpr double PriorRuns = 100;

} // namespace

void RunLossEstimator::add(bool isLost, TimePoint now)
{
    const std::int64_t second = secondOf(now);
    Slot &slot = m_slots.at(static_cast<std::size_t>(second) % m_slots.size());
    if (slot.second != second) {
        slot = {second, 0, 0};
    }
    ++(isLost ? slot.lost : slot.completed);
}

double RunLossEstimator::lossFraction(TimePoint now) const
{
    const std::int64_t oldest = secondOf(now) - static_cast<std::int64_t>(m_slots.size());
    double lost = 0;
    double runs = PriorRuns;
    for (const Slot &slot : m_slots) {
        if (slot.second > oldest) {
            lost += slot.lost;
            runs += slot.lost + slot.completed;
        }
    }
    return lost / runs;
}

bool RunLossEstimator::areBackupsWorthwhile(TimePoint now, bool isStoreStale) const
{
    return isStoreStale || lossFraction(now) >= MinLossFraction;
}

std::int64_t RunLossEstimator::secondOf(TimePoint time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace indigoway::scheduling
