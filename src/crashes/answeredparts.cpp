#include "answeredparts.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace indigoway::crashes {

void AnsweredParts::record(const PartOfService &part, TimePoint now)
{
    if (m_parts.size() >= MaxParts && !m_parts.contains(part)) {
        shrink(now);
    }
    Entry &entry = m_parts[part];
    entry.lastAnswer = now;
    ++entry.answers;
}

bool AnsweredParts::contains(const PartOfService &part, TimePoint now) const
{
    const auto it = m_parts.find(part);
    return it != m_parts.end() && now <= it->second.lastAnswer + MaxAge;
}

void AnsweredParts::shrink(TimePoint now)
{
    // Callers may make up parts; those are answered once and must not displace shared ones.
    const auto rankOf = [now](const Entry &entry) {
        const bool isFresh = now <= entry.lastAnswer + MaxAge;
        return std::tuple(isFresh, entry.answers > 1, entry.lastAnswer);
    };
    using Ranked = std::pair<decltype(rankOf(Entry())), PartOfService>;
    std::vector<Ranked> ranked;
    ranked.reserve(m_parts.size());
    for (const auto &[part, entry] : m_parts) {
        ranked.emplace_back(rankOf(entry), part);
    }
    const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(MaxParts / 4);
    std::ranges::nth_element(ranked, last);
    std::for_each(ranked.begin(), last, [this](const Ranked &one) { m_parts.erase(one.second); });
}

} // namespace indigoway::crashes
