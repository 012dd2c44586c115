#pragma once

#include "http/httpserver.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace indigoway {

class Node;

/**
 * The address for peers and operators. Everything but the health paths asks for a token; who
 * shows an operator's token is the author in the record of changes.
 */
class InnerGateway
{
public:
    using Post = std::function<void(const Event &)>;
    using PeerHandler = std::function<void(const HttpRequest &)>;
    using PeerGoneHandler = std::function<void(ExchangeNumber)>;
    using MetricsText = std::function<std::string()>;

    struct Tokens
    {
        std::string peers;
        std::map<std::string, std::string> operators;
    };

    /** @param guard Limits what is held for clients. */
    InnerGateway(event_base *base, OverloadGuard &guard, HttpLimits limits, const Node &node,
                 Tokens tokens, Post post, MetricsText metrics);

    HttpServer &server() { return m_server; }
    void setPeerHandlers(PeerHandler handler, PeerGoneHandler gone);
    void answer(const AnswerCommand &effect);
    void answer(const AnswerQuery &effect);

private:
    void take(const HttpRequest &request);
    /** The operator who shows their token in @p request. */
    std::optional<std::string> operatorOf(const HttpRequest &request) const;
    void takeCommand(const HttpRequest &request, const std::string &who);
    void refuse(ExchangeNumber exchange, int status, const std::string &message);

    const Node &m_node;
    Tokens m_tokens;
    Post m_post;
    MetricsText m_metrics;
    PeerHandler m_peerHandler;
    PeerGoneHandler m_peerGone;
    HttpServer m_server;
    std::set<CommandNumber> m_waiting;
};

/** Name of an outcome in operators' answers. */
const char *outcomeName(CommandOutcome::Kind kind);

} // namespace indigoway
