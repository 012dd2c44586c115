#pragma once

#include "http/httpclient.h"
#include "http/httpserver.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace indigoway {

/**
 * JSON-RPC 2.0 between nodes, over HTTP: the library checks and encodes, evhttp carries. An
 * answer may be held back, so a call's reply is sent whenever the reducer gives it.
 */
class PeerLink
{
public:
    using Post = std::function<void(const Event &)>;

    PeerLink(HttpClient &client, HttpServer &server, std::string token, Post post);
    ~PeerLink();

    /** A request on the peers' path whose token has been checked. */
    void take(const HttpRequest &request);
    /** The peer that made the request on @p exchange has gone. */
    void gone(ExchangeNumber exchange) { m_waiting.erase(PeerRequestNumber(exchange.value())); }
    void run(const SendToPeer &effect);
    void run(const ReplyToPeer &effect);

private:
    class Procedures;

    HttpClient &m_client;
    HttpServer &m_server;
    std::string m_token;
    Post m_post;
    std::unique_ptr<Procedures> m_procedures;
    /** Envelopes of the answers that are still due, with an empty result. */
    std::map<PeerRequestNumber, std::string> m_waiting;
};

} // namespace indigoway
