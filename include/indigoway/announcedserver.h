#pragma once

#include <indigoway/ids.h>
#include <indigoway/routing.h>

#include <cstdint>
#include <string>

namespace indigoway {

/** Which part of a generation a model engine does; None for plain services. */
enum class EnginePhase {
    None,
    Prefill,
    Decode,
};

/** A backend server as it announced itself. Each start of a server has a name of its own. */
struct AnnouncedServer
{
    ServerName name;
    ServiceName service;
    std::string address; ///< "IP:port"; another server may have had it before.
    DomainName domain;
    std::uint32_t slots = 1;
    bool isDraining = false; ///< It is leaving: no new work.
    EnginePhase phase = EnginePhase::None;
    bool operator==(const AnnouncedServer &) const = default;
};

} // namespace indigoway
