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
/** A set of backend servers that serve the same thing. */
using ServiceName = Name<struct ServiceTag>;

/** Whether a backend server may run a request again after an attempt whose end is not known. */
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

/** Where requests for a host and a path prefix go, and what was promised for them. */
struct Route
{
    RouteName name;
    std::string host;   ///< In lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<ServiceShare> shares;
    Repetition repetition = Repetition::AtMostOnce;
    bool isStream = false;         ///< The answer is a series of events.
    bool isResumable = false;      ///< A stream may go on at another server after an event id.
    bool isOpen = false;           ///< Callers need no key, also where organisations have some.
    std::uint32_t maxAttempts = 1; ///< Servers that may run one request.
    std::uint32_t priority = 0;    ///< 0 is the most urgent.
    Duration timeout {};           ///< Longest time to the final answer.
    Duration target {};            ///< Time to the (first piece of the) answer that is aimed at.
    bool operator==(const Route &) const = default;
};

/** What a service's model engines can hold. */
struct EngineTraits
{
    std::uint32_t slots = 0;        ///< Requests that run at once.
    std::uint64_t memoryTokens = 0; ///< KV cache of one engine.
    Duration handleKept {};         ///< How long a prefill's result waits for its decode.
    Duration longestReservation {}; ///< Longest time that capacity can be reserved for.
    Duration phaseChange {};        ///< How long an engine is away when its phase changes.
    std::uint32_t tokensPerEvent = 1;
    bool operator==(const EngineTraits &) const = default;
};

struct Service
{
    ServiceName name;
    std::uint32_t maxConnections = 0;   ///< To one server, from all nodes together.
    std::optional<EngineTraits> engine; ///< Only for services of model engines.
    bool operator==(const Service &) const = default;
};

/** Bounds on what a caller may send, and on how slowly. */
struct CallerLimits
{
    std::size_t headerBytes = std::size_t {16} * 1024;
    std::size_t bodyBytes = std::size_t {4} * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    bool operator==(const CallerLimits &) const = default;
};

/** The whole desired state of routing at one version. */
struct RoutingState
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, Service> services;
    CallerLimits limits;
    std::vector<Organisation> organisations;
    bool wantsKeys = false; ///< Callers have to show a key, except on open routes.
};

} // namespace indigoway
