#pragma once

#include "dispatch/dispatcher.h"
#include "edge/edgemetrics.h"
#include "edge/originstore.h"
#include "edge/schedulingendpoint.h"
#include "edge/statesync.h"
#include "edge/structuredlog.h"
#include "fleet/nodedirectory.h"
#include "overload/overloadguard.h"
#include "relay/requestrelay.h"

#include <string>

namespace indigoway {

/** The parts of a node whose figures are exported. */
struct NodeMetricsSources
{
    const EdgeMetrics &metrics;
    const RequestRelay &relay;
    const dispatch::Dispatcher &dispatcher;
    const SchedulingEndpoint &scheduling;
    const StateSync &sync;
    const OriginStore &originStore;
    const NodeDirectory &roster;
    const StructuredLog &log;
    const OverloadGuard &guard;
    bool isLeaving = false;
};

/** Returns all metrics of a node in the text format of Prometheus. */
std::string nodeMetricsText(const NodeMetricsSources &node, TimePoint now);

} // namespace indigoway
