#pragma once

#include "scheduling/backupselector.h"
#include "scheduling/claimkey.h"
#include "scheduling/engineselector.h"
#include "scheduling/grantedclaims.h"
#include "scheduling/serviceestimators.h"

#include <vector>

namespace indigoway::scheduling {

/** A claim that was granted in the present pass. */
struct NewGrant
{
    ClaimKey key;
    Claim claim;
};

/** Names backups for the new grants on one service, longest output first. */
class BackupAssigner
{
public:
    /**
     * @param engines The engines of the pass, which include the new runs.
     * @param waitingTokens Memory that the waiting claims on the service need.
     */
    BackupAssigner(const ServerDirectory &servers, const ServiceEstimators &estimators,
                   EngineSelector &engines, double waitingTokens);

    /**
     * Adds backups to those of @p grants that want one, while there is memory.
     * @return The number of backups.
     */
    std::size_t assign(const std::vector<NewGrant> &grants, GrantedClaims &granted,
                       EngineTracker &tracker, TimePoint now);

private:
    bool assignTo(const Claim &claim, GrantedClaim &granted, GrantedClaims &allGranted,
                  EngineTracker &tracker, TimePoint now);

    const ServerDirectory &m_servers;
    EngineSelector &m_engines;
    BackupSelector m_selector;
};

} // namespace indigoway::scheduling
