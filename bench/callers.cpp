#include "callers.h"

#include "enginemodel.h"

#include "core/jsontext.h"
#include "http/callergateway.h"

#include <event2/event.h>

#include <algorithm>

namespace indigoway::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr Duration AnswerTimeout = std::chrono::minutes(5);
constexpr Duration FirstRetry = std::chrono::milliseconds(100);
constexpr Duration LongestRetry = std::chrono::seconds(3);

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

} // namespace

struct Callers::Caller
{
    std::uint64_t number = 0;
    const RequestKind *kind = nullptr;
    std::size_t node = 0;
    int tries = 0;
    Clock::time_point started;
    bool hasFirstToken = false;
    std::string partial;
    std::string text;
    bool isDone = false;
    bool hasDoubt = false; ///< An earlier try broke off after it was sent.
};

Callers::Callers(event_base *base, Plan plan)
    : m_base(base)
    , m_plan(std::move(plan))
    , m_client(base)
    , m_random(m_plan.seed)
{
    for (const RequestKind &kind : m_plan.kinds) {
        m_results[kind.name];
    }
}

void Callers::run()
{
    const auto callers = std::min<std::uint64_t>(m_plan.concurrency, m_plan.requests);
    for (std::uint64_t i = 0; i < callers; ++i) {
        ++m_active;
        next(std::make_shared<Caller>());
    }
    event_base_dispatch(m_base);
}

void Callers::next(const std::shared_ptr<Caller> &caller)
{
    if (m_started >= m_plan.requests) {
        if (--m_active == 0) {
            event_base_loopbreak(m_base);
        }
        return;
    }
    *caller = {};
    caller->number = ++m_started;
    std::vector<std::uint32_t> weights;
    for (const RequestKind &kind : m_plan.kinds) {
        weights.push_back(kind.weight);
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    caller->kind = &m_plan.kinds[draw(m_random)];
    caller->node = m_random() % m_plan.nodes.size();
    ++m_results[caller->kind->name].sent;
    caller->started = Clock::now();
    send(caller);
}

std::string Callers::promptFor(const Caller &caller) const
{
    std::string prompt = m_plan.runName + " request " + std::to_string(caller.number) + " ";
    const std::size_t bytes = std::size_t {caller.kind->promptTokens} * 4;
    while (prompt.size() < bytes) {
        prompt += "chapter text ";
    }
    return prompt + "end.";
}

void Callers::send(const std::shared_ptr<Caller> &caller)
{
    ++caller->tries;
    caller->text.clear();
    caller->partial.clear();
    caller->isDone = false;
    HttpCall http;
    http.address = m_plan.nodes[caller->node];
    http.method = "POST";
    http.timeout = AnswerTimeout;
    http.headers = {{"Content-Type", "application/json"},
                    {"OpenAI-Organization", "organisation-" + std::to_string(caller->number % 10)}};
    if (!caller->kind->isRepeatable) {
        http.headers.emplace_back("Indigoway-Repeatable", "no");
        http.headers.emplace_back("Idempotency-Key",
                                  m_plan.runName + "-" + std::to_string(caller->number));
    }
    if (caller->kind->isService) {
        http.path = m_plan.servicePath + std::to_string(caller->number);
        http.body = promptFor(*caller);
    } else {
        http.path = "/v1/completions";
        Json::Value body;
        body["model"] = m_plan.model;
        body["prompt"] = promptFor(*caller);
        body["max_tokens"] = caller->kind->outputTokens;
        body["stream"] = caller->kind->isStreamed;
        http.body = jsonText(body);
    }
    const auto onDone = [this, caller](const HttpAnswer &answer) {
        done(caller, answer);
    };
    if (!caller->kind->isStreamed || caller->kind->isService) {
        m_client.start(std::move(http), onDone);
        return;
    }
    m_client.start(std::move(http), onDone, [this, caller](int status, const std::string &text) {
        data(caller, status, text);
    });
}

void Callers::data(const std::shared_ptr<Caller> &caller, int status, const std::string &data)
{
    if (status != 200) {
        return;
    }
    caller->partial += data;
    for (std::size_t end = caller->partial.find('\n'); end != std::string::npos;
         end = caller->partial.find('\n')) {
        const std::string line = caller->partial.substr(0, end);
        caller->partial.erase(0, end + 1);
        if (line == "data: [DONE]") {
            caller->isDone = true;
        } else if (line.starts_with("data: ")) {
            const Json::Value chunk = parseJson(line.substr(6));
            if (chunk.isObject() && chunk["choices"].isArray() && !chunk["choices"].empty()) {
                caller->text += stringMember(chunk["choices"][0], "text");
            }
            if (!caller->hasFirstToken && !caller->text.empty()) {
                caller->hasFirstToken = true;
                m_results[caller->kind->name].firstTokenMs.push_back(
                    millisecondsSince(caller->started));
                ++m_streaming;
                if (m_progress) {
                    m_progress(m_streaming);
                }
            }
        }
    }
}

void Callers::done(const std::shared_ptr<Caller> &caller, const HttpAnswer &answer)
{
    const bool isComplete = answer.end == HttpAnswer::End::Complete;
    if (isComplete && answer.status == 200) {
        if (caller->kind->isStreamed && !caller->kind->isService && !caller->isDone) {
            caller->hasDoubt = true;
            again(caller, FirstRetry, true);
            return;
        }
        end(caller, isRight(*caller, answer.body) ? &KindResult::right : &KindResult::wrong);
        return;
    }
    if (!isComplete) {
        caller->hasDoubt = caller->hasDoubt || answer.end != HttpAnswer::End::NotConnected;
        again(caller, FirstRetry, true);
        return;
    }
    const std::string execution = answer.header("Indigoway-Execution");
    if (execution != "not-executed" && !caller->kind->isRepeatable) {
        end(caller, &KindResult::inDoubt);
        return;
    }
    const std::string retryAfter = answer.header("Retry-After");
    const Duration wait = retryAfter.empty()
        ? FirstRetry
        : std::min<Duration>(std::chrono::seconds(std::strtol(retryAfter.c_str(), nullptr, 10)),
                             LongestRetry);
    again(caller, wait, true);
}

void Callers::again(const std::shared_ptr<Caller> &caller, Duration after, bool isElsewhere)
{
    KindResult &result = m_results[caller->kind->name];
    if (caller->tries >= m_plan.mostTries) {
        end(caller, caller->hasDoubt ? &KindResult::inDoubt : &KindResult::refused);
        return;
    }
    ++result.resent;
    if (isElsewhere) {
        caller->node = (caller->node + 1) % m_plan.nodes.size();
    }
    struct Later
    {
        Callers *callers;
        std::shared_ptr<Caller> caller;
    };
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(after);
    const timeval wait {seconds.count(), (after - seconds).count()};
    event_base_once(
        m_base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *context) {
            const std::unique_ptr<Later> later(static_cast<Later *>(context));
            later->callers->send(later->caller);
        },
        new Later {this, caller}, &wait);
}

void Callers::end(const std::shared_ptr<Caller> &caller, std::uint64_t KindResult::*outcome)
{
    KindResult &result = m_results[caller->kind->name];
    ++(result.*outcome);
    result.totalMs.push_back(millisecondsSince(caller->started));
    next(caller);
}

bool Callers::isRight(const Caller &caller, const std::string &body) const
{
    const Json::Value answer = parseJson(body);
    if (caller.kind->isService) {
        return stringMember(answer, "path") == m_plan.servicePath + std::to_string(caller.number)
            && stringMember(answer, "body") == promptFor(caller);
    }
    const std::string expected =
        standins::wholeAnswer(promptFor(caller), caller.kind->outputTokens);
    if (caller.kind->isStreamed) {
        return caller.text == expected;
    }
    return answer.isObject() && answer["choices"].isArray() && !answer["choices"].empty()
        && stringMember(answer["choices"][0], "text") == expected;
}

} // namespace indigoway::bench
