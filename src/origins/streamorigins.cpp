#include "streamorigins.h"

#include <algorithm>
#include <chrono>

namespace indigoway::origins {

namespace {

/** Copies of an origin at other nodes: one for each of this many failure domains. */
constexpr std::size_t MinCopies = 3;
/** Made while there are few streams, so that more than half of the nodes may die. */
constexpr std::size_t MaxCopies = 6;
/** Notices a second up to which more than the least number of copies are made. */
constexpr double NoticesPerSecond = 60;
constexpr double MaxAllowance = 18;
/** Round trip time with a margin for a busy node. */
constexpr Duration FirstRepetition = std::chrono::milliseconds(60);
constexpr Duration MaxRepetition = std::chrono::milliseconds(1000);
/** Nodes asked at first; they include the holders, unless the members have just changed. */
constexpr std::size_t FirstAsked = 3;
constexpr std::size_t MaxAsked = 8;
/** Bounds the messages for callers that do not name what they resume. */
constexpr std::size_t MaxAskedForContent = 128;
constexpr Duration QueryInterval = std::chrono::milliseconds(40);
/** Time for answers of busy nodes and for one lost datagram; callers must not wait for longer. */
constexpr std::uint32_t MaxRounds = 6;

bool contains(const std::vector<Holder> &holders, const Holder &holder)
{
    return std::ranges::find(holders, holder) != holders.end();
}

} // namespace

void StreamOrigins::setNodes(TimePoint now, const std::vector<Holder> &nodes,
                             const std::optional<Holder> &self)
{
    m_holders.setNodes(nodes);
    m_hasNodes = true;
    std::vector<Holder> all = nodes;
    if (self) {
        all.push_back(*self);
        m_self = self->node;
    }
    m_recorders = recordersAmong(std::move(all));
    for (auto &[stream, notice] : m_notices) {
        notice.unconfirmed.clear();
        for (const Holder &holder : m_holders.holdersOf(stream, notice.copies)) {
            if (!contains(notice.confirmed, holder)) {
                notice.unconfirmed.push_back(holder);
            }
        }
        if (notice.recorder && !contains(notice.confirmed, *notice.recorder)) {
            notice.recorder.reset(); // It is asked again, or another one is.
        }
        requestRecord(stream, notice);
        if (!notice.unconfirmed.empty()) {
            notice.interval = FirstRepetition;
            m_repetitions.set(stream, now);
        }
    }
}

void StreamOrigins::setStoredServices(TimePoint now, std::set<ServiceName> services)
{
    if (services == m_storedServices) {
        return;
    }
    m_storedServices = std::move(services);
    for (auto &[stream, notice] : m_notices) {
        requestRecord(stream, notice);
        if (!notice.unconfirmed.empty()) {
            notice.interval = FirstRepetition;
            m_repetitions.set(stream, now);
        }
    }
}

void StreamOrigins::requestRecord(const StreamId &stream, Notice &notice)
{
    if (!m_storedServices.contains(notice.origin.service)) {
        return;
    }
    if (m_recorders.empty()) {
        m_storeRecords.push_back({stream, notice.origin});
        return;
    }
    const Holder &recorder = recorderOf(stream, m_recorders);
    if (notice.recorder == recorder) {
        return;
    }
    notice.recorder = recorder;
    if (recorder.node == m_self) {
        notice.confirmed.push_back(recorder);
        m_storeRecords.push_back({stream, notice.origin});
        return;
    }
    // It may have confirmed the notice as a holder, without the request to record it.
    std::erase(notice.confirmed, recorder);
    if (!contains(notice.unconfirmed, recorder)) {
        notice.unconfirmed.push_back(recorder);
    }
}

void StreamOrigins::begin(TimePoint now, const OriginNotice &stream, Messages &messages)
{
    keep(now, stream);
    Notice notice;
    notice.origin = stream.origin;
    notice.content = stream.content;
    notice.isCorrection = stream.isCorrection;
    notice.until = now + stream.keepFor;
    notice.copies = copiesFor(now);
    notice.unconfirmed = m_holders.holdersOf(stream.stream, notice.copies);
    requestRecord(stream.stream, notice);
    notice.interval = FirstRepetition;
    for (const Holder &holder : notice.unconfirmed) {
        sendNotice(now, stream.stream, notice, holder, messages);
    }
    m_repetitions.set(stream.stream, now + notice.interval);
    m_notices.insert_or_assign(stream.stream, std::move(notice));
}

void StreamOrigins::keep(TimePoint now, const OriginNotice &notice)
{
    if (notice.isCorrection) {
        m_records.correct(notice.stream, notice.origin);
    }
    m_records.add(notice.stream, notice.origin, notice.keepFor, now);
    if (!notice.content.isEmpty()) {
        m_records.add(streamIdOf(notice.content), notice.origin, notice.keepFor, now);
    }
}

std::size_t StreamOrigins::copiesFor(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_allowanceUpdatedAt).count();
    m_noticeAllowance = std::min(MaxAllowance, m_noticeAllowance + elapsed * NoticesPerSecond);
    m_allowanceUpdatedAt = now;
    const auto allowed = static_cast<std::size_t>(std::max(0.0, m_noticeAllowance));
    const std::size_t copies = std::clamp(allowed, MinCopies, MaxCopies);
    m_noticeAllowance = std::max(-MaxAllowance, m_noticeAllowance - static_cast<double>(copies));
    return copies;
}

void StreamOrigins::complete(const StreamId &stream)
{
    m_notices.erase(stream);
    m_repetitions.clear(stream);
}

void StreamOrigins::sendNotice(TimePoint now, const StreamId &stream, const Notice &notice,
                               const Holder &holder, Messages &messages)
{
    ++m_noticesSent;
    const bool isForStore = notice.recorder == holder;
    messages.push_back({holder.node,
                        OriginNotice {stream, notice.origin, notice.until - now, notice.content,
                                      isForStore, notice.isCorrection}});
}

std::optional<OriginResult> StreamOrigins::lookUp(TimePoint now, RequestNumber request,
                                                  const Subject &subject, Messages &messages)
{
    Lookup lookup;
    lookup.subject = subject;
    lookup.since = now;
    lookup.found = m_records.find(subject.stream, now);
    const bool isDecided = lookup.found && !subject.isContent;
    if (isDecided || m_holders.size() == 0) {
        OriginResult result = resultOf(request, lookup, now);
        if (!lookup.found && !m_hasNodes) {
            result.fault = OriginFault::Unreachable;
        }
        return result;
    }
    ask(now, lookup, messages);
    m_lookups.insert_or_assign(request, std::move(lookup));
    return std::nullopt;
}

void StreamOrigins::ask(TimePoint now, Lookup &lookup, Messages &messages)
{
    const std::size_t byStream = lookup.rounds == 0 ? FirstAsked : MaxAsked;
    const std::size_t count = lookup.subject.isContent ? MaxAskedForContent : byStream;
    const StreamId &stream = lookup.subject.stream;
    const std::vector<Holder> holders = m_holders.holdersOf(stream, count);
    for (std::size_t i = lookup.asked; i < holders.size(); ++i) {
        lookup.silent.push_back(holders[i].node);
    }
    lookup.asked = std::max(lookup.asked, holders.size());
    for (const NodeName &node : lookup.silent) {
        ++m_queriesSent;
        messages.push_back({node, OriginQuery {stream}});
    }
    ++lookup.rounds;
    lookup.nextRound = now + QueryInterval;
}

std::vector<OriginResult> StreamOrigins::handle(TimePoint now, const NodeName &from,
                                                const OriginMessage &message, Messages &messages)
{
    if (const auto *notice = std::get_if<OriginNotice>(&message)) {
        keep(now, *notice);
        if (notice->isForStore) {
            m_storeRecords.push_back({notice->stream, notice->origin});
        }
        messages.push_back({from, OriginKept {notice->stream}});
    } else if (const auto *query = std::get_if<OriginQuery>(&message)) {
        messages.push_back(
            {from, OriginAnswer {query->stream, m_records.find(query->stream, now)}});
    } else if (const auto *kept = std::get_if<OriginKept>(&message)) {
        const auto it = m_notices.find(kept->stream);
        if (it != m_notices.end()) {
            auto &unconfirmed = it->second.unconfirmed;
            const auto holder = std::ranges::find(unconfirmed, from, &Holder::node);
            if (holder != unconfirmed.end()) {
                it->second.confirmed.push_back(*holder);
                unconfirmed.erase(holder);
            }
        }
    } else {
        return handleAnswer(now, from, std::get<OriginAnswer>(message), messages);
    }
    return {};
}

std::vector<OriginResult> StreamOrigins::handleAnswer(TimePoint now, const NodeName &from,
                                                      const OriginAnswer &answer,
                                                      Messages &messages)
{
    std::vector<OriginResult> results;
    for (auto it = m_lookups.begin(); it != m_lookups.end();) {
        auto &[request, lookup] = *it;
        if (lookup.subject.stream != answer.stream || std::erase(lookup.silent, from) == 0) {
            ++it;
            continue;
        }
        if (answer.record) {
            addAnswer(lookup, *answer.record, from);
        } else if (lookup.silent.empty() && lookup.rounds == 1 && !lookup.found) {
            ask(now, lookup, messages); // Perhaps the members have changed since the notice.
        }
        const bool isDecided =
            lookup.silent.empty() || (answer.record && !lookup.subject.isContent);
        if (!isDecided) {
            ++it;
            continue;
        }
        results.push_back(resultOf(request, lookup, now));
        it = m_lookups.erase(it);
    }
    return results;
}

void StreamOrigins::addAnswer(Lookup &lookup, const OriginRecord &record, const NodeName &from)
{
    if (!lookup.found) {
        lookup.found = record;
        lookup.foundAt = from;
        return;
    }
    OriginRecord &found = *lookup.found;
    found.isAmbiguous = found.isAmbiguous || record.isAmbiguous || found.origin != record.origin;
}

OriginResult StreamOrigins::resultOf(RequestNumber request, const Lookup &lookup, TimePoint now)
{
    OriginResult result;
    result.request = request;
    result.lookupTime = now - lookup.since;
    result.asked = lookup.asked;
    result.learntFrom = lookup.foundAt;
    if (lookup.found && !lookup.found->isAmbiguous) {
        result.record = lookup.found;
    } else if (lookup.found) {
        result.fault = OriginFault::Ambiguous;
    } else {
        result.fault = lookup.silent.empty() ? OriginFault::Unknown : OriginFault::Unreachable;
    }
    return result;
}

std::vector<OriginResult> StreamOrigins::tick(TimePoint now, Messages &messages)
{
    m_records.removeExpired(now);
    for (const StreamId &stream : m_repetitions.takeDue(now)) {
        repeat(now, stream, messages);
    }
    std::vector<OriginResult> results;
    for (auto it = m_lookups.begin(); it != m_lookups.end();) {
        auto &[request, lookup] = *it;
        if (now < lookup.nextRound) {
            ++it;
        } else if (!lookup.found && lookup.rounds < MaxRounds) {
            ask(now, lookup, messages);
            ++it;
        } else {
            results.push_back(resultOf(request, lookup, now));
            it = m_lookups.erase(it);
        }
    }
    return results;
}

void StreamOrigins::repeat(TimePoint now, const StreamId &stream, Messages &messages)
{
    const auto it = m_notices.find(stream);
    if (it == m_notices.end()) {
        return;
    }
    Notice &notice = it->second;
    if (now >= notice.until) {
        m_notices.erase(it);
        return;
    }
    for (const Holder &holder : notice.unconfirmed) {
        sendNotice(now, stream, notice, holder, messages);
    }
    if (notice.unconfirmed.empty()) {
        m_repetitions.set(stream, notice.until); // Kept for nodes that start later.
        return;
    }
    notice.interval = std::min(notice.interval * 2, MaxRepetition);
    m_repetitions.set(stream, now + notice.interval);
}

std::optional<TimePoint> StreamOrigins::nextTick() const
{
    std::optional<TimePoint> next = m_repetitions.next();
    for (const auto &[request, lookup] : m_lookups) {
        next = earlier(next, lookup.nextRound);
    }
    return next;
}

const char *nameOf(OriginFault fault)
{
    switch (fault) {
    case OriginFault::Unknown:
        return "unknown";
    case OriginFault::Ambiguous:
        return "ambiguous";
    case OriginFault::Unreachable:
        return "unreachable";
    }
    return "";
}

const char *nameOf(OriginSource source)
{
    switch (source) {
    case OriginSource::Nodes:
        return "nodes";
    case OriginSource::StoreRecord:
        return "store";
    case OriginSource::OnlyVersion:
        return "only_version";
    }
    return "";
}

} // namespace indigoway::origins
