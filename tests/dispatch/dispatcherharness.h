#pragma once

#include "dispatch/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace indigoway::dispatch {

/** Runs a dispatcher in simulated time; the test acts as the backend servers and the callers. */
class DispatcherHarness
{
public:
    explicit DispatcherHarness(std::optional<Duration> mostCopyAge = {},
                               quotas::QuotaBounds quotas = {})
        : m_dispatcher({DomainName("d1"), RetryBudgetSettings {}, mostCopyAge, quotas}, at(-60'000))
    {
        m_dispatcher.setNodes(4, at(-30'000));
    }

    static TimePoint at(int milliseconds)
    {
        return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
    }

    static Route plainRoute(Repetition repetition)
    {
        Route route;
        route.name = RouteName("plain");
        route.host = "plain";
        route.prefix = "/";
        route.shares = {{ServiceName("web"), 1}};
        route.repetition = repetition;
        route.maxAttempts = repetition == Repetition::Idempotent ? 2 : 1;
        route.target = std::chrono::milliseconds(150);
        route.timeout = std::chrono::milliseconds(1000);
        return route;
    }

    static Route streamRoute(bool isResumable)
    {
        Route route;
        route.name = RouteName("stream");
        route.host = isResumable ? "resumable" : "stream";
        route.prefix = "/";
        route.shares = {{ServiceName("llm"), 1}};
        route.isStream = true;
        route.isResumable = isResumable;
        route.maxAttempts = isResumable ? 2 : 1;
        route.target = std::chrono::milliseconds(900);
        route.timeout = std::chrono::seconds(14);
        return route;
    }

    /** Sets which features the engines of the service llm have from the next useRoutes() on. */
    void setEngineFeatures(bool keepsBackups, bool movesRuns)
    {
        m_keepsBackups = keepsBackups;
        m_movesRuns = movesRuns;
    }

    /**
     * Sets the routes "plain" (of @p repetition), "stream" and "resumable", and the services web
     * and llm.
     */
    void useRoutes(Repetition repetition = Repetition::AtMostOnce,
                   std::vector<Organisation> organisations = {})
    {
        RoutingState state;
        state.version = 1;
        state.routes = {plainRoute(repetition), streamRoute(false), streamRoute(true)};
        Service web;
        web.name = ServiceName("web");
        state.services[web.name] = web;
        Service llm;
        llm.name = ServiceName("llm");
        llm.engine = EngineTraits {64, 50'000, std::chrono::milliseconds(500),
                                   std::chrono::milliseconds(2000)};
        llm.engine->keepsBackups = m_keepsBackups;
        llm.engine->movesRuns = m_movesRuns;
        state.services[llm.name] = llm;
        state.wantsKeys = !organisations.empty();
        state.organisations = std::move(organisations);
        m_dispatcher.setRoutes(std::make_shared<const RouteTable>(std::move(state)));
    }

    void addServer(const std::string &name, EnginePhase phase = EnginePhase::None,
                   bool isDraining = false, const std::string &version = "v1")
    {
        AnnouncedServer server;
        server.version = version;
        server.name = ServerName(name);
        server.service = ServiceName(phase == EnginePhase::None ? "web" : "llm");
        server.address = name + ":80";
        server.domain = DomainName("d1");
        server.slots = 6;
        server.phase = phase;
        server.isDraining = isDraining;
        m_dispatcher.announce(std::move(server));
    }

    /**
     * Sends a request.
     * @param content The content of the request; empty for a unique one.
     */
    RequestNumber arrive(int milliseconds, const std::string &host, std::uint32_t tokens = 0,
                         std::optional<Duration> patience = {}, const std::string &content = {})
    {
        return arrive(milliseconds, host, tokens, patience, content, {}, {});
    }

    /** Sends a request with @p key to a node whose configuration is @p copyAge old. */
    RequestNumber arriveWithKey(int milliseconds, const std::string &host,
                                const std::optional<std::string> &key,
                                std::optional<Duration> copyAge, std::uint32_t tokens = 0)
    {
        Credentials credentials;
        if (key) {
            credentials.key = digestOf(*key);
        }
        return arrive(milliseconds, host, tokens, {}, {}, credentials, copyAge);
    }

    /** Sets the parts that the prompts of the next requests share with others. */
    void setSharedParts(const std::vector<std::string> &names)
    {
        m_sharedParts.clear();
        for (const std::string &name : names) {
            m_sharedParts.push_back(partIdOf(name));
        }
    }

    RequestNumber arrive(int milliseconds, const std::string &host, std::uint32_t tokens,
                         std::optional<Duration> patience, const std::string &content,
                         const Credentials &credentials, std::optional<Duration> copyAge)
    {
        ArrivedRequest request;
        request.request = RequestNumber(++m_lastRequest);
        request.callerId = "c" + std::to_string(m_lastRequest);
        request.content = ContentId(content.empty() ? request.callerId : content);
        request.host = host;
        request.path = "/x";
        request.patience =
            patience.value_or(std::chrono::milliseconds(host == "plain" ? 1000 : 14'000));
        request.promptTokens = tokens;
        request.maxOutputTokens = tokens == 0 ? 0 : 500;
        request.credentials = credentials;
        request.sharedParts = m_sharedParts;
        request.copyAge = copyAge;
        reduce(milliseconds, request);
        return request.request;
    }

    /** Sends a request that resumes the stream whose first event attempt @p id has brought. */
    RequestNumber resume(int milliseconds, const std::string &host,
                         const std::optional<std::string> &id, std::uint32_t tokens = 5'000,
                         const std::string &content = "content")
    {
        ArrivedRequest request;
        request.request = RequestNumber(++m_lastRequest);
        request.callerId = "c" + std::to_string(m_lastRequest);
        request.content = ContentId(content);
        request.host = host;
        request.path = "/x";
        request.patience = std::chrono::milliseconds(14'000);
        request.promptTokens = tokens;
        request.maxOutputTokens = tokens == 0 ? 0 : 500;
        request.isContinuation = true;
        request.resumedId = id;
        reduce(milliseconds, request);
        return request.request;
    }

    void reduce(int milliseconds, const DispatchEvent &event)
    {
        for (DispatchEffect &effect : m_dispatcher.reduce(at(milliseconds), ++m_entropy, event)) {
            if (const auto *call = std::get_if<StartCall>(&effect)) {
                auto &calls = call->kind == CallKind::Probe && call->request.isNone()
                    ? m_serverProbes
                    : m_calls;
                calls.push_back(*call);
            } else if (const auto *abandoned = std::get_if<AbandonCall>(&effect)) {
                m_abandoned.push_back(abandoned->call);
            } else if (const auto *message = std::get_if<SendToScheduler>(&effect)) {
                m_schedulerMessages.push_back(message->message);
            } else if (const auto *slot = std::get_if<SendToPlainScheduler>(&effect)) {
                m_slotMessages.push_back(slot->message);
            } else if (const auto *asked = std::get_if<SendToQuotaKeeper>(&effect)) {
                m_keeperMessages.push_back(asked->message);
            } else if (const auto *told = std::get_if<SendToNode>(&effect)) {
                m_nodeMessages.push_back(*told);
            } else if (const auto *stored = std::get_if<RecordStreamOrigins>(&effect)) {
                m_storeRecords.insert(m_storeRecords.end(), stored->records.begin(),
                                      stored->records.end());
            } else if (std::holds_alternative<ReadStoredOrigins>(effect)) {
                ++m_storeReads;
            } else if (const auto *shared = std::get_if<PublishCrash>(&effect)) {
                m_crashNotes.push_back(*shared);
            } else if (const auto *parts = std::get_if<SharePartCrashes>(&effect)) {
                m_partCrashes.push_back(*parts);
            } else if (const auto *recorded = std::get_if<LogDecision>(&effect)) {
                m_logLines[recorded->kind].push_back(recorded->detail);
            } else if (const auto *rejected = std::get_if<RejectRequest>(&effect)) {
                ++m_endings[rejected->request];
                m_outcomes[rejected->request] = rejected->retryAfter
                    ? "rejected"
                    : "failed " + std::to_string(rejected->status);
                m_statuses[rejected->request] = rejected->status;
                m_retryAfter[rejected->request] = rejected->retryAfter.value_or(Duration(0));
            } else if (const auto *delivered = std::get_if<DeliverAnswer>(&effect)) {
                ++m_endings[delivered->request];
                m_outcomes[delivered->request] = "delivered";
            } else if (const auto *ended = std::get_if<EndStream>(&effect)) {
                ++m_endings[ended->request];
                m_outcomes[ended->request] = "streamed";
            } else if (const auto *broken = std::get_if<BreakStream>(&effect)) {
                ++m_endings[broken->request];
                m_outcomes[broken->request] = "cut";
            }
        }
        if (m_storeReads > 0 && m_answersStoreReads) {
            answerStoreRead(milliseconds);
        }
    }

    /** Sets what the store knows of origins; nothing: it does not answer. */
    void setStoredOrigins(std::optional<origins::StoredOrigins> found)
    {
        m_storedOrigins = std::move(found);
    }
    /** Sets whether reads of the store are answered at once, or by answerStoreRead() only. */
    void setAnswersStoreReads(bool answers) { m_answersStoreReads = answers; }
    void answerStoreRead(int milliseconds)
    {
        CPPUNIT_ASSERT_MESSAGE("a read of the store was expected", m_storeReads > 0);
        --m_storeReads;
        reduce(milliseconds, StoredOriginsRead {m_storedOrigins});
    }
    std::uint32_t storeReads() const { return m_storeReads; }
    std::vector<origins::StreamRecord> takeStoreRecords()
    {
        return std::exchange(m_storeRecords, {});
    }
    /** Writes the note of a version of the service llm into the store. */
    void noteVersion(const std::string &version, bool isEnding = false)
    {
        const origins::VersionNote note {
            {ServiceName("llm"), version}, origins::VersionNotes::MinPatience, isEnding};
        const std::string text = origins::encode(note);
        m_dispatcher.applyVersionNote(origins::versionNoteKey("versions/", note.origin), &text,
                                      ++m_noteRevision);
    }
    void removeNote(const std::string &version)
    {
        m_dispatcher.applyVersionNote(
            origins::versionNoteKey("versions/", {ServiceName("llm"), version}), nullptr,
            ++m_noteRevision);
    }

    /** Advances the time, with a TimePassed event every 10 ms. */
    void advance(int from, int to)
    {
        for (int time = from; time <= to; time += 10) {
            reduce(time, TimePassed {});
        }
    }

    /** Returns the next started call. */
    StartCall nextCall()
    {
        CPPUNIT_ASSERT_MESSAGE("a call was expected", !m_calls.empty());
        StartCall call = m_calls.front();
        m_calls.pop_front();
        return call;
    }

    /** Returns the next message to the scheduler, which must be of this type. */
    template <typename Message>
    Message nextSchedulerMessage()
    {
        CPPUNIT_ASSERT_MESSAGE("a message to the scheduler was expected",
                               !m_schedulerMessages.empty());
        const scheduling::ToScheduler message = m_schedulerMessages.front();
        m_schedulerMessages.pop_front();
        CPPUNIT_ASSERT(std::holds_alternative<Message>(message));
        return std::get<Message>(message);
    }

    StartCall nextCall(CallKind kind)
    {
        StartCall call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(kind)), std::string(nameOf(call.kind)));
        return call;
    }

    /** Returns the next probe of a server whose fault a broken call may be. */
    StartCall nextServerProbe()
    {
        CPPUNIT_ASSERT_MESSAGE("a probe was expected", !m_serverProbes.empty());
        StartCall probe = m_serverProbes.front();
        m_serverProbes.pop_front();
        return probe;
    }
    bool hasServerProbes() const { return !m_serverProbes.empty(); }

    /** Returns the messages to the scheduler that are left. */
    std::deque<scheduling::ToScheduler> takeSchedulerMessages()
    {
        return std::exchange(m_schedulerMessages, {});
    }
    bool hasSchedulerMessage() const { return !m_schedulerMessages.empty(); }
    bool hasCalls() const { return !m_calls.empty(); }

    void end(int milliseconds, const StartCall &call, CallEnd how, int status = 0,
             std::optional<ServerAdvice> advice = {}, std::optional<ServerLoad> load = {})
    {
        CallEnded ended;
        ended.call = call.call;
        ended.end = how;
        ended.status = status;
        ended.advice = advice;
        ended.load = load;
        reduce(milliseconds, ended);
    }

    /** Ends @p call since no process listens at the server's address. */
    void refuse(int milliseconds, const StartCall &call)
    {
        CallEnded ended;
        ended.call = call.call;
        ended.end = CallEnd::NotConnected;
        ended.isRefused = true;
        reduce(milliseconds, ended);
    }

    /** Closes the connection of @p call from the server's side before the answer. */
    void loseConnection(int milliseconds, const StartCall &call)
    {
        CallEnded ended;
        ended.call = call.call;
        ended.end = CallEnd::Broken;
        ended.isConnectionLost = true;
        reduce(milliseconds, ended);
    }

    void grant(int milliseconds, const StartCall &call)
    {
        CallEnded ended;
        ended.call = call.call;
        ended.end = CallEnd::Complete;
        ended.status = 200;
        if (call.kind == CallKind::Reserve) {
            ended.reservation = "r" + std::to_string(call.call.value());
        } else {
            ended.handle = "h" + std::to_string(call.call.value());
        }
        reduce(milliseconds, ended);
    }

    /** Returns "open" or how the request ended. */
    std::string outcome(RequestNumber request) const
    {
        const auto it = m_outcomes.find(request);
        return it == m_outcomes.end() ? "open" : it->second;
    }

    /** Returns how often the caller of a request was told of its end. */
    std::uint32_t endings(RequestNumber request) const
    {
        const auto it = m_endings.find(request);
        return it == m_endings.end() ? 0 : it->second;
    }

    /** Returns the status of an error generated by the dispatcher; 0 if there was none. */
    int status(RequestNumber request) const
    {
        const auto it = m_statuses.find(request);
        return it == m_statuses.end() ? 0 : it->second;
    }

    /** Returns when the caller of a rejected request was asked to return. */
    Duration retryAfter(RequestNumber request) const
    {
        const auto it = m_retryAfter.find(request);
        return it == m_retryAfter.end() ? Duration(0) : it->second;
    }

    /** Returns the messages to the quota keeper since the last call. */
    std::vector<quotas::ToKeeper> takeKeeperMessages()
    {
        return std::exchange(m_keeperMessages, {});
    }

    /** Returns the messages to the scheduler of plain services since the last call. */
    std::vector<slots::ToPlainScheduler> takeSlotMessages()
    {
        return std::exchange(m_slotMessages, {});
    }

    /** Returns the messages to other nodes about origins of streams since the last call. */
    std::vector<SendToNode> takeNodeMessages() { return std::exchange(m_nodeMessages, {}); }

    /** Returns the details of the log lines of @p kind. */
    const std::vector<std::string> &logLines(const std::string &kind) { return m_logLines[kind]; }

    /** Returns the crash notes published since the last call. */
    std::vector<PublishCrash> takeCrashNotes() { return std::exchange(m_crashNotes, {}); }

    /** Returns the series of crashes under parts shared since the last call. */
    std::vector<SharePartCrashes> takePartCrashes() { return std::exchange(m_partCrashes, {}); }

    bool wasAbandoned(const StartCall &call) const
    {
        return std::find(m_abandoned.begin(), m_abandoned.end(), call.call) != m_abandoned.end();
    }

    Dispatcher &dispatcher() { return m_dispatcher; }

private:
    Dispatcher m_dispatcher;
    std::uint64_t m_entropy = 0;
    std::uint64_t m_lastRequest = 0;
    std::vector<PartId> m_sharedParts;
    bool m_keepsBackups = false;
    bool m_movesRuns = false;
    std::deque<StartCall> m_calls;
    std::deque<StartCall> m_serverProbes; ///< Not part of m_calls, since they belong to no request.
    std::deque<scheduling::ToScheduler> m_schedulerMessages;
    std::vector<CallNumber> m_abandoned;
    std::vector<quotas::ToKeeper> m_keeperMessages;
    std::vector<slots::ToPlainScheduler> m_slotMessages;
    std::vector<SendToNode> m_nodeMessages;
    std::vector<origins::StreamRecord> m_storeRecords;
    std::uint32_t m_storeReads = 0; ///< Not answered yet.
    bool m_answersStoreReads = true;
    std::optional<origins::StoredOrigins> m_storedOrigins = origins::StoredOrigins();
    std::uint64_t m_noteRevision = 0;
    std::map<RequestNumber, std::string> m_outcomes;
    std::map<RequestNumber, std::uint32_t> m_endings;
    std::map<RequestNumber, int> m_statuses;
    std::map<RequestNumber, Duration> m_retryAfter;
    std::map<std::string, std::vector<std::string>> m_logLines;
    std::vector<PublishCrash> m_crashNotes;
    std::vector<SharePartCrashes> m_partCrashes;
};

} // namespace indigoway::dispatch
