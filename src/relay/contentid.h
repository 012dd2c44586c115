#pragma once

#include "relay/callerlistener.h"

#include <indigoway/ids.h>

namespace indigoway {

/**
 * What @p request asks for: method, host, target, body, and the caller's credentials if it bears
 * any. Two attempts at the same thing have the same; their own ids and time limits do not count.
 */
ContentId contentOf(const CallerRequest &request);

} // namespace indigoway
