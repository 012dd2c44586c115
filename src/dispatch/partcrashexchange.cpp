#include "partcrashexchange.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

/** Nodes, on average, that write to the store what all of them see. */
constexpr std::uint64_t MaxWriters = 64;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

void PartCrashExchange::writingBegan(Step &step, OpenRequest &request)
{
    request.writingSince = step.now;
    if (!request.arrival.sharedParts.empty()) {
        m_writing.push_back({request.arrival.request, request.call, step.now + MinWritingTime});
    }
}

void PartCrashExchange::answered(Step &step, const OpenRequest &request, const CallEnded &event)
{
    if (isSuccess(event.status)) {
        // An answer that is no stream is seen only when it is complete.
        recordAnswer(step, request, request.writingSince.value_or(request.callStarted));
    }
}

void PartCrashExchange::tick(Step &step)
{
    while (!m_writing.empty() && m_writing.front().due <= step.now) {
        const Writing writing = m_writing.front();
        m_writing.pop_front();
        const OpenRequest *request = m_state.requests.find(writing.request);
        if (request && request->call == writing.call && request->writingSince) {
            recordAnswer(step, *request, *request->writingSince);
        }
    }
}

std::optional<TimePoint> PartCrashExchange::nextTick() const
{
    return m_writing.empty() ? std::nullopt : std::optional(m_writing.front().due);
}

void PartCrashExchange::recordAnswer(Step &step, const OpenRequest &request, TimePoint since)
{
    if (request.arrival.sharedParts.empty()) {
        return;
    }
    auto ended = m_state.crashingParts.answered(request.service->name, request.arrival.sharedParts,
                                                since, step.now);
    if (ended.notes.empty()) {
        return;
    }
    // Many nodes may see answers to a common part at the same time.
    const bool isForStore = ended.hasEndedRefusal || step.randomBelow(m_state.nodes) < MaxWriters;
    step.add(LogDecision {"parts_answered", request.arrival.callerId, partsText(ended.notes)});
    step.add(SharePartCrashes {std::move(ended.notes), isForStore});
}

void PartCrashExchange::share(Step &step, crashes::PartCrashNotes notes)
{
    if (notes.empty()) {
        return;
    }
    noteRefusals(notes);
    step.add(SharePartCrashes {std::move(notes), true});
}

void PartCrashExchange::notesArrived(Step &step, const PartCrashesArrived &event)
{
    auto news = m_state.crashingParts.merge(event.notes, step.now);
    if (news.empty()) {
        return;
    }
    noteRefusals(news);
    step.add(LogDecision {"part_crashes_heard", {}, "from=node" + partsText(news)});
    step.add(SharePartCrashes {std::move(news), false});
}

bool PartCrashExchange::noteStored(const PartCrashNote &note, TimePoint now)
{
    const auto news = m_state.crashingParts.merge({note}, now);
    noteRefusals(news);
    return !news.empty();
}

void PartCrashExchange::noteRefusals(const crashes::PartCrashNotes &notes)
{
    m_hasNewRefusals =
        m_hasNewRefusals || std::ranges::any_of(notes, [](const PartCrashNote &note) {
            return crashes::PartCrashRecords::isAtLimit(note.crashes);
        });
}

} // namespace indigoway::dispatch
