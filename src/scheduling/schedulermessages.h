#pragma once

#include "scheduling/generationwork.h"

#include <indigoway/announcedserver.h>
#include <indigoway/ids.h>
#include <indigoway/routing.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/** @file What nodes and the scheduler of their engines tell each other, each in one datagram. */
namespace indigoway::scheduling {

/** A claim of one node; its next life starts anew. */
using ClaimId = Number<struct SchedulerClaimTag>;

/** Who goes first where engines are short. */
enum class Urgency {
    GoesOn,     ///< A stream that broke off in the middle: its caller is already being answered.
    Fresh,      ///< Can meet its target.
    ComingBack, ///< Was turned away before: late already, and served with the room others leave.
};

/** Asks for a decode engine with room and for a prefill engine. Sent again, it is the same. */
struct Claim
{
    ClaimId claim;
    ServiceName service;
    DomainName domain;              ///< Where the caller is served.
    std::uint32_t promptTokens = 0; ///< To be prefilled; 0: only a decode engine is wanted.
    MemoryNeed memory;              ///< On the decode engine.
    Urgency urgency = Urgency::Fresh;
    std::uint32_t priority = 0;      ///< Among claims that are as urgent; 0 goes first.
    Duration waitsAtMost {};         ///< It is refused rather than wait longer.
    Duration untilTarget {};         ///< Left for the first event; negative if it is late already.
    Duration lasts {};               ///< The request has ended by then, whatever happens.
    std::vector<ServerName> without; ///< Engines that have failed this request.
    bool operator==(const Claim &) const = default;
};

/** A node's request holds room that another scheduler, or the node itself, found. */
struct RoomHeld
{
    ClaimId claim;
    ServiceName service;
    MemoryNeed memory;
    ServerName decodeServer;
    Duration lasts {};
    std::optional<Duration> decodingFor; ///< Since its first token; nothing if it has made none.
    bool operator==(const RoomHeld &) const = default;
};

struct PrefillEnded
{
    ClaimId claim;
    bool isDone = false;     ///< False: the engine failed.
    bool isReachable = true; ///< False: it did not even take the connection.
    bool operator==(const PrefillEnded &) const = default;
};

enum class ClaimEnd {
    Served,       ///< The decode engine did its part.
    Dropped,      ///< Nobody waits for it any more.
    HadNoRoom,    ///< The decode engine refused, whatever the scheduler thought.
    EngineFailed, ///< The decode engine broke off.
    Unreachable,  ///< The decode engine did not take the connection.
    HandleLost,   ///< The prefill engine's KV cache could not be had any more.
};

struct ClaimEnded
{
    ClaimId claim;
    ClaimEnd end = ClaimEnd::Served;
    std::uint64_t madeTokens = 0; ///< Of what was served; 0 if it is not known.
    bool operator==(const ClaimEnded &) const = default;
};

/** The sender orders an engine to change its phase: it turns work away until it is back. */
struct EngineChanging
{
    ServerName server;
    EnginePhase to = EnginePhase::None;
    Duration lasts {};       ///< From now, at the most; 0: it stays in its phase after all.
    bool isAccepted = false; ///< The engine has said that it carries the order out.
    bool operator==(const EngineChanging &) const = default;
};

/** The sender gives orders to engines and goes by what their work is. */
struct WorkAsked
{
    ServiceName service;
    bool operator==(const WorkAsked &) const = default;
};

using ToScheduler =
    std::variant<Claim, RoomHeld, PrefillEnded, ClaimEnded, EngineChanging, WorkAsked>;

/** The claim is known and waits. */
struct ClaimQueued
{
    ClaimId claim;
    bool operator==(const ClaimQueued &) const = default;
};

struct ClaimGranted
{
    ClaimId claim;
    ServerName decodeServer;
    ServerName prefillServer;           ///< Empty: the decode engine is to read the prompt.
    std::optional<GenerationWork> work; ///< Of the service, as the scheduler has learnt it.
    bool readsWhole = false; ///< The decode engine reads the prompt, though others could later.
    bool operator==(const ClaimGranted &) const = default;
};

/** No room will come free in time. */
struct ClaimRefused
{
    ClaimId claim;
    std::uint32_t ahead = 0; ///< Claims that waited before it.
    Duration expectedWait {};
    bool operator==(const ClaimRefused &) const = default;
};

/** Answers WorkAsked; nothing does until it is known. */
struct WorkTold
{
    ServiceName service;
    GenerationWork work;
    bool operator==(const WorkTold &) const = default;
};

using FromScheduler = std::variant<ClaimQueued, ClaimGranted, ClaimRefused, WorkTold>;

/** What ToScheduler or FromScheduler @p message is about; none if it is not about a claim. */
template <typename Message>
ClaimId claimOf(const Message &message)
{
    return std::visit(
        [](const auto &one) {
            if constexpr (requires { one.claim; }) {
                return one.claim;
            } else {
                return ClaimId();
            }
        },
        message);
}

} // namespace indigoway::scheduling
