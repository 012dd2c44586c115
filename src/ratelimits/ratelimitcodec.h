#pragma once

#include "ratelimits/ratelimitmessages.h"
#include "scheduling/schedulercodec.h"

#include <json/json.h>

#include <optional>
#include <string>

namespace indigoway::ratelimits {

using scheduling::Datagram;

/** Encodes messages as JSON in single datagrams, in the same format as the scheduler's. */
std::string encode(const Datagram<ToRateLimiter> &datagram);
std::string encode(const Datagram<FromRateLimiter> &datagram);
/** Parses a message; returns nothing if @p value is invalid. */
std::optional<Datagram<ToRateLimiter>> readToRateLimiter(const Json::Value &value);
std::optional<Datagram<FromRateLimiter>> readFromRateLimiter(const Json::Value &value);

} // namespace indigoway::ratelimits
