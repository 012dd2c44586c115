#include "ratelimiter.h"

#include <algorithm>

namespace indigoway::ratelimits {

namespace {

constexpr double MinRate = 0.2; ///< Requests a second.
constexpr double MinBurst = 2;  ///< Requests.
constexpr double BurstSeconds = 0.5;
/** Longest time for which a node that was refused doesn't ask again; the limit may have ended. */
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);
/** Longer than the time for which a node repeats a query. */
constexpr Duration AnswerRetention = std::chrono::seconds(1);
constexpr Duration AccountRetention = std::chrono::seconds(60);
constexpr Duration AccountCheckInterval = std::chrono::seconds(5);

} // namespace

double RateLimiter::burstOf(double perSecond)
{
    return std::max(MinBurst, effectiveRate(perSecond) * BurstSeconds);
}

double RateLimiter::effectiveRate(double perSecond)
{
    return std::max(perSecond, MinRate);
}

std::optional<PermitAnswer> RateLimiter::handle(TimePoint now, const NodeLife &from,
                                                const ToRateLimiter &message)
{
    removeExpired(now);
    if (const auto *ended = std::get_if<LimitEnded>(&message)) {
        endLimit(now, ended->server);
        return std::nullopt;
    }
    if (const auto *started = std::get_if<LimitStarted>(&message)) {
        update(now, started->limit);
        return std::nullopt;
    }
    const auto &query = std::get<PermitQuery>(message);
    const AnswerKey key {from, query.id};
    if (const auto it = m_answers.find(key); it != m_answers.end()) {
        return it->second;
    }
    const PermitAnswer answer = decide(now, query);
    ++(answer.isGranted ? m_granted : m_refused);
    m_answers.emplace(key, answer);
    m_answerOrder.push_back({key, now});
    return answer;
}

RateLimiter::Account &RateLimiter::update(TimePoint now, const KnownLimit &limit)
{
    const auto [it, isNew] =
        m_accounts.try_emplace(limit.server, Account {quotas::QuotaBucket(0, now)});
    Account &account = it->second;
    account.lastQueryAt = now;
    const TimePoint announcedAt = now - limit.announcedAgo;
    if (isNew || announcedAt > account.announcedAt) {
        account.announcedAt = announcedAt;
        account.perSecond = limit.perSecond;
    }
    const bool hasStartedAgain = account.endedAt && account.announcedAt > *account.endedAt;
    if (hasStartedAgain) {
        account.endedAt.reset();
    }
    if (isNew || hasStartedAgain) {
        m_unannounced.push_back(limit.server);
    }
    return account;
}

std::optional<LimitNotice> RateLimiter::takeNotice(TimePoint now)
{
    LimitNotice notice;
    while (!m_unannounced.empty() && notice.limits.size() < MaxNoticeSize) {
        const auto it = m_accounts.find(m_unannounced.front());
        if (it != m_accounts.end() && !it->second.endedAt) {
            notice.limits.push_back(
                {it->first, it->second.perSecond, now - it->second.announcedAt});
        }
        m_unannounced.pop_front();
    }
    return notice.limits.empty() ? std::nullopt : std::optional(std::move(notice));
}

std::vector<LimitNotice> RateLimiter::currentLimits(TimePoint now) const
{
    std::vector<LimitNotice> notices;
    for (const auto &[server, account] : m_accounts) {
        if (account.endedAt) {
            continue;
        }
        if (notices.empty() || notices.back().limits.size() >= MaxNoticeSize) {
            notices.emplace_back();
        }
        notices.back().limits.push_back({server, account.perSecond, now - account.announcedAt});
    }
    return notices;
}

PermitAnswer RateLimiter::decide(TimePoint now, const PermitQuery &query)
{
    Account &account = update(now, query.limit);
    if (account.endedAt) {
        return {query.id, true, Duration(0), true};
    }
    const quotas::RateLimit limit {effectiveRate(account.perSecond), burstOf(account.perSecond)};
    account.bucket.refill(limit, now);
    if (account.bucket.take(limit, 1)) {
        return {query.id, true, Duration(0), false};
    }
    // Refused nodes get successive retry times, so that they do not all ask for the same permit.
    const TimePoint next = now + account.bucket.timeUntilAvailable(limit, 1);
    const TimePoint retryAt = std::min(std::max(account.lastRetryAt, next), now + MaxRetryAfter);
    account.lastRetryAt = retryAt
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / limit.perSecond));
    return {query.id, false, retryAt - now, false};
}

void RateLimiter::endLimit(TimePoint now, const ServerName &server)
{
    Account &account =
        m_accounts.try_emplace(server, Account {quotas::QuotaBucket(0, now)}).first->second;
    account.lastQueryAt = now;
    account.endedAt = now;
    account.bucket = quotas::QuotaBucket(0, now);
}

void RateLimiter::removeExpired(TimePoint now)
{
    while (!m_answerOrder.empty() && now > m_answerOrder.front().at + AnswerRetention) {
        m_answers.erase(m_answerOrder.front().key);
        m_answerOrder.pop_front();
    }
    if (now < m_accountsCheckedAt + AccountCheckInterval) {
        return;
    }
    m_accountsCheckedAt = now;
    std::erase_if(m_accounts, [now](const auto &one) {
        return now > one.second.lastQueryAt + AccountRetention;
    });
}

} // namespace indigoway::ratelimits
