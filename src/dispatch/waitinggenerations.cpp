#include "waitinggenerations.h"

#include "dispatch/generationlimits.h"
#include "dispatch/streamresumption.h"

namespace indigoway::dispatch {

namespace {

/** Extra time for the scheduler to reject a request before this node does. */
constexpr Duration SchedulerGrace = std::chrono::milliseconds(250);
/** Typical time from a reservation to the first event. */
constexpr Duration TypicalFirstEventTime = std::chrono::milliseconds(250);

} // namespace

OpenRequest *WaitingGenerations::next(OpenRequests &requests, TimePoint now) const
{
    OpenRequest *best = nullptr;
    bool bestIsInTime = false;
    for (const RequestNumber number : m_numbers) {
        OpenRequest *request = requests.find(number);
        const bool isInTime =
            now + TypicalFirstEventTime <= request->arrived + request->route->target;
        if (!best || (isInTime && !bestIsInTime)
            || (isInTime == bestIsInTime && request->arrived < best->arrived)) {
            best = request;
            bestIsInTime = isInTime;
        }
    }
    return best;
}

std::vector<RequestNumber> WaitingGenerations::overdue(OpenRequests &requests, TimePoint now) const
{
    std::vector<RequestNumber> overdue;
    for (const RequestNumber number : m_numbers) {
        const OpenRequest *request = requests.find(number);
        // The scheduler normally rejects first.
        const Duration slack = request->claim.isNone() ? Duration(0) : SchedulerGrace;
        if (now > request->waitingSince + maxQueueTime(*request) + slack) {
            overdue.push_back(number);
        }
    }
    return overdue;
}

std::vector<RequestNumber> WaitingGenerations::unservable(DispatchState &state, TimePoint now) const
{
    std::vector<RequestNumber> unservable;
    for (const RequestNumber number : m_numbers) {
        if (!isServable(state, *state.requests.find(number), now)) {
            unservable.push_back(number);
        }
    }
    return unservable;
}

std::vector<RequestNumber> WaitingGenerations::blocked(DispatchState &state, TimePoint now) const
{
    std::vector<RequestNumber> blocked;
    for (const RequestNumber number : m_numbers) {
        const OpenRequest &request = *state.requests.find(number);
        const auto until = blockedUntil(state, request, now);
        if (until && *until > request.waitingSince + maxQueueTime(request)) {
            blocked.push_back(number);
        }
    }
    return blocked;
}

std::optional<TimePoint> WaitingGenerations::blockedUntil(const DispatchState &state,
                                                          const OpenRequest &request, TimePoint now)
{
    return state.allBlockedUntil(request.service->name, EnginePhase::Decode, now);
}

} // namespace indigoway::dispatch
