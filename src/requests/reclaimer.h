#pragma once

#include <indigoway/events.h>
#include <indigoway/ids.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace indigoway {

class Registry;
class Requests;
class Turn;

/**
 * Cancels orphaned requests on engines. Candidates come from the request lists in the engines'
 * reports. The owner of a request is asked if it may be alive, and the request is cancelled if the
 * owner does not know it. The requests of a dead owner are cancelled after a delay in which a false
 * suspicion would have been refuted, and not while the store lists the owner's lease.
 */
class Reclaimer
{
public:
    void handleReport(Turn &turn, const ReportArrived &report, Requests &requests,
                      const Registry &registry);
    /** Handles the answer to an ownership query. @return whether @p call was made by this class */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome,
                      Requests &requests);

private:
    struct ListedRequest
    {
        TimePoint firstListed {};
        int reports = 0;
    };
    struct OwnershipQuery
    {
        ServerName server;
        std::vector<EngineRequestName> requests;
    };

    bool mayReclaim(Turn &turn, const NodeLife &owner, const Registry &registry,
                    TimePoint firstListed) const;

    std::map<ServerName, std::map<EngineRequestName, ListedRequest>> m_listedRequests;
    std::map<PeerCallNumber, OwnershipQuery> m_queries;
};

} // namespace indigoway
