#pragma once

#include <cstdint>
#include <random>

namespace indigoway {

/**
 * Expands one event's entropy. Cheap to seed, since each event seeds one: Knuth's MMIX linear
 * congruential generator, of which the standard distributions use the high bits.
 */
using TurnRandom =
    std::linear_congruential_engine<std::uint64_t, 6364136223846793005U, 1442695040888963407U, 0U>;

} // namespace indigoway
