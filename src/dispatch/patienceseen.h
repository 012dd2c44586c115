#pragma once

#include "dispatch/openrequests.h"

#include <map>

namespace indigoway::dispatch {

/**
 * Tells callers who come back from those who come for the first time. Each attempt has an id of its
 * own, but callers hand on what is left of their patience: who has clearly less of it than others
 * on the same route has waited before, and can no longer be served in time.
 */
class PatienceSeen
{
public:
    bool isComingBack(const OpenRequest &request);

private:
    std::map<RouteName, Duration> m_most; ///< The longest patience seen, by route.
};

} // namespace indigoway::dispatch
