#include "quotagate.h"

#include "core/deadlines.h"

#include <algorithm>

namespace indigoway::quotas {

namespace {

constexpr Duration HeartbeatEvery = std::chrono::milliseconds(1000);
/** A way there and back takes some milliseconds, and the keeper has other work, too. */
constexpr Duration RepeatHeartbeat = std::chrono::milliseconds(200);
/** A caller waits for it; plain requests are to be answered within some 150 ms. */
constexpr Duration RepeatQuestion = std::chrono::milliseconds(40);
/** One datagram in twenty may be lost on a bad link; three in a row are no accident. */
constexpr std::uint32_t MostUnanswered = 3;
/** Before a keeper that fell silent is believed to be there again. */
constexpr Duration LeftAlone = std::chrono::milliseconds(1000);
/** Of what the bound allows beyond the quota; the rest is for what the keeper learns too late. */
constexpr double OwnPartOfTolerance = 0.5;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void QuotaGate::setKeeper(std::optional<NodeName> keeper)
{
    if (keeper == m_keeper) {
        return;
    }
    m_keeper = std::move(keeper);
    m_keeperLife = {};
    m_heartbeatAt = {};
    m_unanswered = 0;
    m_silentUntil = {};
}

bool QuotaGate::hearsKeeper(TimePoint now) const
{
    return m_keeper && !m_keeperLife.isNone() && now >= m_silentUntil;
}

QuotaDecision QuotaGate::decide(TimePoint now, QuotaAskId ask, const OrganisationName &organisation,
                                const Quota &quota, double units, Messages &messages)
{
    if (!hearsKeeper(now)) {
        QuotaDecision decision;
        const bool isPassed = decideAlone(now, organisation, quota, units, decision.roomAfter);
        decision.kind = isPassed ? QuotaDecision::Kind::Passed : QuotaDecision::Kind::Refused;
        return decision;
    }
    if (!m_scarce.contains(organisation)) {
        m_used[organisation] += units;
        tellUsed(organisation, messages);
        return {QuotaDecision::Kind::Passed, true, Duration(0)};
    }
    // Whoever has to be asked has nothing left to give out if the keeper falls silent now.
    m_own.insert_or_assign(organisation, QuotaBucket(0, now));
    m_questions[ask] = {organisation, quota, units, now, 1, false};
    messages.emplace_back(QuotaAsked {ask, organisation, units});
    return {QuotaDecision::Kind::Asked, true, Duration(0)};
}

void QuotaGate::giveBack(const OrganisationName &organisation, double units, Messages &messages)
{
    if (m_keeperLife.isNone()) {
        return;
    }
    m_used[organisation] -= units;
    tellUsed(organisation, messages);
}

void QuotaGate::dropQuestion(QuotaAskId ask)
{
    const auto it = m_questions.find(ask);
    if (it != m_questions.end()) {
        it->second.isDropped = true;
    }
}

std::optional<QuotaVerdict> QuotaGate::answered(TimePoint now, const FromKeeper &message,
                                                Incarnation life, Messages &messages)
{
    if (life != m_keeperLife) {
        // Its sums begin with what is used from now on; its buckets begin empty for that.
        m_keeperLife = life;
        m_used.clear();
    }
    m_unanswered = 0;
    m_heardAt = now;
    if (const auto *standing = std::get_if<StandingTold>(&message)) {
        m_scarce = {standing->scarce.begin(), standing->scarce.end()};
        m_heartbeatAt = std::max(m_heartbeatAt, now + HeartbeatEvery);
        return std::nullopt;
    }
    const auto &answer = std::get<QuotaAnswered>(message);
    const auto it = m_questions.find(answer.ask);
    if (it == m_questions.end()) {
        return std::nullopt;
    }
    const Question question = it->second;
    m_questions.erase(it);
    if (question.isDropped) {
        if (answer.isGranted) {
            giveBack(question.organisation, question.units, messages);
        }
        return std::nullopt;
    }
    return QuotaVerdict {answer.ask, answer.isGranted, true, answer.roomAfter};
}

std::vector<QuotaVerdict> QuotaGate::tick(TimePoint now, Messages &messages)
{
    if (!m_isWanted || !m_keeper) {
        return decideAllAlone(now);
    }
    if (now >= m_heartbeatAt) {
        sendHeartbeat(now, messages);
    }
    bool isSilent = m_unanswered > MostUnanswered;
    for (auto &[ask, question] : m_questions) {
        if (now < question.sentAt + RepeatQuestion) {
            continue;
        }
        if (question.sent >= MostUnanswered) {
            isSilent = true;
            continue;
        }
        ++question.sent;
        question.sentAt = now;
        messages.emplace_back(QuotaAsked {ask, question.organisation, question.units});
    }
    if (!isSilent) {
        return {};
    }
    m_silentUntil = now + LeftAlone;
    return decideAllAlone(now);
}

std::optional<TimePoint> QuotaGate::nextTick() const
{
    if (!m_isWanted || !m_keeper) {
        return std::nullopt;
    }
    std::optional<TimePoint> next = m_heartbeatAt;
    for (const auto &[ask, question] : m_questions) {
        next = earlier(next, question.sentAt + RepeatQuestion);
    }
    return next;
}

bool QuotaGate::decideAlone(TimePoint now, const OrganisationName &organisation, const Quota &quota,
                            double units, Duration &roomAfter)
{
    QuotaBucket &bucket = ownBucket(now, organisation, quota);
    const BucketSize size = ownShare(quota);
    if (bucket.take(size, units)) {
        return true;
    }
    roomAfter = bucket.untilRoom(size, units);
    return false;
}

BucketSize QuotaGate::ownShare(const Quota &quota) const
{
    if (m_nodes == 0) {
        return {};
    }
    const double inWindow = quota.perSecond * secondsOf(m_bounds.window) + quota.burst;
    const double tolerance = m_bounds.over * inWindow + m_bounds.slack;
    return {quota.perSecond / m_nodes, (quota.burst + OwnPartOfTolerance * tolerance) / m_nodes};
}

QuotaBucket &QuotaGate::ownBucket(TimePoint now, const OrganisationName &organisation,
                                  const Quota &quota)
{
    // A node that has never heard a keeper may be one of many that have just been started again,
    // each after it had used its share.
    const bool hadPlenty = m_heardAt != TimePoint {} && !m_scarce.contains(organisation);
    const BucketSize size = ownShare(quota);
    const auto it =
        m_own.try_emplace(organisation, QuotaBucket(hadPlenty ? size.burst : 0, now)).first;
    it->second.fill(size, now);
    return it->second;
}

void QuotaGate::tellUsed(const OrganisationName &organisation, Messages &messages)
{
    messages.emplace_back(
        UsageTold {m_keeperLife, ++m_sequence, false, {{organisation, m_used[organisation]}}});
}

void QuotaGate::sendHeartbeat(TimePoint now, Messages &messages)
{
    UsageTold heartbeat {m_keeperLife, ++m_sequence, true, {}};
    constexpr std::size_t MostSums = 40; // Of one datagram.
    for (const auto &[organisation, units] : m_used) {
        if (heartbeat.used.size() < MostSums) {
            heartbeat.used.push_back({organisation, units});
        }
    }
    messages.emplace_back(std::move(heartbeat));
    ++m_unanswered;
    m_heartbeatAt = now + (m_unanswered > MostUnanswered ? HeartbeatEvery : RepeatHeartbeat);
}

std::vector<QuotaVerdict> QuotaGate::decideAllAlone(TimePoint now)
{
    std::vector<QuotaVerdict> verdicts;
    for (const auto &[ask, question] : m_questions) {
        if (question.isDropped) {
            continue;
        }
        QuotaVerdict verdict {ask, false, false, Duration(0)};
        verdict.isGranted = decideAlone(now, question.organisation, question.quota, question.units,
                                        verdict.roomAfter);
        verdicts.push_back(verdict);
    }
    m_questions.clear();
    return verdicts;
}

} // namespace indigoway::quotas
