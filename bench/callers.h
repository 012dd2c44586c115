#pragma once

#include "http/httpclient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace indigoway::bench {

/** A kind of request that callers send. */
struct RequestKind
{
    std::string name;
    std::uint32_t promptTokens = 100;
    std::uint32_t outputTokens = 20;
    bool isStreamed = true;
    bool isRepeatable = true;
    bool isService = false;
    std::uint32_t weight = 1;
};

/** What callers saw of one kind. */
struct KindResult
{
    std::uint64_t sent = 0;
    std::uint64_t right = 0;   ///< One whole answer, to this request.
    std::uint64_t wrong = 0;   ///< Not whole, another's, or doubled.
    std::uint64_t inDoubt = 0; ///< Told so, or the answer was lost with the node.
    std::uint64_t refused = 0; ///< Told "not executed" more often than callers ask again.
    std::uint64_t resent = 0;
    std::vector<double> firstTokenMs;
    std::vector<double> totalMs;
};

/**
 * Well-behaved callers: they ask which nodes to use, send again what was not executed after the
 * time they are told, and after a broken connection go to another node with the same key.
 */
class Callers
{
public:
    struct Plan
    {
        std::vector<std::string> nodes;
        std::string model = "lector-llm";
        std::string servicePath = "/lista-web/";
        std::vector<RequestKind> kinds;
        std::uint64_t requests = 100;
        std::uint32_t concurrency = 8;
        std::uint64_t seed = 1;
        int mostTries = 20;
        std::string runName = "run"; ///< Makes the idempotency keys of runs differ.
    };

    Callers(event_base *base, Plan plan);

    /** Runs the loop until every request has ended. */
    void run();
    const std::map<std::string, KindResult> &results() const { return m_results; }
    /** Called with the number of requests that have begun to stream. */
    void setProgress(std::function<void(std::uint64_t)> progress)
    {
        m_progress = std::move(progress);
    }

private:
    struct Caller;

    void next(const std::shared_ptr<Caller> &caller);
    void send(const std::shared_ptr<Caller> &caller);
    void data(const std::shared_ptr<Caller> &caller, int status, const std::string &data);
    void done(const std::shared_ptr<Caller> &caller, const HttpAnswer &answer);
    void again(const std::shared_ptr<Caller> &caller, Duration after, bool isElsewhere);
    void end(const std::shared_ptr<Caller> &caller, std::uint64_t KindResult::*outcome);
    std::string promptFor(const Caller &caller) const;
    bool isRight(const Caller &caller, const std::string &body) const;

    event_base *m_base;
    Plan m_plan;
    HttpClient m_client;
    std::mt19937_64 m_random;
    std::map<std::string, KindResult> m_results;
    std::function<void(std::uint64_t)> m_progress;
    std::uint64_t m_started = 0;
    std::uint64_t m_streaming = 0;
    std::uint32_t m_active = 0;
};

} // namespace indigoway::bench
