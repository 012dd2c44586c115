#include "daemon.h"

#include "core/jsontext.h"

#include <spdlog/spdlog.h>

#include <event2/event.h>

#include <csignal>

namespace indigoway {

namespace {

constexpr int ListenFailed = 1;

TimePoint now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

Daemon::Daemon(DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_base(event_base_new())
    , m_timer(event_new(m_base.get(), -1, 0, &Daemon::handleTimer, this))
    , m_terminate(evsignal_new(m_base.get(), SIGTERM, &Daemon::handleSignal, this))
    , m_interrupt(evsignal_new(m_base.get(), SIGINT, &Daemon::handleSignal, this))
    , m_random(std::random_device {}())
    , m_guard(m_base.get(), m_settings.machine)
    , m_client(m_base.get())
{
    std::signal(SIGPIPE, SIG_IGN);
    event_add(m_terminate.get(), nullptr);
    event_add(m_interrupt.get(), nullptr);
}

int Daemon::run()
{
    if (!listen()) {
        return ListenFailed;
    }
    carryOut(m_node->start(now(), m_random()));
    armTimer();
    log("serves callers on " + m_settings.callers + " and peers on " + m_settings.inner);
    event_base_dispatch(m_base.get());
    log("has left");
    return 0;
}

bool Daemon::listen()
{
    // The gateways refer to the node, and the node is told the addresses they listen on.
    m_node = std::make_unique<Node>(m_settings.node);
    const auto postEvent = [this](const Event &event) {
        post(event);
    };
    m_callers = std::make_unique<CallerGateway>(m_base.get(), m_guard, m_settings.limits, *m_node,
                                                postEvent);
    m_inner = std::make_unique<InnerGateway>(
        m_base.get(), m_guard, m_settings.limits, *m_node,
        InnerGateway::Tokens {m_settings.peerToken, m_settings.operatorTokens}, postEvent,
        [this] { return metricsText(); });
    for (const auto &[server, address, advertised] :
         {std::tuple(false, &m_settings.callers, &m_settings.node.callerAddress),
          std::tuple(true, &m_settings.inner, &m_settings.node.peerAddress)}) {
        const auto bound =
            server ? m_inner->server().listenOn(*address) : m_callers->listenOn(*address);
        if (!bound) {
            log("cannot listen on " + *address);
            return false;
        }
        *address = *bound;
        if (advertised->empty()) {
            *advertised = *bound;
        }
    }
    m_node->setAddresses(m_settings.node.callerAddress, m_settings.node.peerAddress);
    m_backends = std::make_unique<BackendCalls>(
        m_client, [this](RequestNumber request) { return m_callers->open(request); }, postEvent);
    m_store = std::make_unique<StoreClient>(m_client, m_settings.store, postEvent);
    m_peers =
        std::make_unique<PeerLink>(m_client, m_inner->server(), m_settings.peerToken, postEvent);
    m_inner->setPeerHandlers([this](const HttpRequest &request) { m_peers->take(request); },
                             [this](ExchangeNumber exchange) { m_peers->gone(exchange); });
    return true;
}

void Daemon::post(const Event &event)
{
    carryOut(m_node->reduce(now(), m_random(), event));
    // Tokens never bring a deadline forward, and there are very many of them.
    if (!std::holds_alternative<TokensArrived>(event)) {
        armTimer();
    }
}

void Daemon::carryOut(const Effects &effects)
{
    for (const Effect &effect : effects) {
        run(effect);
    }
}

void Daemon::run(const Effect &effect)
{
    std::visit(Overloaded {
                   [this](const StartPrefill &one) { m_backends->run(one); },
                   [this](const StartDecode &one) { m_backends->run(one); },
                   [this](const ResumeDecode &one) { m_backends->run(one); },
                   [this](const CallService &one) { m_backends->run(one); },
                   [this](const AbandonCall &one) { m_backends->run(one); },
                   [this](const CancelOnEngine &one) { m_backends->run(one); },
                   [this](const FetchReport &one) { m_backends->run(one); },
                   [this](const IssueOrder &one) { m_backends->run(one, now()); },
                   [this](const RelayTokens &one) { m_callers->relay(one); },
                   [this](const FinishAnswer &one) { m_callers->finish(one); },
                   [this](const RefuseRequest &one) { m_callers->refuse(one); },
                   [this](const SendToPeer &one) { m_peers->run(one); },
                   [this](const ReplyToPeer &one) { m_peers->run(one); },
                   [this](const CallStore &one) { m_store->run(one); },
                   [this](const AnswerCommand &one) { m_inner->answer(one); },
                   [this](const AnswerQuery &one) { m_inner->answer(one); },
                   [this](const CountUp &one) { m_metrics.add(one); },
                   [this](const Observe &one) { m_metrics.add(one); },
                   [this](const LogChange &one) { log(one.what); },
                   [this](const ShutdownFinished &) {
                       // A moment for the last bytes to be written.
                       const timeval moment {0, 200'000};
                       event_base_loopexit(m_base.get(), &moment);
                   },
               },
               effect);
}

void Daemon::armTimer()
{
    const auto next = m_node->nextDeadline();
    if (!next) {
        return;
    }
    const auto wait = std::max(Duration(1), Duration(*next - now()));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    const timeval delay {seconds.count(), (wait - seconds).count()};
    event_add(m_timer.get(), &delay);
}

void Daemon::log(const std::string &what) const
{
    spdlog::info("{}", m_settings.logsJson ? Json::valueToQuotedString(what.c_str()) : what);
}

void Daemon::handleTimer(int /*socket*/, short /*what*/, void *daemon)
{
    static_cast<Daemon *>(daemon)->post(Tick {});
}

void Daemon::handleSignal(int /*signal*/, short /*what*/, void *daemon)
{
    static_cast<Daemon *>(daemon)->post(ShutdownRequested {});
}

std::string Daemon::metricsText() const
{
    const TrafficCount &peers = m_client.traffic(Traffic::Peers);
    const TrafficCount &store = m_client.traffic(Traffic::Store);
    const TrafficCount &reports = m_client.traffic(Traffic::Reports);
    return m_metrics.prometheusText({
        {"peer_calls_made", static_cast<double>(peers.calls)},
        {"peer_bytes_sent", static_cast<double>(peers.bytesSent)},
        {"peer_bytes_received", static_cast<double>(peers.bytesReceived)},
        {"store_calls_made", static_cast<double>(store.calls)},
        {"store_bytes", static_cast<double>(store.bytesSent + store.bytesReceived)},
        {"report_calls_made", static_cast<double>(reports.calls)},
        {"report_bytes", static_cast<double>(reports.bytesSent + reports.bytesReceived)},
        {"requests_open", static_cast<double>(m_node->requests().open())},
        {"requests_unfinished", static_cast<double>(m_node->requests().unfinished())},
        {"claims_waiting", static_cast<double>(m_node->scheduler().waitingClaims())},
        {"cells", static_cast<double>(m_node->scheduler().cells().size())},
        {"members_present", static_cast<double>(m_node->membership().presentCount())},
        {"configuration_revision", static_cast<double>(m_node->configuration().revision().value())},
        {"leaving", m_node->isLeaving() ? 1.0 : 0.0},
    });
}

} // namespace indigoway
