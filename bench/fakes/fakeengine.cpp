#include "fakeengine.h"

#include <algorithm>
#include <cmath>

namespace indigoway::fakes {

namespace {

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

FakeEngine::FakeEngine(Timeline &timeline, FakeEngineSettings settings)
    : m_timeline(timeline)
    , m_settings(settings)
    , m_advancedTo(timeline.now())
{ }

void FakeEngine::prefill(const EngineRequestName &name, std::uint32_t tokens, const Done &done)
{
    if (!m_isAlive) {
        done(CallOutcome::NotConnected);
        return;
    }
    if (m_isFrozen) {
        m_frozen.emplace_back([=, this] { prefill(name, tokens, done); });
        return;
    }
    Work work;
    work.name = name;
    work.serial = ++m_lastSerial;
    work.promptTokens = tokens;
    work.done = done;
    m_work[name] = std::move(work);
    m_prefillQueue.push_back(name);
    startPrefill();
}

void FakeEngine::startPrefill()
{
    while (count(Stage::Prefilling) == 0 && !m_prefillQueue.empty()) {
        const EngineRequestName name = m_prefillQueue.front();
        m_prefillQueue.pop_front();
        const auto it = m_work.find(name);
        if (it == m_work.end() || it->second.stage != Stage::PrefillQueued) {
            continue;
        }
        it->second.stage = Stage::Prefilling;
        const double time = it->second.promptTokens / m_settings.prefillSpeed * m_slowness;
        later(seconds(time),
              [this, name, serial = it->second.serial] { prefillDone(name, serial); });
    }
}

void FakeEngine::prefillDone(const EngineRequestName &name, std::uint64_t serial)
{
    Work *work = find(name, serial);
    if (work && work->stage == Stage::Prefilling) {
        work->stage = Stage::Exported;
        m_prefilledTokens += work->promptTokens;
        const Done done = std::exchange(work->done, {});
        later(m_settings.keepsResult, [this, name, serial] {
            Work *expired = find(name, serial);
            if (expired && expired->stage == Stage::Exported) {
                m_wastedTokens += expired->promptTokens;
                m_work.erase(name);
            }
        });
        if (done) {
            done(CallOutcome::Whole);
        }
    }
    startPrefill();
}

bool FakeEngine::takeResult(const EngineRequestName &name)
{
    const auto it = m_work.find(name);
    if (!m_isAlive || m_isFrozen || it == m_work.end() || it->second.stage != Stage::Exported) {
        return false;
    }
    m_work.erase(it);
    return true;
}

void FakeEngine::decode(const EngineRequestName &name, std::uint32_t promptTokens,
                        std::uint32_t wanted, std::function<bool()> fetch, const Tokens &tokens,
                        const Done &done)
{
    if (!m_isAlive) {
        done(CallOutcome::NotConnected);
        return;
    }
    if (m_isFrozen) {
        m_frozen.emplace_back(
            [=, this] { decode(name, promptTokens, wanted, fetch, tokens, done); });
        return;
    }
    if (running() + waiting() >= m_settings.slots + m_settings.queue) {
        done(CallOutcome::Rejected);
        return;
    }
    Work work;
    work.name = name;
    work.stage = Stage::DecodeQueued;
    work.serial = ++m_lastSerial;
    work.promptTokens = promptTokens;
    work.wanted = wanted;
    work.fetch = std::move(fetch);
    work.tokens = tokens;
    work.done = done;
    m_work[name] = std::move(work);
    m_decodeQueue.push_back(name);
    startDecodes();
}

void FakeEngine::startDecodes()
{
    while (running() < m_settings.slots && !m_decodeQueue.empty()) {
        const EngineRequestName name = m_decodeQueue.front();
        m_decodeQueue.pop_front();
        const auto it = m_work.find(name);
        if (it == m_work.end() || it->second.stage != Stage::DecodeQueued) {
            continue;
        }
        Work &work = it->second;
        if (!work.fetch()) {
            finish(work, CallOutcome::NotFound);
            continue;
        }
        work.stage = Stage::Transferring;
        if (m_stallsTransfers) {
            continue;
        }
        const double time = m_settings.kvSecondsPerToken * work.promptTokens;
        later(seconds(time), [this, name, serial = work.serial] {
            if (Work *ready = find(name, serial); ready && ready->stage == Stage::Transferring) {
                advance();
                ready->stage = Stage::Decoding;
                planWake();
            }
        });
    }
}

double FakeEngine::tokensPerSecond() const
{
    const double load = static_cast<double>(count(Stage::Decoding)) / m_settings.slots;
    const double step = std::chrono::duration<double>(m_settings.tokenTime).count()
        * (0.5 + 0.5 * load) * m_slowness;
    return 1 / step;
}

void FakeEngine::advance()
{
    const double elapsed = std::chrono::duration<double>(m_timeline.now() - m_advancedTo).count();
    m_advancedTo = m_timeline.now();
    if (m_isFrozen || !m_isAlive) {
        return;
    }
    const double tokens = elapsed * tokensPerSecond();
    for (auto &[name, work] : m_work) {
        if (work.stage == Stage::Decoding) {
            work.progress = std::min<double>(work.progress + tokens, work.wanted);
        }
    }
}

void FakeEngine::planWake()
{
    const std::uint64_t plan = ++m_wakePlan;
    const double rate = tokensPerSecond();
    std::optional<Duration> soonest;
    for (const auto &[name, work] : m_work) {
        if (work.stage != Stage::Decoding) {
            continue;
        }
        const double missing =
            work.sent == 0 && work.progress < 1 ? 1 - work.progress : work.wanted - work.progress;
        Duration next = seconds(missing / rate) + Duration(1);
        if (work.sent > 0) {
            next = std::min(next,
                            std::max(Duration(1),
                                     Duration(work.lastSent + m_settings.lump - m_timeline.now())));
        }
        soonest = soonest ? std::min(*soonest, next) : next;
    }
    if (soonest) {
        later(*soonest, [this, plan] {
            if (plan == m_wakePlan) {
                wake();
            }
        });
    }
}

void FakeEngine::wake()
{
    advance();
    std::vector<EngineRequestName> names;
    for (const auto &[name, work] : m_work) {
        if (work.stage == Stage::Decoding) {
            names.push_back(name);
        }
    }
    for (const EngineRequestName &name : names) {
        const auto it = m_work.find(name);
        if (it != m_work.end() && it->second.stage == Stage::Decoding) {
            deliver(it->second);
        }
    }
    startDecodes();
    planWake();
}

void FakeEngine::deliver(Work &work)
{
    constexpr double Nearly = 1e-6;
    const auto ready = static_cast<std::uint32_t>(work.progress + Nearly);
    const bool isLast = ready >= work.wanted;
    const bool isDue =
        work.sent == 0 || isLast || m_timeline.now() - work.lastSent >= m_settings.lump;
    if (ready > work.sent && isDue) {
        const FakeTokens news {work.sent, ready - work.sent, isLast};
        work.sent = ready;
        work.lastSent = m_timeline.now();
        if (work.tokens) {
            const Tokens tokens = work.tokens;
            tokens(news);
        }
    } else if (isDue) {
        work.lastSent = m_timeline.now();
    }
    if (isLast) {
        work.stage = Stage::Finished;
        const Done done = std::exchange(work.done, {});
        work.tokens = {};
        later(m_settings.keepsFinished, [this, name = work.name, serial = work.serial] {
            if (find(name, serial)) {
                m_work.erase(name);
            }
        });
        if (done) {
            done(CallOutcome::Whole);
        }
    }
}

void FakeEngine::resume(const EngineRequestName &name, std::uint32_t offset, const Tokens &tokens,
                        const Done &done)
{
    if (!m_isAlive) {
        done(CallOutcome::NotConnected);
        return;
    }
    if (m_isFrozen) {
        m_frozen.emplace_back([=, this] { resume(name, offset, tokens, done); });
        return;
    }
    const auto it = m_work.find(name);
    if (it == m_work.end()
        || (it->second.stage != Stage::Decoding && it->second.stage != Stage::Finished)) {
        done(CallOutcome::NotFound);
        return;
    }
    advance();
    Work &work = it->second;
    const auto ready = static_cast<std::uint32_t>(work.progress);
    work.tokens = tokens;
    work.done = done;
    work.sent = ready;
    work.lastSent = m_timeline.now();
    if (ready > offset) {
        tokens({offset, ready - offset, ready >= work.wanted});
    } else {
        work.sent = offset;
    }
    if (work.stage == Stage::Finished) {
        const Done ended = std::exchange(work.done, {});
        work.tokens = {};
        ended(CallOutcome::Whole);
        return;
    }
    planWake();
}

void FakeEngine::serve(const EngineRequestName &name, Duration work, const Done &done)
{
    if (!m_isAlive) {
        done(CallOutcome::NotConnected);
        return;
    }
    if (m_isFrozen) {
        m_frozen.emplace_back([=, this] { serve(name, work, done); });
        return;
    }
    Work serving;
    serving.name = name;
    serving.stage = Stage::Serving;
    serving.serial = ++m_lastSerial;
    serving.done = done;
    m_work[name] = serving;
    later(seconds(std::chrono::duration<double>(work).count() * m_slowness),
          [this, name, serial = serving.serial] {
              if (Work *ended = find(name, serial)) {
                  const Done finished = std::exchange(ended->done, {});
                  m_work.erase(name);
                  if (finished) {
                      finished(CallOutcome::Whole);
                  }
              }
          });
}

void FakeEngine::cancel(const EngineRequestName &name)
{
    const auto it = m_work.find(name);
    if (it == m_work.end()) {
        return;
    }
    advance();
    if (it->second.stage == Stage::Exported) {
        m_wastedTokens += it->second.promptTokens;
    }
    m_work.erase(it);
    startPrefill();
    startDecodes();
    planWake();
}

void FakeEngine::detach(const EngineRequestName &name)
{
    const auto it = m_work.find(name);
    if (it != m_work.end()) {
        it->second.tokens = {};
        it->second.done = {};
    }
}

void FakeEngine::kill()
{
    m_isAlive = false;
    m_isFrozen = false;
    ++m_life;
    ++m_wakePlan;
    m_frozen.clear();
    m_prefillQueue.clear();
    m_decodeQueue.clear();
    const auto lost = std::exchange(m_work, {});
    for (const auto &[name, work] : lost) {
        if (work.stage == Stage::Exported) {
            m_wastedTokens += work.promptTokens;
        }
        if (work.done) {
            work.done(CallOutcome::Truncated);
        }
    }
}

void FakeEngine::freeze()
{
    advance();
    m_isFrozen = true;
}

void FakeEngine::thaw()
{
    if (!m_isFrozen) {
        return;
    }
    m_advancedTo = m_timeline.now();
    m_isFrozen = false;
    const auto waiting = std::exchange(m_frozen, {});
    for (const auto &action : waiting) {
        action();
    }
    planWake();
}

void FakeEngine::setSlowness(double factor)
{
    advance();
    m_slowness = factor;
    planWake();
}

void FakeEngine::breakStreams()
{
    std::vector<Done> ended;
    for (auto &[name, work] : m_work) {
        if (work.stage == Stage::Decoding && work.done) {
            ended.push_back(std::exchange(work.done, {}));
            work.tokens = {};
        }
    }
    for (const Done &done : ended) {
        done(CallOutcome::Truncated);
    }
}

std::vector<EngineRequestName> FakeEngine::held() const
{
    std::vector<EngineRequestName> names;
    for (const auto &[name, work] : m_work) {
        if (work.stage != Stage::Finished) {
            names.push_back(name);
        }
    }
    return names;
}

std::uint32_t FakeEngine::running() const
{
    return count(Stage::Transferring) + count(Stage::Decoding) + count(Stage::Serving);
}

std::uint32_t FakeEngine::waiting() const
{
    return count(Stage::DecodeQueued) + count(Stage::PrefillQueued) + count(Stage::Prefilling);
}

FakeEngine::Work *FakeEngine::find(const EngineRequestName &name, std::uint64_t serial)
{
    const auto it = m_work.find(name);
    return it == m_work.end() || it->second.serial != serial ? nullptr : &it->second;
}

std::uint32_t FakeEngine::count(Stage stage) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_work.begin(), m_work.end(),
                      [&](const auto &entry) { return entry.second.stage == stage; }));
}

void FakeEngine::finish(Work &work, CallOutcome outcome)
{
    const Done done = std::exchange(work.done, {});
    m_work.erase(work.name);
    if (done) {
        done(outcome);
    }
}

void FakeEngine::later(Duration delay, std::function<void()> action)
{
    m_timeline.after(delay, [this, life = m_life, action = std::move(action)] {
        if (life != m_life) {
            return;
        }
        if (m_isFrozen) {
            m_frozen.push_back(action);
            return;
        }
        action();
    });
}

} // namespace indigoway::fakes
