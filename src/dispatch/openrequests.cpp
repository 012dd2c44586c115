#include "openrequests.h"

#include "core/texthash.h"

namespace indigoway::dispatch {

namespace {

/** Returns the milliseconds between two times of a request, or a dash if @p to is not set. */
std::string elapsedText(TimePoint from, TimePoint to)
{
    return to == TimePoint {} ? std::string("-") : millisecondsText(to - from);
}

} // namespace

std::string versionText(const std::string &version)
{
    return version.empty() ? "-" : version;
}

scheduling::Urgency OpenRequest::urgency() const
{
    if (isForwarding || arrival.isContinuation) {
        return scheduling::Urgency::Resumed;
    }
    return isRetry ? scheduling::Urgency::Retried : scheduling::Urgency::FirstAttempt;
}

std::uint32_t OpenRequest::priority() const
{
    return organisation ? organisation->priority.value_or(route->priority) : route->priority;
}

OrganisationKey OpenRequest::organisationKey() const
{
    return organisation ? OrganisationKey(textHash(organisation->name.text())) : OrganisationKey();
}

bool OpenRequest::hasBegunToWrite(TimePoint now) const
{
    return writingSince && now >= *writingSince + MinWritingTime;
}

OpenRequest &OpenRequests::add(OpenRequest request)
{
    const RequestNumber number = request.arrival.request;
    return m_requests.insert_or_assign(number, std::move(request)).first->second;
}

OpenRequest *OpenRequests::find(RequestNumber number)
{
    const auto it = m_requests.find(number);
    return it == m_requests.end() ? nullptr : &it->second;
}

void OpenRequests::recordFirstEvent(Step &step, const OpenRequest &request)
{
    const ArrivedRequest &arrival = request.arrival;
    std::string detail = "server=" + request.server.text() + " version="
        + versionText(request.serverVersion) + " service=" + request.service->name.text();
    if (request.isForwarding) {
        detail += " resumes=own_answer";
    } else if (arrival.isContinuation) {
        detail += " resumes=" + arrival.resumedId.value_or("-");
    }
    step.add(LogDecision {"stream_first_event", arrival.callerId, std::move(detail)});
}

void OpenRequests::deliver(Step &step, OpenRequest &request, CallNumber call, int status)
{
    if (request.firstAnswerAt == TimePoint {}) {
        request.firstAnswerAt = step.now;
    }
    step.add(DeliverAnswer {request.arrival.request, call});
    m_answerTimes.record(request.route->name, step.now - request.arrived, step.now);
    constexpr int FirstFailure = 500;
    const auto outcome =
        status < FirstFailure ? RequestOutcome::Served : RequestOutcome::ServerFailed;
    logEnd(step, request, outcome, "status=" + std::to_string(status));
    erase(step, request, outcome);
}

void OpenRequests::endStream(Step &step, OpenRequest &request, StreamEnd end)
{
    step.add(EndStream {request.arrival.request});
    m_answerTimes.record(request.route->name, step.now - request.arrived, step.now);
    logEnd(step, request, RequestOutcome::Served,
           std::string("stream_end=") + nameOf(end)
               + " stops=" + std::to_string(request.stopsSent));
    erase(step, request, RequestOutcome::Served);
}

void OpenRequests::abortStream(Step &step, OpenRequest &request, const std::string &reason)
{
    step.add(BreakStream {request.arrival.request});
    logEnd(step, request, RequestOutcome::Failed, "stream aborted: " + reason);
    erase(step, request, RequestOutcome::Failed);
}

void OpenRequests::reject(Step &step, OpenRequest &request, Duration retryAfter,
                          const std::string &reason)
{
    constexpr int ServiceUnavailable = 503;
    step.add(RejectRequest {request.arrival.request, ServiceUnavailable, retryAfter, reason});
    logEnd(step, request, RequestOutcome::Rejected,
           reason + " retry_after_ms=" + millisecondsText(retryAfter));
    erase(step, request, RequestOutcome::Rejected);
}

void OpenRequests::refuse(Step &step, OpenRequest &request, const Refusal &refusal)
{
    step.add(RejectRequest {request.arrival.request, refusal.status, refusal.retryAfter,
                            refusal.reason});
    logEnd(step, request, refusal.outcome,
           "status=" + std::to_string(refusal.status) + " " + refusal.reason);
    erase(step, request, refusal.outcome);
}

void OpenRequests::failInDoubt(Step &step, OpenRequest &request, int status,
                               const std::string &reason)
{
    step.add(RejectRequest {request.arrival.request, status, std::nullopt, reason});
    logEnd(step, request, RequestOutcome::Failed,
           "status=" + std::to_string(status) + " " + reason);
    erase(step, request, RequestOutcome::Failed);
}

void OpenRequests::closeDisconnected(Step &step, OpenRequest &request)
{
    logEnd(step, request, RequestOutcome::CallerLeft, {});
    erase(step, request, RequestOutcome::CallerLeft);
}

void OpenRequests::logEnd(Step &step, const OpenRequest &request, RequestOutcome outcome,
                          const std::string &detail)
{
    std::string text = std::string("outcome=") + nameOf(outcome) + " route="
        + request.route->name.text() + " routes_version=" + std::to_string(request.table->version())
        + " stage=" + nameOf(request.stage)
        + " age_ms=" + millisecondsText(step.now - request.arrived)
        + " runs=" + std::to_string(request.executions) + " server=" + request.server.text()
        + " server_version=" + versionText(request.serverVersion)
        + " content=" + request.arrival.content.text()
        + " organisation=" + (request.organisation ? request.organisation->name.text() : "-");
    if (request.isGeneration()) {
        text += std::string(request.isRetry ? " caller=coming_back" : " caller=fresh")
            + " patience_ms="
            + (request.arrival.patience ? millisecondsText(*request.arrival.patience) : "-")
            + " prompt=" + std::to_string(request.arrival.promptTokens)
            + " output_guessed=" + std::to_string(request.memory.outputTokens)
            + " events=" + std::to_string(request.forwardedEvents)
            + " prefill_server=" + request.prefillServer.text() + " prefill_version="
            + versionText(request.prefillVersion) + " decode_server=" + request.decodeServer.text()
            + " room_after_ms=" + elapsedText(request.arrived, request.reservedAt)
            + " prefilled_after_ms=" + elapsedText(request.arrived, request.prefilledAt)
            + " first_after_ms=" + elapsedText(request.arrived, request.firstAnswerAt);
    }
    if (!detail.empty()) {
        text += " " + detail;
    }
    step.add(LogDecision {"request_end", request.arrival.callerId, std::move(text)});
}

void OpenRequests::erase(Step &step, const OpenRequest &request, RequestOutcome outcome)
{
    RequestEnded ended;
    ended.outcome = outcome;
    ended.isGeneration = request.isGeneration();
    if (request.organisation) {
        ended.organisation = request.organisation->name;
    }
    const bool isUnused = !request.mayHaveExecuted() && request.prefillAttempts == 0;
    if (outcome == RequestOutcome::OverQuota || !isUnused) {
        ended.quotaUnits = request.askedQuotaUnits;
    }
    ended.priority = request.priority();
    ended.totalTime = step.now - request.arrived;
    if (request.firstAnswerAt != TimePoint {}) {
        ended.timeToFirstAnswer = request.firstAnswerAt - request.arrived;
    }
    step.add(ended);
    if (request.quotaUnits > 0 && isUnused) {
        m_unusedQuota.push_back(
            {request.organisation->name, request.quotaUnits, request.priority()});
    }
    m_requests.erase(request.arrival.request);
}

bool carriesRequest(CallKind kind)
{
    return kind == CallKind::Plain || kind == CallKind::Prefill || kind == CallKind::Decode
        || kind == CallKind::Whole;
}

const char *nameOf(Stage stage)
{
    switch (stage) {
    case Stage::AwaitingOrigin:
        return "awaiting_origin";
    case Stage::AwaitingQuota:
        return "awaiting_quota";
    case Stage::AwaitingPermit:
        return "awaiting_permit";
    case Stage::AwaitingSlot:
        return "awaiting_slot";
    case Stage::Calling:
        return "calling";
    case Stage::Waiting:
        return "waiting";
    case Stage::Reserving:
        return "reserving";
    case Stage::Prefilling:
        return "prefilling";
    case Stage::Decoding:
        return "decoding";
    }
    return "";
}

const char *nameOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Served:
        return "served";
    case RequestOutcome::ServerFailed:
        return "server_failed";
    case RequestOutcome::Rejected:
        return "rejected";
    case RequestOutcome::OverQuota:
        return "over_quota";
    case RequestOutcome::Failed:
        return "failed";
    case RequestOutcome::CallerLeft:
        return "caller_left";
    }
    return "";
}

const char *nameOf(CallKind kind)
{
    switch (kind) {
    case CallKind::Plain:
        return "plain";
    case CallKind::Reserve:
        return "reserve";
    case CallKind::Unreserve:
        return "unreserve";
    case CallKind::Prefill:
        return "prefill";
    case CallKind::FreeHandle:
        return "free_handle";
    case CallKind::Decode:
        return "decode";
    case CallKind::Whole:
        return "whole";
    case CallKind::Report:
        return "report";
    case CallKind::Order:
        return "order";
    case CallKind::Probe:
        return "probe";
    case CallKind::StopRun:
        return "stop_run";
    }
    return "";
}

const char *nameOf(CallEnd end)
{
    switch (end) {
    case CallEnd::NotConnected:
        return "not_connected";
    case CallEnd::NoPath:
        return "no_path";
    case CallEnd::NotExecuted:
        return "not_executed";
    case CallEnd::Complete:
        return "complete";
    case CallEnd::Broken:
        return "broken";
    case CallEnd::PathLost:
        return "path_lost";
    }
    return "";
}

std::string partsText(const crashes::PartCrashNotes &notes)
{
    std::string text;
    for (const PartCrashNote &note : notes) {
        text += " part=" + textOf(note.part) + ":epoch=" + std::to_string(note.crashes.epoch)
            + ":crashes=" + std::to_string(note.crashes.count) + "/"
            + std::to_string(crashes::PartCrashRecords::limitOf(note.crashes));
    }
    return text;
}

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace indigoway::dispatch
