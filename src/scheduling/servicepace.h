#pragma once

#include "scheduling/generationwork.h"

#include <optional>

namespace indigoway::scheduling {

/** What is learnt of a service's engines, and of what they are asked for. */
struct ServicePace
{
    PrefillPace prefill;
    GenerationPace decode;
    GenerationsSeen generations;
    std::optional<GenerationWork> work() const { return generations.work(prefill, decode); }
};

} // namespace indigoway::scheduling
