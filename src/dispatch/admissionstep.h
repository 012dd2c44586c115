#pragma once

#include <indigoway/ids.h>

#include <vector>

namespace indigoway::dispatch {

/** State of a request at one of the steps between its arrival and its flow. */
enum class AdmissionStep {
    Passed,   ///< The request goes on to the next step.
    Pending,  ///< Another node is being asked.
    Rejected, ///< The request has been answered.
};

/** A decision of a step that was pending. */
struct AdmissionOutcome
{
    RequestNumber request;
    AdmissionStep step = AdmissionStep::Pending;
};
using AdmissionOutcomes = std::vector<AdmissionOutcome>;

} // namespace indigoway::dispatch
