#include "answerreading.h"

#include <utility>

namespace indigoway {

namespace {

/** Less than any receive window: a server is not kept from writing as long as its bytes fit. */
constexpr std::size_t MinUnreadBytes = std::size_t {4} * 1024;

} // namespace

void AnswerReading::pause(BootTime now)
{
    if (!m_pausedAt) {
        m_pausedAt = now;
    }
}

void AnswerReading::resume(BootTime now)
{
    if (const auto since = std::exchange(m_pausedAt, std::nullopt)) {
        m_pauses.recordPause(*since, now);
    }
}

void AnswerReading::received(const UnreadTimes &process, std::size_t bytes, BootTime now)
{
    const auto since = process.unreadSince(now);
    if (since != m_unreadSince) {
        m_unreadSince = since;
        m_bytesSince = 0;
    }
    m_bytesSince += bytes;
}

bool AnswerReading::mayBeCutOff(const UnreadTimes &process, BootTime now)
{
    received(process, 0, now);
    const bool wasBlocked = m_bytesSince >= MinUnreadBytes;
    return m_pauses.mayHaveCutOff(m_begun, now)
        || (wasBlocked && process.mayHaveCutOff(m_begun, now));
}

} // namespace indigoway
