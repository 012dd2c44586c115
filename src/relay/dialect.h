#pragma once

#include "dispatch/dispatcheffects.h"
#include "dispatch/dispatchevents.h"
#include "http/httplistener.h"
#include "http/messageparser.h"
#include "relay/serverconnections.h"

#include <optional>
#include <string>
#include <string_view>

namespace indigoway {

/** Information from the headers of a server's answer. */
struct AnswerInfo
{
    bool hasServerStamp = false; ///< The server has stamped the answer, so it executed the request.
    bool isNotExecuted = false;  ///< The server states that it did not execute the request.
    std::optional<dispatch::ServerLoad> load;
    bool isLoadMalformed = false; ///< A load was reported that cannot be read.
    /** Nothing if another server than the expected one answered. */
    std::optional<dispatch::ServerAdvice> advice;
};

/** Results from the body of an engine's answer. */
struct EngineAnswer
{
    std::string reservation;
    std::string handle;
    std::optional<dispatch::EngineReport> report;
};

/**
 * Translates between the HTTP messages of callers and backend servers and the dispatcher's events
 * and effects. Implementations are stateless and make no routing decisions.
 */
class Dialect
{
public:
    Dialect() = default;
    Dialect(const Dialect &) = delete;
    Dialect &operator=(const Dialect &) = delete;
    virtual ~Dialect() = default;

    /** Parses a caller's request. The request number is set by the relay. */
    virtual dispatch::ArrivedRequest readRequest(const MessageHead &head) const = 0;
    /**
     * Builds the HTTP request for @p call.
     * @param origin the caller's request to forward; null if the call belongs to no request
     * @param lastEventId id of the last event forwarded to the caller, if the call resumes a
     *        stream; otherwise empty
     */
    virtual ServerRequest writeCall(const dispatch::StartCall &call, const CallerRequest *origin,
                                    const std::string &lastEventId) const = 0;
    /** Returns whether @p head belongs to the request @p callerId rather than an earlier one. */
    virtual bool isAnswerTo(const std::string &callerId, const MessageHead &head) const = 0;
    virtual AnswerInfo readAnswer(const MessageHead &head) const = 0;
    virtual EngineAnswer readEngineAnswer(dispatch::CallKind kind, std::string_view body) const = 0;
    /** Returns the headers to forward to the caller, without framing and hop-by-hop headers. */
    virtual HttpHeaders answerHeaders(const MessageHead &head) const = 0;
    virtual HttpHeaders rejectionHeaders(std::optional<Duration> retryAfter) const = 0;
};

/** Returns the headers of @p head without the hop-by-hop headers (RFC 9110, section 7.6.1). */
HttpHeaders endToEndHeaders(const MessageHead &head);

} // namespace indigoway
