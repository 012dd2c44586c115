#pragma once

#include "eventloop.h"

#include "http/httpserver.h"

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace indigoway::standins {

/**
 * Stand-in of the platform's key-value service: the part of the etcd v3 JSON gateway that the
 * system uses (range, txn, lease grant and keepalive). Counts calls; faults are set at /control.
 */
class Store
{
public:
    explicit Store(EventLoop &loop);

    std::optional<std::string> listenOn(const std::string &address)
    {
        return m_server.listenOn(address);
    }

private:
    using Clock = std::chrono::steady_clock;
    struct Value
    {
        std::string text;
        std::int64_t modRevision = 0;
        std::int64_t lease = 0;
    };
    struct Lease
    {
        std::chrono::seconds timeToLive {};
        Clock::time_point ends;
    };

    void take(const HttpRequest &request);
    void answer(const HttpRequest &request);
    Json::Value range(const Json::Value &request);
    Json::Value transaction(const Json::Value &request);
    bool holds(const Json::Value &compare) const;
    Json::Value grant(const Json::Value &request);
    Json::Value keepAlive(const Json::Value &request);
    void expire();
    void control(const HttpRequest &request);

    EventLoop &m_loop;
    HttpServer m_server;
    std::map<std::string, Value> m_values;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 0;
    std::int64_t m_lastLease = 1000;
    std::map<std::string, std::uint64_t> m_calls;
    bool m_isAway = false;
    std::chrono::milliseconds m_slow {};
    std::uint32_t m_dropNextAnswers = 0;
};

} // namespace indigoway::standins
