#pragma once

#include "dispatch/dispatcheffects.h"
#include "dispatch/dispatchevents.h"
#include "relay/callerlistener.h"
#include "relay/messageparser.h"
#include "relay/serverconnections.h"

#include <optional>
#include <string>
#include <string_view>

namespace indigoway {

/** What the head of a server's answer says, apart from its bytes. */
struct AnswerFacts
{
    bool isGenuine = false;     ///< Bears the server's mark: it ran the request.
    bool isNotExecuted = false; ///< The server says that it did not run it.
    std::optional<dispatch::ServerLoad> load;
};

/** What the body of an answer to one of the system's own calls grants. */
struct GrantFacts
{
    std::string reservation;
    std::string handle;
    std::optional<dispatch::EngineReport> report;
};

/**
 * How callers and backend servers spell what the dispatcher deals in. Only spelling: a dialect
 * decides nothing and keeps no state.
 */
class Dialect
{
public:
    Dialect() = default;
    Dialect(const Dialect &) = delete;
    Dialect &operator=(const Dialect &) = delete;
    virtual ~Dialect() = default;

    /** Without its number, which only the relay knows. */
    virtual dispatch::ArrivedRequest readRequest(const MessageHead &head) const = 0;
    /**
     * @p call as it goes out. @p origin is the request whose bytes it carries, null for calls of
     * the system's own; @p lastEventId is of the last event that the caller was passed.
     */
    virtual ServerRequest writeCall(const dispatch::StartCall &call, const CallerRequest *origin,
                                    const std::string &lastEventId) const = 0;
    /** Whether @p head answers the request named @p callerId, and not an earlier one. */
    virtual bool isAnswerTo(const std::string &callerId, const MessageHead &head) const = 0;
    virtual AnswerFacts readAnswer(const MessageHead &head) const = 0;
    virtual GrantFacts readGrant(dispatch::CallKind kind, std::string_view body) const = 0;
    /** The server's headers that the caller gets, without those on framing and connections. */
    virtual HttpHeaders answerHeaders(const MessageHead &head) const = 0;
    virtual HttpHeaders rejectionHeaders(std::optional<Duration> retryAfter) const = 0;
};

/** @p headers without those that concern one connection only (RFC 9110, 7.6.1). */
HttpHeaders endToEndHeaders(const MessageHead &head);

} // namespace indigoway
