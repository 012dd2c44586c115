#pragma once

#include <indigoway/ids.h>
#include <indigoway/organisation.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

using RouteName = Name<struct RouteTag>;
/** A set of interchangeable backend servers. */
using ServiceName = Name<struct ServiceTag>;

/** Whether a request can be retried after an attempt with an unknown outcome. */
enum class Repetition {
    Idempotent,
    AtMostOnce,
};

/** One of the services that a route spreads its requests over. */
struct ServiceShare
{
    ServiceName service;
    std::uint32_t weight = 1; ///< Relative to the other shares; 0 gets no requests.
    bool operator==(const ServiceShare &) const = default;
};

/** Services and service levels for requests with a given host and path prefix. */
struct Route
{
    RouteName name;
    std::string host;   ///< In lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<ServiceShare> shares;
    Repetition repetition = Repetition::AtMostOnce;
    bool isStream = false;         ///< The answer is a series of events.
    bool isResumable = false;      ///< Streams can continue on another server after an event id.
    bool isOpen = false;           ///< Callers need no API key.
    std::uint32_t maxAttempts = 1; ///< Most servers that may run one request.
    std::uint32_t priority = 0;    ///< 0 is the most urgent.
    Duration timeout {};           ///< Limit for the complete answer.
    Duration target {};            ///< Target latency of the answer, or of a stream's first event.
    bool operator==(const Route &) const = default;
};

/** Capacity and timing of a service's model engines. */
struct EngineTraits
{
    std::uint32_t slots = 0;        ///< Concurrent requests.
    std::uint64_t memoryTokens = 0; ///< KV cache size of one engine in tokens.
    Duration handleKept {};         ///< How long a prefill result is kept for its decode.
    Duration longestReservation {}; ///< Longest time for which capacity can be reserved.
    Duration phaseChange {};        ///< How long an engine is unavailable during a phase change.
    std::uint32_t tokensPerEvent = 1;
    bool keepsBackups = false; ///< Engines copy runs to each other while they execute them.
    bool movesRuns = false;    ///< Engines stop a run and move its KV cache to another engine.
    bool operator==(const EngineTraits &) const = default;
};

struct Service
{
    ServiceName name;
    std::uint32_t maxConnections = 0;   ///< To one server, over all nodes.
    std::optional<EngineTraits> engine; ///< Set only for model engines.
    bool operator==(const Service &) const = default;
};

/** Size and time limits for callers' requests. */
struct CallerLimits
{
    std::size_t headerBytes = std::size_t {16} * 1024;
    std::size_t bodyBytes = std::size_t {4} * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    bool operator==(const CallerLimits &) const = default;
};

/** The complete routing configuration at one version. */
struct RoutingState
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, Service> services;
    CallerLimits limits;
    std::vector<Organisation> organisations;
    bool wantsKeys = false; ///< Callers need an API key, except on open routes.
};

} // namespace indigoway
