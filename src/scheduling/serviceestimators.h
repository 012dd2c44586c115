#pragma once

#include "scheduling/generationwork.h"

#include <optional>

namespace indigoway::scheduling {

/** Estimators for the engines of one service and for its claims. */
struct ServiceEstimators
{
    PrefillEstimator prefill;
    DecodeEstimator decode;
    GenerationStatistics generations;
    std::optional<GenerationWork> work() const { return generations.work(prefill, decode); }
};

} // namespace indigoway::scheduling
