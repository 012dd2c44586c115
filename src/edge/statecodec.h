#pragma once

#include <indigoway/announcedserver.h>
#include <indigoway/routing.h>

#include <string>
#include <variant>

namespace indigoway {

/** The reason why an item of the store could not be decoded. */
struct DecodeFault
{
    std::string reason;
};

/** Keys of the items in the store that nodes, operators and backend servers share. */
struct StoreLayout
{
    std::string routingKey;      ///< The desired state of routing, in one item.
    std::string serversPrefix;   ///< One item per backend server, written by it.
    std::string nodesPrefix;     ///< One item per node, written by it.
    std::string ordersLeaderKey; ///< Holder of the right to give orders to engines.
    std::string ordersRecordKey; ///< Written before the first order of all is given.
    std::string crashesPrefix;   ///< Contents that were at crashed servers; see CrashNote.
    std::string originsPrefix;   ///< Of both kinds of items about the origins of streams.
    std::string versionsPrefix;  ///< Versions at which streams may have begun; see VersionNote.
    std::string batchesPrefix; ///< Origins of streams; see OriginBatches. Nodes copy no such item.
};

/** Decodes the items that operators and backend servers write to the store. */
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
