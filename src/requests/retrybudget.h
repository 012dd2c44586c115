#pragma once

#include <algorithm>

namespace indigoway {

/**
 * Bounds retries to a share of the arrivals, so that a pool that fails for everybody is not
 * given several times its load on top.
 */
class RetryBudget
{
public:
    void requestArrived() { m_tokens = std::min(m_tokens + PerRequest, Most); }
    /** Takes one retry; false if there is none left. */
    bool take()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double PerRequest = 0.2;
    static constexpr double Most = 50;
    double m_tokens = Most;
};

} // namespace indigoway
