#pragma once

#include "http/httplistener.h"

#include <indigoway/ids.h>

namespace indigoway {

/**
 * Returns a hash of the method, host, target, body and Authorization header of @p request. Retries
 * of a request have the same hash, as request ids and deadlines are not included.
 */
ContentId contentIdOf(const CallerRequest &request);

} // namespace indigoway
