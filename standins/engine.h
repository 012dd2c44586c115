#pragma once

#include "eventloop.h"

#include "http/httpclient.h"
#include "http/httpserver.h"

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway::standins {

struct EngineSettings
{
    std::string name = "engine";
    std::string address; ///< Where other engines fetch its KV cache.
    std::uint32_t slots = 20;
    std::uint32_t queue = 20;     ///< Waiting decodes beyond the slots; more are refused with 429.
    double prefillSpeed = 20'000; ///< Tokens a second.
    std::chrono::microseconds tokenTime {20'000}; ///< Of a full batch.
    std::chrono::milliseconds keepsResult {800};
    std::chrono::milliseconds reportLag {200};
    std::chrono::milliseconds cacheEventLag {500};
    std::uint32_t loosesCacheEvent = 7; ///< One in so many cache events is never told; 0: none.
    std::uint64_t linkRate = 0;         ///< Bytes a second of KV cache; 0: not limited.
    std::uint32_t kvBytes = 0;          ///< Per prompt token.
    std::uint32_t cachedPrefixes = 256;
    bool checksFencing = true;
    std::string version = "1";
    std::chrono::milliseconds loadTime {300}; ///< Of another model version.
};

/**
 * Stand-in of a model engine: prefill and decode with continuous batching in a bounded number of
 * slots, a prefix cache, exported KV cache that expires, resume and cancel, lagging reports, and
 * orders with fencing numbers. docs/PROTOCOLS.md has its interface; faults are set at /control.
 */
class Engine
{
public:
    Engine(EventLoop &loop, EngineSettings settings);

    std::optional<std::string> listenOn(const std::string &address);

private:
    using Clock = std::chrono::steady_clock;
    enum class Stage {
        PrefillQueued,
        Prefilling,
        Exported,
        DecodeQueued,
        Transferring,
        Decoding,
        Finished, ///< Kept for a while so that a broken stream can be resumed.
    };
    struct Held
    {
        std::string id;
        Stage stage = Stage::PrefillQueued;
        std::uint32_t priority = 4;
        std::string prompt;
        std::uint32_t promptTokens = 0;
        std::uint32_t firstToken = 0; ///< Of the answer, in a continuation.
        std::uint32_t wanted = 0;
        std::uint32_t generated = 0;
        std::uint32_t sent = 0;
        bool isChat = false;
        std::optional<ExchangeNumber> exchange;
        Json::Value transfer;
        std::uint64_t serial = 0; ///< Tells a later request with the same id.
    };
    struct Faults
    {
        bool isFrozen = false;
        bool stallsTransfers = false;
        std::chrono::milliseconds late {};
        std::uint32_t crossNext = 0;
        std::uint32_t truncateNext = 0;
        std::uint32_t truncateAfter = 3;
        std::uint32_t rejectNext = 0;
        std::uint32_t plainCloseNext = 0;
    };
    struct CacheEvent
    {
        Clock::time_point visibleAt;
        std::uint64_t hash = 0;
        bool isStored = true;
    };

    void take(HttpRequest request);
    void route(const HttpRequest &request);
    void takeCompletion(const HttpRequest &request, bool isChat);
    void takeDecode(const HttpRequest &request, Held held);
    void resume(const HttpRequest &request, const std::string &id);
    void cancel(const HttpRequest &request, const std::string &id);
    void giveKv(const HttpRequest &request, const std::string &id);
    void list(const HttpRequest &request);
    void metrics(const HttpRequest &request);
    void cacheEvents(const HttpRequest &request);
    void order(const HttpRequest &request);
    void control(const HttpRequest &request);
    void gone(ExchangeNumber exchange);
    void startPrefills();
    void prefillDone(const std::string &id, std::uint64_t serial);
    void startDecodes();
    void transferDone(const std::string &id, std::uint64_t serial, bool isOk);
    void step();
    void scheduleStep();
    void sendTokens(Held &held);
    void streamChunk(Held &held, std::uint32_t index);
    void endStream(Held &held);
    void forget(const std::string &id);
    std::string shownId(const Held &held);
    std::uint32_t cachedTokens(const std::string &prompt);
    void remember(const std::string &prompt);
    std::uint32_t count(Stage stage) const;
    void refreshReport();
    void error(ExchangeNumber exchange, int status, const std::string &message);
    void json(ExchangeNumber exchange, const Json::Value &value);

    EventLoop &m_loop;
    EngineSettings m_settings;
    HttpServer m_server;
    HttpClient m_client;
    std::map<std::string, Held> m_held;
    Faults m_faults;
    bool m_isStepping = false;
    std::uint64_t m_lastSerial = 0;
    std::uint64_t m_prefills = 0;
    std::uint64_t m_decodes = 0;
    std::uint64_t m_expired = 0;
    std::map<std::string, std::uint32_t> m_runs; ///< Decodes per prompt, for the tests.
    std::deque<std::uint64_t> m_cacheOrder;
    std::deque<CacheEvent> m_cacheEvents;
    std::uint64_t m_firstCacheEvent = 0;
    std::uint64_t m_cacheEventCount = 0;
    std::uint32_t m_reportedRunning = 0;
    std::uint32_t m_reportedWaiting = 0;
    std::uint64_t m_lastFence = 0;
    Json::Value m_orders {Json::arrayValue};
    std::vector<HttpRequest> m_frozen;
};

} // namespace indigoway::standins
