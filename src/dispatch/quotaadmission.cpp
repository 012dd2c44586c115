#include "quotaadmission.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

constexpr int TooManyRequests = 429;
/** Lower bound of the retry delay after a quota rejection. */
constexpr Duration MinQuotaRetryDelay = std::chrono::milliseconds(100);

double quotaUnitsOf(const Quota &quota, const ArrivedRequest &arrival)
{
    if (quota.unit == QuotaUnit::Requests) {
        return 1;
    }
    const bool hasTokenCounts = arrival.promptTokens > 0 || arrival.maxOutputTokens > 0;
    return hasTokenCounts ? static_cast<double>(arrival.promptTokens) + arrival.maxOutputTokens
                          : quota.plainCost;
}

void sendToKeeper(Step &step, quotas::QuotaEnforcer::Messages messages)
{
    for (quotas::ToKeeper &message : messages) {
        step.add(SendToQuotaKeeper {std::move(message)});
    }
}

} // namespace

AdmissionStep QuotaAdmission::begin(Step &step, OpenRequest &request)
{
    if (!request.organisation || !request.organisation->quota) {
        return AdmissionStep::Passed;
    }
    const Quota &quota = *request.organisation->quota;
    const double units = quotaUnitsOf(quota, request.arrival);
    request.askedQuotaUnits = units;
    quotas::QuotaEnforcer::Messages messages;
    const quotas::QuotaDecision decision =
        m_quotas.decide(step.now, quotas::QuotaQueryId(request.arrival.request.value()),
                        request.organisation->name, quota, units, request.priority(), messages);
    sendToKeeper(step, std::move(messages));
    switch (decision.kind) {
    case quotas::QuotaDecision::Kind::Passed:
        request.quotaUnits = decision.isCounted ? units : 0;
        return AdmissionStep::Passed;
    case quotas::QuotaDecision::Kind::Pending:
        request.stage = Stage::AwaitingQuota;
        return AdmissionStep::Pending;
    case quotas::QuotaDecision::Kind::Refused:
        break;
    }
    reject(step, request, decision.retryAfter, decision.state);
    return AdmissionStep::Rejected;
}

AdmissionOutcomes QuotaAdmission::messageArrived(Step &step, const QuotaKeeperAnswered &event)
{
    quotas::QuotaEnforcer::Messages messages;
    const auto result = m_quotas.handleMessage(step.now, event.message, event.life, messages);
    sendToKeeper(step, std::move(messages));
    return result ? decide(step, {*result}) : AdmissionOutcomes();
}

AdmissionOutcomes QuotaAdmission::tick(Step &step)
{
    quotas::QuotaEnforcer::Messages messages;
    for (const OpenRequests::UnusedQuota &unused : m_state.requests.takeUnusedQuota()) {
        m_quotas.returnUnits(step.now, unused.organisation, unused.units, unused.priority,
                             messages);
    }
    const auto results = m_quotas.tick(step.now, messages);
    sendToKeeper(step, std::move(messages));
    return decide(step, results);
}

AdmissionOutcomes QuotaAdmission::decide(Step &step,
                                         const std::vector<quotas::QuotaResult> &results)
{
    AdmissionOutcomes outcomes;
    for (const quotas::QuotaResult &result : results) {
        OpenRequest *request = m_state.requests.find(RequestNumber(result.queryId.value()));
        if (!request || request->stage != Stage::AwaitingQuota) {
            continue;
        }
        if (!result.isGranted) {
            outcomes.push_back({request->arrival.request, AdmissionStep::Rejected});
            reject(step, *request, result.retryAfter, result.state);
            continue;
        }
        request->stage = Stage::Calling;
        if (result.isCounted) {
            request->quotaUnits = quotaUnitsOf(*request->organisation->quota, request->arrival);
        }
        outcomes.push_back({request->arrival.request, AdmissionStep::Passed});
    }
    return outcomes;
}

void QuotaAdmission::reject(Step &step, OpenRequest &request, Duration roomAfter,
                            const quotas::QuotaState &state)
{
    const Quota &quota = *request.organisation->quota;
    const std::string reason =
        "over quota units=" + std::to_string(quotaUnitsOf(quota, request.arrival))
        + " per_s=" + std::to_string(quota.perSecond) + " burst=" + std::to_string(quota.burst)
        + " room_after_ms=" + millisecondsText(roomAfter)
        + " keeper=" + (m_quotas.isKeeperReachable(step.now) ? "heard" : "silent")
        + " priority=" + std::to_string(request.priority()) + " used=" + std::to_string(state.used)
        + " limit=" + std::to_string(state.limit) + " reserve=" + std::to_string(state.reserve)
        + " record_age_ms=" + millisecondsText(state.recordAge);
    m_state.requests.refuse(step, request,
                            {TooManyRequests, RequestOutcome::OverQuota,
                             step.jitter(std::max(roomAfter, MinQuotaRetryDelay)), reason});
}

} // namespace indigoway::dispatch
