#include "backupselector.h"

#include <algorithm>

namespace indigoway::scheduling {

namespace {

/**
 * Share of memory up to which runs and copies may be expected to use it for another copy to be
 * made. The rest is for runs that arrive before the present copies end; with a larger share claims
 * wait when demand rises within seconds.
 */
constexpr double MaxUsedShare = 0.65;

} // namespace

bool BackupSelector::hasMemoryFor(const Run &run) const
{
    const double relativeOutput =
        m_meanOutputTokens > 0 ? std::min(run.outputTokens / m_meanOutputTokens, 1.0) : 1;
    return m_memory.usedTokens + run.tokens <= m_memory.totalTokens * MaxUsedShare * relativeOutput;
}

const BackupSelector::Engine *BackupSelector::choose(const Run &run,
                                                     const std::vector<Engine> &engines) const
{
    const Engine *best = nullptr;
    const auto isBetter = [&run](const Engine &engine, const Engine &other) {
        const bool isLocal = engine.domain == run.domain;
        if (isLocal != (other.domain == run.domain)) {
            return isLocal;
        }
        return engine.memoryTokens - engine.peakTokens > other.memoryTokens - other.peakTokens;
    };
    for (const Engine &engine : engines) {
        const bool isUsable = engine.name != run.server && !engine.isSuspect
            && engine.peakTokens <= engine.memoryTokens * MaxUsedShare;
        if (isUsable && (!best || isBetter(engine, *best))) {
            best = &engine;
        }
    }
    return best;
}

} // namespace indigoway::scheduling
