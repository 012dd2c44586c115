#pragma once

#include "http/httpclient.h"
#include "http/openrequest.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace indigoway {

/**
 * Calls to backend servers: carries out the effects that name one and posts what comes of them.
 * An answer counts as whole only if it names the request that was sent and has its protocol's
 * own last marker.
 */
class BackendCalls
{
public:
    using Post = std::function<void(const Event &)>;
    using Find = std::function<OpenRequest *(RequestNumber)>;

    BackendCalls(HttpClient &client, Find find, Post post);

    void run(const StartPrefill &effect);
    void run(const StartDecode &effect);
    void run(const ResumeDecode &effect);
    void run(const CallService &effect);
    void run(const AbandonCall &effect);
    void run(const CancelOnEngine &effect);
    void run(const FetchReport &effect);
    /** Drops the order if @p now is past its time: the process may have been paused meanwhile. */
    void run(const IssueOrder &effect, TimePoint now);

private:
    struct Stream
    {
        CallNumber call;
        RequestNumber request;
        EngineRequestName name;
        std::uint32_t tokens = 0; ///< Of this attempt, so far.
        std::string partial;      ///< A line that is not complete yet.
        bool isDone = false;
        bool isCancelled = false; ///< Another node has cancelled the request at its engine.
        bool isCrossed = false;
    };

    void startStream(CallNumber call, RequestNumber request, const EngineRequestName &name,
                     std::uint32_t offset, HttpCall http);
    void streamData(const std::shared_ptr<Stream> &stream, int status, const std::string &data);
    void streamLine(Stream &stream, const std::string &line);
    void fetchRequests(const FetchReport &effect, const ReportArrived &report);
    void fetchCacheEvents(const FetchReport &effect);
    void cacheEvents(const FetchReport &effect, const HttpAnswer &answer);

    HttpClient &m_client;
    Find m_find;
    Post m_post;
    std::map<CallNumber, HttpCallNumber> m_calls;
    std::map<ServerName, std::uint64_t> m_cacheCursors;
};

/** How a complete HTTP status other than 200 is to be understood. */
CallOutcome outcomeOf(const HttpAnswer &answer);

} // namespace indigoway
