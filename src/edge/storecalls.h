#pragma once

#include <cstdint>

namespace indigoway {

/** Calls to the store by this life of the node, each of which is paid for. */
struct StoreCalls
{
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t leases = 0; ///< Granted and ended.
    std::uint64_t renewals = 0;
    std::uint64_t writes = 0;
    std::uint64_t proofs = 0; ///< That the copy is up to date.
};

} // namespace indigoway
