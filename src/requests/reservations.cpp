#include "reservations.h"

#include "core/jsontext.h"
#include "core/turn.h"
#include "membership/membership.h"

namespace indigoway {

namespace {

const std::string Prefix = "/indigoway/once/";
/** Lifetime of a key in the store; longer than any caller retries. */
constexpr Duration KeyLifetime = std::chrono::hours(24);
/** Time for which new keys share a lease, so that a request does not cost a lease of its own. */
constexpr Duration LeaseReusePeriod = std::chrono::hours(1);
constexpr int MaxAttempts = 3;
constexpr Duration RetryDelay = std::chrono::milliseconds(300);
constexpr Duration EndRetryDelay = std::chrono::seconds(1);
constexpr int MaxEndAttempts = 600;

} // namespace

void Reservations::reserve(Turn &turn, RequestNumber request, const std::string &key)
{
    Entry &entry = m_entries[request];
    entry.storeKey = Prefix + key;
    sendReserve(turn, request, entry);
}

void Reservations::end(Turn &turn, RequestNumber request, ReservationEnd outcome)
{
    const auto it = m_entries.find(request);
    if (it == m_entries.end() || it->second.state == State::Ending) {
        return;
    }
    if (it->second.state == State::NeedsLease) {
        m_timers.clear(request);
        m_entries.erase(it);
        return;
    }
    m_calls.erase(it->second.call);
    it->second.state = State::Ending;
    it->second.attempts = 0;
    it->second.outcome = outcome;
    sendEnd(turn, request, it->second);
}

std::optional<ReservationResult> Reservations::handleAnswer(Turn &turn, const StoreAnswered &answer)
{
    if (answer.call == m_leaseCall) {
        m_leaseCall = {};
        const auto *result = std::get_if<StoreResult>(&answer.outcome);
        if (result) {
            m_lease = result->lease;
            m_leaseGrantedAt = turn.now;
        }
        for (auto &[request, entry] : m_entries) {
            if (entry.state == State::NeedsLease) {
                m_timers.set(request, turn.now + (result ? Duration::zero() : RetryDelay));
            }
        }
        return std::nullopt;
    }
    const auto call = m_calls.find(answer.call);
    if (call == m_calls.end()) {
        return std::nullopt;
    }
    const RequestNumber request = call->second;
    m_calls.erase(call);
    const auto it = m_entries.find(request);
    if (it == m_entries.end()) {
        return std::nullopt;
    }
    if (it->second.state == State::Ending) {
        handleEndAnswer(turn, request, it->second, answer);
        return std::nullopt;
    }
    return handleReserveAnswer(turn, request, it->second, answer);
}

std::vector<ReservationResult> Reservations::runDue(Turn &turn)
{
    std::vector<ReservationResult> results;
    for (const RequestNumber request : m_timers.takeDue(turn.now)) {
        const auto it = m_entries.find(request);
        if (it == m_entries.end()) {
            continue;
        }
        Entry &entry = it->second;
        if (entry.state == State::Ending) {
            sendEnd(turn, request, entry);
        } else if (++entry.attempts > MaxAttempts) {
            results.emplace_back(ReservationUnavailable {request});
        } else {
            sendReserve(turn, request, entry);
        }
    }
    return results;
}

void Reservations::sendReserve(Turn &turn, RequestNumber request, Entry &entry)
{
    if (m_lease == 0 || turn.now - m_leaseGrantedAt > LeaseReusePeriod) {
        requestLease(turn);
        m_timers.set(request, turn.now + RetryDelay);
        return;
    }
    entry.state = State::Reserving;
    StoreTransaction create;
    create.conditions = {{entry.storeKey, 0, std::nullopt}};
    create.puts = {{entry.storeKey, recordText(turn, request, "running"), m_lease}};
    create.elseGet = {entry.storeKey};
    entry.call = turn.callStore(create);
    m_calls[entry.call] = request;
}

void Reservations::sendEnd(Turn &turn, RequestNumber request, Entry &entry)
{
    // Applies only to this request's own record, since the key may belong to another request if
    // its creation was not answered.
    StoreTransaction transaction;
    transaction.conditions = {{entry.storeKey, 0, recordText(turn, request, "running")}};
    if (entry.outcome == ReservationEnd::NotExecuted) {
        transaction.deletes = {entry.storeKey};
    } else {
        const char *state = entry.outcome == ReservationEnd::Done ? "done" : "in doubt";
        transaction.puts = {{entry.storeKey, recordText(turn, request, state), m_lease}};
    }
    entry.call = turn.callStore(transaction);
    m_calls[entry.call] = request;
}

void Reservations::requestLease(Turn &turn)
{
    if (m_leaseCall.isNone()) {
        m_leaseCall = turn.callStore(StoreGrantLease {KeyLifetime});
    }
}

std::string Reservations::recordText(const Turn &turn, RequestNumber request,
                                     const char *state) const
{
    Json::Value value;
    value["node"] = turn.members.life().node.text();
    value["incarnation"] = Json::UInt64(turn.members.life().incarnation.value());
    value["request"] = Json::UInt64(request.value());
    value["state"] = state;
    return jsonText(value);
}

std::optional<ReservationResult> Reservations::handleReserveAnswer(Turn &turn,
                                                                   RequestNumber request,
                                                                   Entry &entry,
                                                                   const StoreAnswered &answer)
{
    const auto *result = std::get_if<StoreResult>(&answer.outcome);
    if (!result) {
        // The transaction may have been applied. Repeating it is safe: a key with this request's
        // own record counts as reserved.
        m_timers.set(request, turn.now + turn.jittered(RetryDelay));
        return std::nullopt;
    }
    if (result->isApplied) {
        entry.state = State::Held;
        return Reserved {request};
    }
    if (result->entries.empty()) {
        m_timers.set(request, turn.now);
        return std::nullopt;
    }
    const Json::Value found = parseJson(result->entries.front().value);
    const NodeLife owner {NodeName(stringMember(found, "node")),
                          Incarnation(numberMember(found, "incarnation"))};
    const bool isOwn =
        owner == turn.members.life() && numberMember(found, "request") == request.value();
    if (isOwn) {
        entry.state = State::Held;
        return Reserved {request};
    }
    const std::string state = stringMember(found, "state");
    m_entries.erase(request);
    return ReservedByOther {request, state == "done",
                            state == "running" && turn.members.mayBeAlive(owner)};
}

void Reservations::handleEndAnswer(Turn &turn, RequestNumber request, Entry &entry,
                                   const StoreAnswered &answer)
{
    if (std::holds_alternative<StoreResult>(answer.outcome) || ++entry.attempts > MaxEndAttempts) {
        m_entries.erase(request);
        return;
    }
    m_timers.set(request, turn.now + turn.jittered(EndRetryDelay));
}

} // namespace indigoway
