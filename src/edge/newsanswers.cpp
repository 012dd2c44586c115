#include "newsanswers.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Nodes that an asker is referred to. */
constexpr std::size_t MostFollowers = 16;

} // namespace

NewsAnswers::NewsAnswers(const Mirror &mirror, const StalenessBound &proof,
                         double linkBytesPerSecond, Duration heldFor)
    : m_mirror(mirror)
    , m_proof(proof)
    , m_heldFor(heldFor)
    , m_copyTurns(linkBytesPerSecond)
{ }

void NewsAnswers::take(ExchangeNumber exchange, std::uint64_t revision, const std::string &control,
                       TimePoint now, BootTime arrived)
{
    m_questions[exchange] = {revision, now + m_heldFor, arrived, control};
}

void NewsAnswers::passOnHeard(Mirror &mirror)
{
    if (const auto heard = mirror.takeStoreUpdate()) {
        m_news.add(encodeUpdate(*heard));
    } else if (m_news.asOf() < mirror.asOf()) {
        m_news.startAt(mirror.asOf());
    }
}

std::vector<NewsAnswers::Answered> NewsAnswers::due(TimePoint now, BootTime bootNow, bool isCurrent,
                                                    bool mayHear)
{
    std::vector<Answered> answered;
    for (auto it = m_questions.begin(); it != m_questions.end();) {
        const Question &question = it->second;
        const bool hasNews = hasNewsFor(question);
        if (!hasNews && mayHear && now < question.answerBy) {
            ++it;
            continue;
        }
        // A node that does not hear the store says nothing of use.
        answered.push_back(
            {it->first, hasNews || isCurrent ? answerTo(question, now, bootNow) : std::string()});
        it = m_questions.erase(it);
    }
    return answered;
}

bool NewsAnswers::hasNewsFor(const Question &question) const
{
    return m_mirror.isLoaded() && m_mirror.asOf() > question.revision;
}

std::string NewsAnswers::answerTo(const Question &question, TimePoint now, BootTime bootNow)
{
    MirrorAnswer answer;
    answer.held = bootNow - question.arrived;
    if (m_news.needsSnapshot(question.revision) && !m_copyTurns.mayStart(now)) {
        answer.elsewhere = {m_followers.begin(), m_followers.end()};
        return encodeAnswer(answer);
    }
    const auto blocks =
        m_news.since(question.revision, [this] { return encodeUpdate(m_mirror.snapshot()); });
    for (const EncodedUpdate &block : blocks) {
        answer.blocks.push_back(*block.bytes);
        if (block.isSnapshot) {
            m_copyTurns.start(now, block.bytes->size());
        }
    }
    if (blocks.empty() || blocks.back().asOf == m_mirror.asOf()) {
        answer.age = m_proof.age(bootNow);
    }
    if (question.revision > 0 || !blocks.empty()) {
        noteFollower(question.asker);
    }
    return encodeAnswer(answer);
}

void NewsAnswers::noteFollower(const std::string &control)
{
    if (control.empty() || std::ranges::find(m_followers, control) != m_followers.end()) {
        return;
    }
    m_followers.push_back(control);
    if (m_followers.size() > MostFollowers) {
        m_followers.pop_front();
    }
}

} // namespace indigoway
