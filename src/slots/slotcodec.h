#pragma once

#include "scheduling/schedulercodec.h"
#include "slots/slotmessages.h"

#include <json/json.h>

#include <optional>
#include <string>

namespace indigoway::slots {

using scheduling::Datagram;

/** Encodes messages as JSON in single datagrams, in the same format as the engine scheduler's. */
std::string encode(const Datagram<ToPlainScheduler> &datagram);
std::string encode(const Datagram<FromPlainScheduler> &datagram);
/** Parses a message; returns nothing if @p value is invalid. */
std::optional<Datagram<ToPlainScheduler>> readToPlainScheduler(const Json::Value &value);
std::optional<Datagram<FromPlainScheduler>> readFromPlainScheduler(const Json::Value &value);

} // namespace indigoway::slots
