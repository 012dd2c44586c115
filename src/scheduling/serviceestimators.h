#pragma once

#include "scheduling/generationwork.h"
#include "scheduling/runlossestimator.h"

#include <optional>

namespace indigoway::scheduling {

/** Estimators for the engines of one service and for its claims. */
struct ServiceEstimators
{
    PrefillEstimator prefill;
    DecodeEstimator decode;
    GenerationStatistics generations;
    RunLossEstimator losses;
    std::optional<GenerationWork> work() const { return generations.work(prefill, decode); }
};

} // namespace indigoway::scheduling
