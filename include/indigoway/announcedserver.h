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

/**
 * A backend server as it announced itself. Its name stands for one life: a server that started
 * again holds and knows nothing of before, so that it gets another name here, and whatever was
 * kept under the old one (memory given out, failures, connections, orders) ends with it.
 */
struct AnnouncedServer
{
    ServerName name;
    std::string instance;        ///< What it calls itself, in each of its lives; calls name it.
    std::uint64_t startedAt = 0; ///< Marks its life; 0 if it does not tell.
    ServiceName service;
    std::string address; ///< "IP:port"; another server may have had it before.
    DomainName domain;
    std::uint32_t slots = 1;
    bool isDraining = false; ///< It is leaving: no new work.
    EnginePhase phase = EnginePhase::None;
    bool operator==(const AnnouncedServer &) const = default;
};

} // namespace indigoway
