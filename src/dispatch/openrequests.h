#pragma once

#include "core/turnrandom.h"
#include "dispatch/dispatcheffects.h"
#include "dispatch/dispatchevents.h"
#include "routing/routetable.h"

#include <indigoway/ids.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace indigoway::dispatch {

/** What the handling of one event may use: the time, its randomness, the list of effects. */
class Step
{
public:
    Step(TimePoint present, std::uint64_t entropy, DispatchEffects &effects)
        : now(present)
        , random(entropy)
        , m_effects(effects)
    { }

    const TimePoint now;
    TurnRandom random;

    template <typename Effect>
    void add(Effect &&effect)
    {
        m_effects.emplace_back(std::forward<Effect>(effect));
    }
    std::uint64_t below(std::uint64_t bound)
    {
        return bound < 2 ? 0 : std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
    }
    /** From half of @p duration to one and a half, so that many do not come back together. */
    Duration spread(Duration duration)
    {
        return duration / 2 + Duration(below(static_cast<std::uint64_t>(duration.count()) + 1));
    }

private:
    DispatchEffects &m_effects;
};

/** Where a generation stands. Plain requests stay Calling. */
enum class Stage {
    AwaitingQuota, ///< For the answer of the node that keeps the quotas.
    Calling,
    Waiting, ///< For a decode engine with room.
    Reserving,
    Prefilling,
    Decoding,
};

/** A caller's request from its arrival to its one end. */
struct OpenRequest
{
    ArrivedRequest facts;
    std::shared_ptr<const RouteTable> table;    ///< In force when it arrived; kept for it.
    const Route *route = nullptr;               ///< In table.
    const Service *service = nullptr;           ///< In table.
    const Organisation *organisation = nullptr; ///< In table; null: nobody's.
    TimePoint arrived {};
    TimePoint answerBy {}; ///< Its route's timeout or the caller's patience, what ends first.

    Stage stage = Stage::Calling;
    CallNumber call; ///< The one it waits for; none while it waits for room.
    CallKind callKind = CallKind::Plain;
    ServerName server; ///< Of the call.
    TimePoint callStarted {};
    std::set<ServerName> tried;
    std::uint32_t runs = 0;         ///< Calls that a server may have begun to run.
    std::uint32_t arrivals = 0;     ///< Calls that count as sent to the service.
    std::uint32_t crashesKnown = 0; ///< Of its content, in a row, when its call was started.
    bool isForwarding = false;
    CallNumber streaming; ///< The call whose events are being forwarded.
    TimePoint firstAnswer {};
    std::uint32_t eventsPassed = 0;
    bool isComingBack = false; ///< Its caller was turned away before, here or elsewhere.

    double quotaUnits = 0; ///< That the keeper has counted against its organisation.

    // Of generations.
    scheduling::ClaimId claim;   ///< At the scheduler; none while this node chooses by itself.
    bool isPlannedWhole = false; ///< The scheduler has the decode engine read the prompt.
    ServerName plannedPrefill;   ///< Chosen by the scheduler; empty: this node chooses.
    ServerName decodeServer;
    scheduling::MemoryNeed memory;
    std::uint64_t tokens = 0; ///< The most of it; charged to decodeServer while it is set.
    std::string reservation;
    TimePoint reservedUntil {};
    ServerName prefillServer;
    std::uint32_t prefillTries = 0;
    std::string handle;
    bool readsWhole = false; ///< The decode engine is to read the prompt itself.
    TimePoint waitingSince {};
    TimePoint roomAt {}; ///< When a decode engine promised room, the last time.
    TimePoint prefilledAt {};
    std::uint32_t refusals = 0; ///< Engines that had no room in this round of asking.

    scheduling::Urgency urgency() const;
    /** Its organisation's, before its route's. */
    std::uint32_t priority() const;
    bool isGeneration() const { return route->isStream && service && service->engine; }
    bool mayHaveRun() const { return runs > 0; }
};

/** The open requests, and the ways in which one ends. Every request ends exactly once. */
class OpenRequests
{
public:
    OpenRequest &add(OpenRequest request);
    /** Null once it has ended. */
    OpenRequest *find(RequestNumber number);
    std::map<RequestNumber, OpenRequest> &all() { return m_requests; }
    std::size_t size() const { return m_requests.size(); }

    /** The server's whole answer goes to the caller. */
    void deliver(Step &step, OpenRequest &request, CallNumber call, int status);
    /** The stream that is being forwarded ended in good order. */
    void endStream(Step &step, OpenRequest &request);
    /** The stream that is being forwarded cannot go on. */
    void breakStream(Step &step, OpenRequest &request, const std::string &why);
    /** It has not run and will not; @p retryAfter tells when coming back may help. */
    void reject(Step &step, OpenRequest &request, Duration retryAfter, const std::string &why);
    struct Refusal
    {
        int status = 0;
        RequestOutcome outcome = RequestOutcome::Rejected;
        std::optional<Duration> retryAfter; ///< Nothing where coming back is of no use.
        std::string why;
    };
    /** It has not run and will not. */
    void refuse(Step &step, OpenRequest &request, const Refusal &refusal);
    /** It may have run: 502, or 504 where time has run out. */
    void failInDoubt(Step &step, OpenRequest &request, int status, const std::string &why);
    /** The caller left; nothing is answered. */
    void dropLeft(Step &step, OpenRequest &request);

    /** What requests that ended without a server's work had taken of quotas; once. */
    struct UnusedQuota
    {
        OrganisationName organisation;
        double units = 0;
    };
    std::vector<UnusedQuota> takeUnusedQuota() { return std::exchange(m_unusedQuota, {}); }

private:
    void record(Step &step, const OpenRequest &request, RequestOutcome outcome,
                const std::string &detail);
    void erase(Step &step, const OpenRequest &request, RequestOutcome outcome);

    std::map<RequestNumber, OpenRequest> m_requests;
    std::vector<UnusedQuota> m_unusedQuota;
};

/** Whether the server gets the caller's bytes with it. */
bool carriesRequest(CallKind kind);

const char *nameOf(Stage stage);
const char *nameOf(RequestOutcome outcome);
const char *nameOf(CallKind kind);
const char *nameOf(CallEnd end);

/** Why a request is refused that CrashRecords keep from servers; for logs and callers. */
constexpr char CrashesServers[] = "servers crash under it";

/** Whole milliseconds of @p duration, for logs. */
std::string millisecondsText(Duration duration);

} // namespace indigoway::dispatch
