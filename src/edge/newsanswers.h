#pragma once

#include "edge/mirrorexchange.h"
#include "http/httpserver.h"
#include "store/mirror.h"
#include "store/snapshotthrottle.h"
#include "store/stalenessbound.h"
#include "store/updatelog.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** Answers the nodes that ask this one for news of its copy of the store. */
class NewsAnswers
{
public:
    /** A question that is answered now; without a body, the asker goes elsewhere. */
    struct Answered
    {
        ExchangeNumber exchange;
        std::string body;
    };

    /** @p heldFor: how long a question is held until there is something new. */
    NewsAnswers(const Mirror &mirror, const StalenessBound &proof, double linkBytesPerSecond,
                Duration heldFor);

    /** The node at @p control asks for what came after @p revision. */
    void take(ExchangeNumber exchange, std::uint64_t revision, const std::string &control,
              TimePoint now, BootTime arrived);
    void askerGone(ExchangeNumber exchange) { m_questions.erase(exchange); }
    /** A block that another node has told, as it came. */
    void passOn(EncodedUpdate block) { m_news.add(std::move(block)); }
    /** What the store has told the mirror. */
    void passOnHeard(Mirror &mirror);
    /** @p isCurrent: this node hears the store; @p mayHear: it does, or may in a moment. */
    std::vector<Answered> due(TimePoint now, BootTime bootNow, bool isCurrent, bool mayHear);

private:
    struct Question
    {
        std::uint64_t revision = 0;
        TimePoint answerBy {};
        BootTime arrived {};
        std::string asker; ///< Its control address.
    };

    bool hasNewsFor(const Question &question) const;
    std::string answerTo(const Question &question, TimePoint now, BootTime bootNow);
    /** Nodes that have had a whole copy of this one, or follow it. */
    void noteFollower(const std::string &control);

    const Mirror &m_mirror;
    const StalenessBound &m_proof;
    Duration m_heldFor;
    UpdateLog m_news;
    SnapshotThrottle m_copyTurns;
    std::map<ExchangeNumber, Question> m_questions;
    std::deque<std::string> m_followers; ///< Their control addresses, the latest last.
};

} // namespace indigoway
