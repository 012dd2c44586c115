#pragma once

#include <indigoway/announcedserver.h>
#include <indigoway/routing.h>

#include <string>
#include <variant>

namespace indigoway {

/** Why an item of the store could not be read. */
struct DecodeFault
{
    std::string what;
};

/** Where the items lie that this system shares with its operators and servers. */
struct StoreLayout
{
    std::string routingKey;    ///< The desired state of routing, whole, in one item.
    std::string serversPrefix; ///< One item per backend server.
    std::string nodesPrefix;   ///< One item per node of this system; its own to write.
    std::string leaderKey;     ///< Names the node that may give orders to engines.
    std::string recordKey;     ///< Exists since a node was first about to.
    std::string crashesPrefix; ///< What was at servers that crashed; see CrashNote.
};

/** How operators and backend servers spell what they keep in the store. Only spelling. */
class StateCodec
{
public:
    StateCodec() = default;
    StateCodec(const StateCodec &) = delete;
    StateCodec &operator=(const StateCodec &) = delete;
    virtual ~StateCodec() = default;

    virtual std::variant<RoutingState, DecodeFault>
    decodeRouting(const std::string &text) const = 0;
    virtual std::variant<AnnouncedServer, DecodeFault>
    decodeServer(const std::string &name, const std::string &text) const = 0;
};

} // namespace indigoway
