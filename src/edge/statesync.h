#pragma once

#include "fleet/nodeannouncer.h"
#include "fleet/noderoster.h"
#include "http/eventbase.h"
#include "http/httpclient.h"
#include "store/mirror.h"

#include <array>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace indigoway {

/** Which part of the store a mirror copies. */
enum class MirrorKind {
    Routing,
    Servers,
    Nodes,
    Size,
};

const char *nameOf(MirrorKind kind);

/**
 * Keeps this node's copies of the store up to date: by watches, and by asking other nodes for
 * theirs while the store does not answer this one. Also keeps the node's own entry there.
 */
class StateSync
{
public:
    using ChangeHandler =
        std::function<void(MirrorKind, const std::string &key, const std::string *value)>;
    using RecordHandler = std::function<void(const std::string &kind, const std::string &detail)>;
    using PeersHandler = std::function<std::vector<std::string>()>;

    struct Wiring
    {
        std::array<std::string, static_cast<std::size_t>(MirrorKind::Size)> prefixes;
        std::string ownKey;
        std::string ownValue;
        ChangeHandler changed;
        RecordHandler record;
        PeersHandler peers; ///< Control addresses of other nodes, seeds included.
    };

    StateSync(event_base *base, KeyValueStore &store, HttpClient &client, Wiring wiring);

    void start();
    /** Ends this node's entry; nothing is announced any more. */
    void leave();
    /** Asks the store anew at once; for a process that stood still for some time. */
    void refresh();
    const Mirror &mirror(MirrorKind kind) const
    {
        return *m_mirrors[static_cast<std::size_t>(kind)];
    }
    bool isAnnounced() const { return m_announcer.isAnnounced(); }
    /** The answer to another node's question for copy @p of newer than @p after; may be empty. */
    std::string answerPeer(const std::string &of, std::uint64_t after) const;

private:
    void pump();
    void pumpMirror(MirrorKind kind);
    void callFailed(MirrorKind kind, StoreFault fault);
    void pumpAnnouncer();
    void askPeers(TimePoint now);
    void askPeer(MirrorKind kind, const std::string &address);
    void noteStore(bool isReachable, const std::string &why);
    Mirror &own(MirrorKind kind) { return *m_mirrors[static_cast<std::size_t>(kind)]; }

    event_base *m_base;
    KeyValueStore &m_store;
    HttpClient &m_client;
    Wiring m_wiring;
    EventHandle m_timer;
    std::array<std::unique_ptr<Mirror>, static_cast<std::size_t>(MirrorKind::Size)> m_mirrors;
    NodeAnnouncer m_announcer;
    bool m_isStoreReachable = false;
    TimePoint m_peersAskedAt {};
    std::size_t m_nextPeer = 0;
};

} // namespace indigoway
