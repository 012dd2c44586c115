#pragma once

#include "fakes/timeline.h"

#include <indigoway/events.h>
#include <indigoway/ids.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway::fakes {

struct FakeEngineSettings
{
    std::uint32_t slots = 20;
    std::uint32_t queue = 1000;   ///< Decodes waiting beyond the slots; more are rejected.
    double prefillSpeed = 20'000; ///< Tokens a second.
    Duration tokenTime = std::chrono::milliseconds(40); ///< Of a full batch.
    Duration keepsResult = std::chrono::milliseconds(800);
    Duration keepsFinished = std::chrono::seconds(5);
    Duration lump = std::chrono::milliseconds(500); ///< Tokens after the first come together.
    double kvSecondsPerToken = 0;                   ///< Transfer time of the KV cache.
};

/** What an engine tells about a decode. */
struct FakeTokens
{
    std::uint32_t offset = 0;
    std::uint32_t count = 0;
    bool isLast = false;
};

/**
 * A model engine, or a plain service's worker, in virtual time: prefills one after the other,
 * results that expire, decodes in a bounded batch whose pace falls with its size.
 */
class FakeEngine
{
public:
    using Done = std::function<void(CallOutcome)>;
    using Tokens = std::function<void(const FakeTokens &)>;

    FakeEngine(Timeline &timeline, FakeEngineSettings settings);

    void prefill(const EngineRequestName &name, std::uint32_t tokens, const Done &done);
    /** @p fetch gives the prefill's result up and says whether it was still there. */
    void decode(const EngineRequestName &name, std::uint32_t promptTokens, std::uint32_t wanted,
                std::function<bool()> fetch, const Tokens &tokens, const Done &done);
    void resume(const EngineRequestName &name, std::uint32_t offset, const Tokens &tokens,
                const Done &done);
    void serve(const EngineRequestName &name, Duration work, const Done &done);
    void cancel(const EngineRequestName &name);
    /** Gives up the exported result of @p name; false if it has expired. */
    bool takeResult(const EngineRequestName &name);
    /** The reader's connection is gone; the work goes on. */
    void detach(const EngineRequestName &name);

    void kill();
    void restart() { m_isAlive = true; }
    void freeze();
    void thaw();
    /** Multiplies all its times; 1 is healthy. */
    void setSlowness(double factor);
    /** Breaks the connections of all streams; the requests run on. */
    void breakStreams();
    void setStallsTransfers(bool stalls) { m_stallsTransfers = stalls; }

    bool isAlive() const { return m_isAlive; }
    bool isFrozen() const { return m_isFrozen; }
    /** Requests that hold memory now. */
    std::vector<EngineRequestName> held() const;
    std::uint32_t running() const;
    std::uint32_t waiting() const;
    std::uint64_t prefilledTokens() const { return m_prefilledTokens; }
    std::uint64_t wastedTokens() const { return m_wastedTokens; }
    const FakeEngineSettings &settings() const { return m_settings; }

private:
    enum class Stage {
        PrefillQueued,
        Prefilling,
        Exported,
        DecodeQueued,
        Transferring,
        Decoding,
        Serving,
        Finished,
    };
    struct Work
    {
        EngineRequestName name;
        Stage stage = Stage::PrefillQueued;
        std::uint64_t serial = 0;
        std::uint32_t promptTokens = 0;
        std::uint32_t wanted = 0;
        double progress = 0; ///< Tokens generated.
        std::uint32_t sent = 0;
        TimePoint lastSent {};
        std::function<bool()> fetch;
        Tokens tokens;
        Done done;
    };

    Work *find(const EngineRequestName &name, std::uint64_t serial);
    std::uint32_t count(Stage stage) const;
    void startPrefill();
    void prefillDone(const EngineRequestName &name, std::uint64_t serial);
    void startDecodes();
    void advance();
    void planWake();
    void wake();
    void deliver(Work &work);
    double tokensPerSecond() const;
    void finish(Work &work, CallOutcome outcome);
    void later(Duration delay, std::function<void()> action);

    Timeline &m_timeline;
    FakeEngineSettings m_settings;
    std::map<EngineRequestName, Work> m_work;
    std::deque<EngineRequestName> m_prefillQueue;
    std::deque<EngineRequestName> m_decodeQueue;
    std::uint64_t m_lastSerial = 0;
    std::uint64_t m_life = 0;
    std::uint64_t m_wakePlan = 0;
    TimePoint m_advancedTo {};
    double m_slowness = 1;
    bool m_isAlive = true;
    bool m_isFrozen = false;
    bool m_stallsTransfers = false;
    std::vector<std::function<void()>> m_frozen;
    std::uint64_t m_prefilledTokens = 0;
    std::uint64_t m_wastedTokens = 0;
};

} // namespace indigoway::fakes
