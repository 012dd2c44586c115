#pragma once

#include <indigoway/ids.h>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace indigoway {

/** Keeps at most one pending deadline per key. The caller supplies the current time. */
template <typename Key>
class Deadlines
{
public:
    /** Sets the deadline of @p key and replaces any earlier one. */
    void set(const Key &key, TimePoint at)
    {
        clear(key);
        m_times.emplace(key, at);
        m_order.emplace(at, key);
    }

    void clear(const Key &key)
    {
        const auto it = m_times.find(key);
        if (it == m_times.end()) {
            return;
        }
        m_order.erase({it->second, key});
        m_times.erase(it);
    }

    bool contains(const Key &key) const { return m_times.contains(key); }

    std::optional<TimePoint> next() const
    {
        if (m_order.empty()) {
            return std::nullopt;
        }
        return m_order.begin()->first;
    }

    /** Returns the key with the earliest deadline. */
    std::optional<Key> first() const
    {
        return m_order.empty() ? std::nullopt : std::optional(m_order.begin()->second);
    }

    /** Removes and returns the keys that are due at @p now, earliest deadline first. */
    std::vector<Key> takeDue(TimePoint now)
    {
        std::vector<Key> due;
        while (!m_order.empty() && m_order.begin()->first <= now) {
            due.push_back(m_order.begin()->second);
            m_times.erase(due.back());
            m_order.erase(m_order.begin());
        }
        return due;
    }

private:
    std::map<Key, TimePoint> m_times;
    std::set<std::pair<TimePoint, Key>> m_order;
};

/** Returns the earlier of two optional times, or nothing if neither is set. */
inline std::optional<TimePoint> earlier(std::optional<TimePoint> a, std::optional<TimePoint> b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    return std::min(*a, *b);
}

} // namespace indigoway
