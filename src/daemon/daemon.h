#pragma once

#include "daemon/daemonsettings.h"
#include "etcd/storeclient.h"
#include "http/backendcalls.h"
#include "http/callergateway.h"
#include "http/httpclient.h"
#include "http/innergateway.h"
#include "metrics/metrics.h"
#include "overload/overloadguard.h"
#include "peers/peerlink.h"

#include <memory>
#include <random>

namespace indigoway {

/** Wires one node's reducer to sockets and time: events in, effects carried out. */
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Serves until the node has left; the process's exit code. */
    int run();

private:
    static void handleTimer(int socket, short what, void *daemon);
    static void handleSignal(int signal, short what, void *daemon);
    bool listen();
    void post(const Event &event);
    void carryOut(const Effects &effects);
    void run(const Effect &effect);
    void armTimer();
    /** One line in the log; a JSON string where the log is JSON. */
    void log(const std::string &what) const;
    std::string metricsText() const;

    DaemonSettings m_settings;
    EventBase m_base;
    EventHandle m_timer;
    EventHandle m_terminate;
    EventHandle m_interrupt;
    std::mt19937_64 m_random;
    OverloadGuard m_guard; ///< Outlives all that holds bytes for clients.
    Metrics m_metrics;
    std::unique_ptr<Node> m_node;
    HttpClient m_client;
    std::unique_ptr<CallerGateway> m_callers;
    std::unique_ptr<InnerGateway> m_inner;
    std::unique_ptr<BackendCalls> m_backends;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<PeerLink> m_peers;
};

} // namespace indigoway
