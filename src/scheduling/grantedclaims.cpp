#include "grantedclaims.h"

#include <utility>

namespace indigoway::scheduling {

GrantedClaim &GrantedClaims::add(const ClaimKey &key, GrantedClaim granted, EngineTracker &tracker,
                                 TimePoint now)
{
    tracker.addRun(granted.decodeServer, granted.run, granted.memory, now);
    const auto [it, isNew] = m_claims.emplace(key, std::move(granted));
    if (!it->second.backupServer.isEmpty()) {
        countCopy(it->second, tracker, now);
    }
    return it->second;
}

GrantedClaim *GrantedClaims::find(const ClaimKey &key)
{
    const auto it = m_claims.find(key);
    return it == m_claims.end() ? nullptr : &it->second;
}

void GrantedClaims::addBackup(GrantedClaim &granted, const ServerName &server,
                              EngineTracker &tracker, TimePoint now)
{
    granted.backupServer = server;
    granted.reply.backupServer = server;
    countCopy(granted, tracker, now);
}

void GrantedClaims::beginDecode(GrantedClaim &granted, EngineTracker &tracker, TimePoint now)
{
    granted.decodeStart = now;
    tracker.beginDecode(granted.decodeServer, granted.run, now);
    if (granted.isCopyCounted) {
        tracker.beginDecode(granted.backupServer, granted.run, now);
    }
}

bool GrantedClaims::moveToBackup(GrantedClaim &granted, EngineTracker &tracker, TimePoint now)
{
    if (granted.backupServer.isEmpty()) {
        return false;
    }
    tracker.removeRun(granted.decodeServer, granted.run);
    if (granted.prefill) {
        tracker.cancelPrefill(*granted.prefill, now);
        granted.prefill.reset();
    }
    // Does nothing if the copy no longer counts, for example because another node could not
    // connect to the engine.
    dropCopy(granted, tracker);
    granted.decodeServer = std::exchange(granted.backupServer, {});
    granted.reply.backupServer = {};
    granted.hasMoved = true;
    tracker.addRun(granted.decodeServer, granted.run, granted.memory, now);
    beginDecode(granted, tracker, granted.decodeStart.value_or(now));
    return true;
}

void GrantedClaims::remove(const ClaimKey &key, EngineTracker &tracker, TimePoint now)
{
    const auto it = m_claims.find(key);
    if (it != m_claims.end()) {
        release(it->second, tracker, now);
        m_claims.erase(it);
    }
}

void GrantedClaims::removeOtherIncarnations(const NodeLife &owner, EngineTracker &tracker,
                                            TimePoint now)
{
    removeIf([&owner](const ClaimKey &key,
                      const GrantedClaim &) { return key.isOfOtherIncarnation(owner); },
             tracker, now);
}

void GrantedClaims::removeExpired(EngineTracker &tracker, TimePoint now)
{
    removeIf(
        [now](const ClaimKey &, const GrantedClaim &granted) { return now > granted.deadline; },
        tracker, now);
}

template <typename Predicate>
void GrantedClaims::removeIf(const Predicate &predicate, EngineTracker &tracker, TimePoint now)
{
    for (auto it = m_claims.begin(); it != m_claims.end();) {
        if (predicate(it->first, it->second)) {
            release(it->second, tracker, now);
            it = m_claims.erase(it);
        } else {
            ++it;
        }
    }
}

void GrantedClaims::removeCopies(const std::function<bool(const ServerName &)> &isLost,
                                 EngineTracker &tracker)
{
    if (m_copies == 0) {
        return;
    }
    for (auto &[key, granted] : m_claims) {
        if (granted.isCopyCounted && isLost(granted.backupServer)) {
            dropCopy(granted, tracker);
            // A repeated grant must not name an engine that has no copy. backupServer is kept: the
            // run may already continue there, and its RunMoved may arrive later.
            granted.reply.backupServer = {};
        }
    }
}

void GrantedClaims::countCopy(GrantedClaim &granted, EngineTracker &tracker, TimePoint now)
{
    granted.isCopyCounted = true;
    ++m_copies;
    m_copyTokens += granted.memory.totalTokens();
    tracker.addRun(granted.backupServer, granted.run, granted.memory, now);
    if (granted.decodeStart) {
        tracker.beginDecode(granted.backupServer, granted.run, *granted.decodeStart);
    }
}

void GrantedClaims::dropCopy(GrantedClaim &granted, EngineTracker &tracker)
{
    if (!granted.isCopyCounted) {
        return;
    }
    granted.isCopyCounted = false;
    --m_copies;
    m_copyTokens -= granted.memory.totalTokens();
    tracker.removeRun(granted.backupServer, granted.run);
}

void GrantedClaims::release(GrantedClaim &granted, EngineTracker &tracker, TimePoint now)
{
    tracker.removeRun(granted.decodeServer, granted.run);
    dropCopy(granted, tracker);
    if (granted.prefill) {
        tracker.cancelPrefill(*granted.prefill, now);
    }
}

} // namespace indigoway::scheduling
