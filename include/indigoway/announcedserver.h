#pragma once

#include <indigoway/ids.h>
#include <indigoway/routing.h>

#include <cstdint>
#include <string>

namespace indigoway {

/** The phase of text generation that a model engine runs; None for plain services. */
enum class EnginePhase {
    None,
    Prefill,
    Decode,
};

/**
 * A backend server as it announced itself. The name identifies one life of the server: a restart
 * loses all its state, so the restarted server gets a new name, and everything recorded under the
 * old one (allocated memory, failures, connections, orders) is dropped.
 */
struct AnnouncedServer
{
    ServerName name;
    std::string instance;        ///< Its own name, the same after a restart; sent with calls.
    std::uint64_t startedAt = 0; ///< Identifies its life; 0 if not announced.
    ServiceName service;
    std::string version; ///< Of its software; empty if unknown.
    std::string address; ///< "IP:port"; may have belonged to another server before.
    DomainName domain;
    std::uint32_t slots = 1;
    bool isDraining = false; ///< The server is leaving and gets no new requests.
    EnginePhase phase = EnginePhase::None;
    bool operator==(const AnnouncedServer &) const = default;
};

} // namespace indigoway
