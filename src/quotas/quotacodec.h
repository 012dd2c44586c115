#pragma once

#include "quotas/quotamessages.h"
#include "scheduling/schedulercodec.h"

#include <json/json.h>

#include <optional>
#include <string>

namespace indigoway::quotas {

using scheduling::Datagram;

/** JSON in single datagrams, beside those of the scheduler and for the same reasons. */
std::string encode(const Datagram<ToKeeper> &datagram);
std::string encode(const Datagram<FromKeeper> &datagram);
/** Nothing if @p value is no such message. */
std::optional<Datagram<ToKeeper>> readToKeeper(const Json::Value &value);
std::optional<Datagram<FromKeeper>> readFromKeeper(const Json::Value &value);

} // namespace indigoway::quotas
