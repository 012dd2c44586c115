#include "handoverlosses.h"

#include <algorithm>
#include <set>

namespace indigoway::scheduling {

namespace {

/**
 * Two engines failing with the same partner by chance are less likely than a fault of the partner.
 */
constexpr std::size_t PartnersThatAccuse = 2;
/** Bounds the unattributed failures that are kept. */
constexpr std::size_t MostRemembered = 100;

} // namespace

void HandoverLosses::lost(const ServerName &prefill, const ServerName &decode, TimePoint now)
{
    forgetOld(now);
    if (isBadTarget(decode, now)) {
        m_badTargets[decode] = now + LeftOutFor;
        return;
    }
    if (isBadSource(prefill, now)) {
        m_badSources[prefill] = now + LeftOutFor;
        return;
    }
    m_losses.push_back({prefill, decode, now});
    const std::size_t sources = partners(&Loss::decode, &Loss::prefill, decode);
    const std::size_t targets = partners(&Loss::prefill, &Loss::decode, prefill);
    if (std::max(sources, targets) < PartnersThatAccuse) {
        return;
    }
    if (sources >= targets) {
        m_badTargets[decode] = now + LeftOutFor;
        std::erase_if(m_losses, [&](const Loss &loss) { return loss.decode == decode; });
    } else {
        m_badSources[prefill] = now + LeftOutFor;
        std::erase_if(m_losses, [&](const Loss &loss) { return loss.prefill == prefill; });
    }
}

bool HandoverLosses::haveLost(const ServerName &prefill, const ServerName &decode,
                              TimePoint now) const
{
    return std::ranges::any_of(m_losses, [&](const Loss &loss) {
        return loss.prefill == prefill && loss.decode == decode && now <= loss.at + LeftOutFor;
    });
}

bool HandoverLosses::isInDoubt(const ServerName &prefill, TimePoint now) const
{
    return std::ranges::any_of(m_losses, [&](const Loss &loss) {
        return loss.prefill == prefill && now <= loss.at + LeftOutFor;
    });
}

bool HandoverLosses::isLeftOut(const LeftOut &engines, const ServerName &engine, TimePoint now)
{
    const auto it = engines.find(engine);
    return it != engines.end() && now < it->second;
}

std::size_t HandoverLosses::partners(ServerName Loss::*side, ServerName Loss::*otherSide,
                                     const ServerName &engine) const
{
    std::set<ServerName> others;
    for (const Loss &loss : m_losses) {
        if (loss.*side == engine) {
            others.insert(loss.*otherSide);
        }
    }
    return others.size();
}

void HandoverLosses::forgetOld(TimePoint now)
{
    while (!m_losses.empty()
           && (now > m_losses.front().at + LeftOutFor || m_losses.size() > MostRemembered)) {
        m_losses.pop_front();
    }
    const auto isOverdue = [now](const auto &one) {
        return now >= one.second;
    };
    std::erase_if(m_badSources, isOverdue);
    std::erase_if(m_badTargets, isOverdue);
}

} // namespace indigoway::scheduling
