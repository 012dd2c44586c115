#pragma once

#include "http/httpserver.h"
#include "http/openrequest.h"

#include <indigoway/deployment.h>
#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

class Node;

/**
 * The callers' side: OpenAI-compatible completions, plain services and the list of nodes.
 * docs/PROTOCOLS.md is its contract.
 */
class CallerGateway
{
public:
    using Post = std::function<void(const Event &)>;

    /** @param guard Limits what is held for callers. */
    CallerGateway(event_base *base, OverloadGuard &guard, HttpLimits limits, const Node &node,
                  Post post);

    std::optional<std::string> listenOn(const std::string &address)
    {
        return m_server.listenOn(address);
    }
    /** Null once the request has ended. */
    OpenRequest *open(RequestNumber request);
    void relay(const RelayTokens &effect);
    void finish(const FinishAnswer &effect);
    void refuse(const RefuseRequest &effect);
    std::size_t openCount() const { return m_open.size(); }

private:
    void take(HttpRequest request);
    void takeCompletion(HttpRequest request, bool isChat);
    void takeService(HttpRequest request, const Target &target);
    void answerNodes(const HttpRequest &request);
    void answerModels(const HttpRequest &request);
    void answerHealth(const HttpRequest &request);
    void problem(ExchangeNumber exchange, int status, const std::string &title,
                 const std::string &detail, Execution execution, Duration retryAfter);
    void arrived(OpenRequest open);
    bool takeHeaders(OpenRequest &open);
    void startStream(OpenRequest &request);
    Json::Value nodeList(const DomainName &domain) const;

    const Node &m_node;
    Post m_post;
    HttpServer m_server;
    std::map<RequestNumber, OpenRequest> m_open;
};

/** Text that the engine will see as the prompt, as far as its prefix and length matter. */
std::string promptText(const Json::Value &body, bool isChat);

/** Hashes of the prompt's first 1024, 2048, 4096... bytes; see docs/PROTOCOLS.md. */
std::vector<std::uint64_t> prefixHashes(const std::string &prompt);

} // namespace indigoway
