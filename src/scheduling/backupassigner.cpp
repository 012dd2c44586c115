#include "backupassigner.h"

#include "scheduling/claimqueue.h"

#include <algorithm>
#include <functional>

namespace indigoway::scheduling {

BackupAssigner::BackupAssigner(const ServerDirectory &servers, const ServiceEstimators &estimators,
                               EngineSelector &engines, double waitingTokens)
    : m_servers(servers)
    , m_engines(engines)
    , m_selector({engines.memory(), engines.memory() - engines.freeMemoryFor({}) + waitingTokens},
                 estimators.generations.meanOutputTokens())
{ }

std::size_t BackupAssigner::assign(const std::vector<NewGrant> &grants, GrantedClaims &granted,
                                   EngineTracker &tracker, TimePoint now)
{
    std::vector<const NewGrant *> longestFirst;
    for (const NewGrant &grant : grants) {
        if (grant.claim.wantsBackup) {
            longestFirst.push_back(&grant);
        }
    }
    std::ranges::stable_sort(longestFirst, std::ranges::greater(), [](const NewGrant *grant) {
        return grant->claim.memory.outputTokens;
    });
    std::size_t backups = 0;
    for (const NewGrant *grant : longestFirst) {
        GrantedClaim *claim = granted.find(grant->key);
        backups += claim && assignTo(grant->claim, *claim, granted, tracker, now) ? 1 : 0;
    }
    return backups;
}

bool BackupAssigner::assignTo(const Claim &claim, GrantedClaim &granted, GrantedClaims &allGranted,
                              EngineTracker &tracker, TimePoint now)
{
    const AnnouncedServer *decode = m_servers.find(granted.decodeServer);
    const BackupSelector::Run run {granted.decodeServer, decode ? decode->domain : claim.domain,
                                   meanTokens(claim.memory),
                                   static_cast<double>(claim.memory.outputTokens)};
    if (!m_selector.hasMemoryFor(run)) {
        return false;
    }
    if (!decode) {
        return false;
    }
    const auto engines = m_engines.backupEngines(claim, *decode);
    const BackupSelector::Engine *backup = m_selector.choose(run, engines);
    if (!backup) {
        return false;
    }
    allGranted.addBackup(granted, backup->name, tracker, now);
    m_engines.addCopy(backup->name, claim.memory);
    m_selector.addCopy(run);
    return true;
}

} // namespace indigoway::scheduling
