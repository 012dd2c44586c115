#pragma once

#include <algorithm>

namespace indigoway {

/**
 * Limits retries to a fixed share of the arriving requests, so that retries do not multiply the
 * load on a failing pool.
 */
class RetryBudget
{
public:
    void requestArrived() { m_tokens = std::min(m_tokens + TokensPerRequest, MaxTokens); }
    /** Consumes the tokens of one retry; returns false if there are too few. */
    bool tryConsume()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double TokensPerRequest = 0.2;
    static constexpr double MaxTokens = 50;
    double m_tokens = MaxTokens;
};

} // namespace indigoway
