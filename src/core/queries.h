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
 * Answers operators' queries. Configuration tables come from this node, runtime tables are
 * collected from all nodes, and the change history is read from the store. An answer lists the
 * nodes that did not respond.
 */
class Queries
{
public:
    /** Returns this node's rows of a table. */
    using Source = std::function<Table(const Turn &)>;
    struct Kind
    {
        Source source;
        bool isDistributed = false; ///< The table has rows from every node.
    };

    void add(const std::string &kind, Kind source);
    void query(Turn &turn, const QueryArrived &event);
    void handleFetch(Turn &turn, PeerRequestNumber number, const FetchRows &fetch) const;
    /** Returns whether @p call was made by this subsystem. */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    bool storeAnswered(Turn &turn, const StoreAnswered &answer);

private:
    struct PendingQuery
    {
        Query query;
        Table table;
        std::set<NodeName> unanswered;
    };

    void finish(Turn &turn, CommandNumber command);
    void fail(Turn &turn, CommandNumber command, const std::string &error) const;

    std::map<std::string, Kind> m_kinds;
    std::map<CommandNumber, PendingQuery> m_pendingQueries;
    std::map<PeerCallNumber, std::pair<CommandNumber, NodeName>> m_calls;
    std::map<StoreCallNumber, CommandNumber> m_storeCalls;
};

/** Filters and sorts @p table as @p query asks. Returns an error text for an unknown column. */
std::variant<Table, std::string> filtered(const Query &query, Table table);

} // namespace indigoway
