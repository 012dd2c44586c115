#pragma once

#include <cstdint>

namespace indigoway {

/** Numbers of calls to the store since this process started. */
struct StoreCallCounts
{
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t leases = 0; ///< Leases granted and ended.
    std::uint64_t renewals = 0;
    std::uint64_t writes = 0;
    std::uint64_t proofs = 0; ///< Checks that the copy is up to date.
};

} // namespace indigoway
