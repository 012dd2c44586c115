#include "statesync.h"

#include "edge/mirrorexchange.h"

#include <event2/event.h>

namespace indigoway {

namespace {

constexpr std::array<MirrorKind, 3> AllMirrors {MirrorKind::Routing, MirrorKind::Servers,
                                                MirrorKind::Nodes};
/** How long the store holds a watch. Bounds for how long a connection that fell silent is used. */
constexpr Duration WatchWait = std::chrono::milliseconds(1000);
constexpr timeval TickEvery {0, 100'000};
/** While the store does not answer: a change elsewhere reaches this node so much later. */
constexpr Duration AskPeersEvery = std::chrono::milliseconds(300);
constexpr Duration PeerTimeout = std::chrono::milliseconds(400);

TimePoint present()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

const char *nameOf(MirrorKind kind)
{
    switch (kind) {
    case MirrorKind::Routing:
        return "routing";
    case MirrorKind::Servers:
        return "servers";
    case MirrorKind::Nodes:
        return "nodes";
    case MirrorKind::Size:
        break;
    }
    return "";
}

StateSync::StateSync(event_base *base, KeyValueStore &store, HttpClient &client, Wiring wiring)
    : m_base(base)
    , m_store(store)
    , m_client(client)
    , m_wiring(std::move(wiring))
    , m_timer(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void *self) { static_cast<StateSync *>(self)->pump(); }, this))
{
    for (const MirrorKind kind : AllMirrors) {
        m_mirrors[static_cast<std::size_t>(kind)] = std::make_unique<Mirror>(
            m_wiring.prefixes[static_cast<std::size_t>(kind)],
            [this, kind](const std::string &key, const std::string *value) {
                if (kind == MirrorKind::Nodes && !value && key == m_wiring.ownKey) {
                    m_announcer.entryVanished();
                }
                m_wiring.changed(kind, key, value);
            });
    }
}

void StateSync::start()
{
    event_add(m_timer.get(), &TickEvery);
    pump();
}

void StateSync::leave()
{
    const StoreLease lease = m_announcer.leave();
    if (!lease.isNone()) {
        m_store.endLease(lease, [this](const std::variant<StoreDone, StoreFault> &result) {
            if (const auto *fault = std::get_if<StoreFault>(&result)) {
                m_wiring.record("entry_not_ended", nameOf(*fault));
            }
        });
    }
}

void StateSync::refresh()
{
    for (const MirrorKind kind : AllMirrors) {
        own(kind).refresh();
    }
    pump();
}

std::string StateSync::answerPeer(const std::string &of, std::uint64_t after) const
{
    for (const MirrorKind kind : AllMirrors) {
        if (of == nameOf(kind) && mirror(kind).asOf() > after) {
            return encodeSnapshot(mirror(kind).snapshot());
        }
    }
    return {};
}

void StateSync::pump()
{
    for (const MirrorKind kind : AllMirrors) {
        pumpMirror(kind);
    }
    pumpAnnouncer();
    askPeers(present());
}

void StateSync::pumpMirror(MirrorKind kind)
{
    Mirror &one = own(kind);
    const auto call = one.nextCall(present());
    if (!call) {
        return;
    }
    const std::uint64_t generation = one.generation();
    if (const auto *list = std::get_if<ListCall>(&*call)) {
        m_store.list(one.prefix(), list->after, [this, kind, generation](const auto &result) {
            if (generation != own(kind).generation()) {
                return;
            }
            if (const auto *fault = std::get_if<StoreFault>(&result)) {
                callFailed(kind, *fault);
            } else {
                own(kind).listed(present(), std::get<StoredPage>(result));
                noteStore(true, {});
            }
            pumpMirror(kind);
        });
        return;
    }
    const std::uint64_t revision = std::get<WatchCall>(*call).revision;
    m_store.watch(one.prefix(), revision, WatchWait, [this, kind, generation](const auto &result) {
        if (generation != own(kind).generation()) {
            return;
        }
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            callFailed(kind, *fault);
        } else {
            own(kind).watched(present(), std::get<StoredChanges>(result));
            noteStore(true, {});
        }
        pumpMirror(kind);
    });
}

void StateSync::callFailed(MirrorKind kind, StoreFault fault)
{
    own(kind).failed(present(), fault);
    noteStore(fault == StoreFault::HistoryGone, nameOf(fault));
}

void StateSync::pumpAnnouncer()
{
    const auto call = m_announcer.nextCall(present());
    if (!call) {
        return;
    }
    const auto done = [this](const std::variant<StoreDone, StoreFault> &result) {
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            m_announcer.failed(present(), *fault);
            m_wiring.record("entry_not_kept", nameOf(*fault));
            return false;
        }
        return true;
    };
    if (std::holds_alternative<GrantLeaseCall>(*call)) {
        m_store.grantLease(NodeAnnouncer::LeaseLifetime, [this](const auto &result) {
            if (const auto *fault = std::get_if<StoreFault>(&result)) {
                m_announcer.failed(present(), *fault);
            } else {
                m_announcer.leaseGranted(present(), std::get<GrantedLease>(result).lease);
            }
            pumpAnnouncer();
        });
    } else if (const auto *put = std::get_if<PutEntryCall>(&*call)) {
        m_store.put({m_wiring.ownKey, m_wiring.ownValue, put->lease},
                    [this, done](const auto &result) {
                        if (done(result)) {
                            m_announcer.entryWritten(present());
                        }
                        pumpAnnouncer();
                    });
    } else {
        m_store.renewLease(std::get<RenewLeaseCall>(*call).lease, [this, done](const auto &result) {
            if (done(result)) {
                m_announcer.leaseRenewed(present());
            }
            pumpAnnouncer();
        });
    }
}

void StateSync::askPeers(TimePoint now)
{
    if (now < m_peersAskedAt + AskPeersEvery) {
        return;
    }
    std::vector<std::string> peers;
    for (const MirrorKind kind : AllMirrors) {
        if (!mirror(kind).isStale(now)) {
            continue;
        }
        if (peers.empty()) {
            m_peersAskedAt = now;
            peers = m_wiring.peers();
            ++m_nextPeer;
        }
        if (peers.empty()) {
            return;
        }
        askPeer(kind, peers[m_nextPeer % peers.size()]);
    }
}

void StateSync::askPeer(MirrorKind kind, const std::string &address)
{
    HttpCall call;
    call.address = address;
    call.path = std::string("/v1/mirror?of=") + nameOf(kind)
        + "&after=" + std::to_string(mirror(kind).asOf());
    call.timeout = PeerTimeout;
    call.traffic = Traffic::Peers;
    m_client.start(std::move(call), [this, kind, address](const HttpAnswer &answer) {
        constexpr int Ok = 200;
        if (answer.end != HttpAnswer::End::Complete || answer.status != Ok) {
            return; // Another peer is asked next time.
        }
        const auto snapshot = decodeSnapshot(answer.body);
        if (!snapshot) {
            m_wiring.record("peer_unreadable", address);
            return;
        }
        if (own(kind).takeSnapshot(*snapshot)) {
            m_wiring.record("news_from_peer",
                            std::string("of=") + nameOf(kind) + " from=" + address
                                + " as_of=" + std::to_string(snapshot->asOf));
        }
    });
}

void StateSync::noteStore(bool isReachable, const std::string &why)
{
    if (isReachable == m_isStoreReachable) {
        return;
    }
    m_isStoreReachable = isReachable;
    m_wiring.record(isReachable ? "store_reached" : "store_lost", why);
}

} // namespace indigoway
