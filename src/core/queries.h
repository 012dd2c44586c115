#pragma once

#include "language/statement.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>
#include <indigoway/table.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace indigoway {

class Turn;

/**
 * Operators' queries. Tables of the configuration are answered from this node; tables of what
 * runs are gathered from all nodes, and the answer names those that did not give their part;
 * the record of changes is read from the store.
 */
class Queries
{
public:
    /** Gives this node's own rows of a table. */
    using Source = std::function<Table(const Turn &)>;
    struct Kind
    {
        Source source;
        bool isGathered = false; ///< All nodes have a part.
    };

    void add(const std::string &kind, Kind source);
    void query(Turn &turn, const QueryArrived &event);
    void handleFetch(Turn &turn, PeerRequestNumber number, const FetchRows &fetch) const;
    /** Returns whether the call was one of this subsystem's. */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    bool storeAnswered(Turn &turn, const StoreAnswered &answer);

private:
    struct Gathering
    {
        Query query;
        Table table;
        std::set<NodeName> missing;
    };

    void finish(Turn &turn, CommandNumber command);
    void fail(Turn &turn, CommandNumber command, const std::string &error) const;

    std::map<std::string, Kind> m_kinds;
    std::map<CommandNumber, Gathering> m_gatherings;
    std::map<PeerCallNumber, std::pair<CommandNumber, NodeName>> m_calls;
    std::map<StoreCallNumber, CommandNumber> m_storeCalls;
};

/** Applies conditions and order of @p query; an error names an unknown column. */
std::variant<Table, std::string> filtered(const Query &query, Table table);

} // namespace indigoway
