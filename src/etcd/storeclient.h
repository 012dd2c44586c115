#pragma once

#include "http/httpclient.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <functional>
#include <string>
#include <vector>

namespace indigoway {

/**
 * Client of the platform's key-value service, by the etcd v3 JSON gateway. Tries its endpoints
 * in turn, but never sends a call twice: whether one took effect is for the asker to find out.
 */
class StoreClient
{
public:
    using Post = std::function<void(const Event &)>;

    StoreClient(HttpClient &client, std::vector<std::string> endpoints, Post post);

    void run(const CallStore &effect);

private:
    void send(StoreCallNumber call, const std::string &path, const std::string &body,
              std::function<StoreResult(const std::string &)> parse);

    HttpClient &m_client;
    std::vector<std::string> m_endpoints;
    Post m_post;
    std::size_t m_current = 0;
};

} // namespace indigoway
