#pragma once

#include <cstdint>
#include <random>

namespace indigoway {

/**
 * The random number generator of one event, seeded with its entropy. Knuth's MMIX linear
 * congruential generator is cheap to seed; the standard distributions use its high bits.
 */
using TurnRandom =
    std::linear_congruential_engine<std::uint64_t, 6364136223846793005U, 1442695040888963407U, 0U>;

} // namespace indigoway
