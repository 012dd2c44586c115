#pragma once

#include "quotas/quotamessages.h"
#include "scheduling/schedulercodec.h"

#include <json/json.h>

#include <optional>
#include <string>

namespace indigoway::quotas {

using scheduling::Datagram;

/** Encodes messages as JSON in single datagrams, in the same format as the scheduler's. */
std::string encode(const Datagram<ToKeeper> &datagram);
std::string encode(const Datagram<FromKeeper> &datagram);
/** Parses a message; returns nothing if @p value is invalid. */
std::optional<Datagram<ToKeeper>> readToKeeper(const Json::Value &value);
std::optional<Datagram<FromKeeper>> readFromKeeper(const Json::Value &value);

} // namespace indigoway::quotas
