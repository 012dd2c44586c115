#pragma once

#include "http/eventbase.h"
#include "overload/overloadguard.h"
#include "paths/pathtimelimits.h"
#include "paths/serverpaths.h"
#include "relay/tunnelprotocol.h"
#include "relay/unreadtimes.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace indigoway {

/**
 * Opens connections to backend servers for nodes that cannot, and passes their bytes on unread. The
 * other node decides everything about its requests. A connection is opened from this node itself
 * only, so that requests cannot go around between nodes.
 *
 * The end of an answer without a length is the end of its connection. So that the end of this
 * process is never taken for it, nodes that know frames get a frame at the end of the server's
 * connection; and as long as a tunnel is open, its connections are set to be reset when the process
 * ends, which is all that nodes of earlier versions can see.
 */
class TunnelListener : public DoorKeeper
{
public:
    struct Target
    {
        ServerName server;
        std::string address; ///< "IP:port"
    };
    /** What the listener asks of the node. */
    struct Dependencies
    {
        /** Finds a server to which connections may be opened now. */
        std::function<std::optional<Target>(const ServerName &)> find;
        /** Returns any other server; nothing if there is none. */
        std::function<std::optional<Target>(const ServerName &)> findOther;
    };

    /**
     * @param guard Limits the tunnels and what they hold.
     * @param paths Records which servers this node reaches.
     */
    TunnelListener(event_base *base, OverloadGuard &guard, ServerPaths &paths,
                   Dependencies dependencies, const PathTimeLimits &limits = {});
    ~TunnelListener() override;

    /**
     * Listens on @p address, "IP:port"; port 0 selects a free port.
     * @return the bound address, or nothing on failure
     */
    std::optional<std::string> listenOn(const std::string &address);
    /** Refuses new connections and asks the other nodes for no further requests on open ones. */
    void beginLeaving();

    std::size_t openTunnels() const { return m_tunnels.size(); }
    /** Records that the process reads its connections; called several times a second. */
    void recordTick(BootTime now) { m_unreadTimes.recordTick(now); }
    /** Returns the number of tunnels on which a request is open or the end of an answer waits. */
    std::size_t busyTunnels(TimePoint now) const;
    std::uint64_t opened() const { return m_opened; }
    std::uint64_t refused() const { return m_refused; }

    Door door() const override { return Door::Relay; }
    void appendHolders(std::vector<Holder> &holders) const override;
    void shed(std::uint64_t number, ShedReason reason) override;
    void shedSlow(TimePoint /*now*/) override { }
    void reviewWaiting(TimePoint /*now*/) override { }
    bool hasWaiting() const override { return false; }

private:
    struct Tunnel;
    using TunnelNumber = Number<struct TunnelTag>;

    static void handleAccept(evconnlistener *listener, int socket, sockaddr *from, int length,
                             void *self);
    static void handleNodeRead(bufferevent *bev, void *context);
    static void handleNodeWritten(bufferevent *bev, void *context);
    static void handleNodeEvent(bufferevent *bev, short events, void *context);
    static void handleServerRead(bufferevent *bev, void *context);
    static void handleServerWritten(bufferevent *bev, void *context);
    static void handleServerEvent(bufferevent *bev, short events, void *context);
    static void handleTimer(int socket, short events, void *context);
    static void handleAcceptError(evconnlistener *listener, void *self);
    void accept(int socket);
    /** Closes tunnels that are worth less than a new one; false if there are none. */
    bool makeRoomForTunnel();
    void readRequest(Tunnel &tunnel);
    void connectTo(Tunnel &tunnel, const Target &target);
    void openServerSide(Tunnel &tunnel, const std::string &address);
    void serverConnected(Tunnel &tunnel);
    /** Handles that the connection to the server could not be opened. */
    void serverNotConnected(Tunnel &tunnel, TunnelAnswer answer);
    /**
     * Connects to another server: if that fails as well, this node may be cut off, and its failure
     * says nothing of the first one.
     */
    void checkOther(Tunnel &tunnel, const Target &other);
    void otherChecked(Tunnel &tunnel, bool isConnected);
    void refuse(Tunnel &tunnel, TunnelAnswer answer);
    void passToServer(Tunnel &tunnel);
    void passToNode(Tunnel &tunnel);
    /** Handles the frames that have arrived from the node. */
    void readFrames(Tunnel &tunnel);
    void noteBytes(Tunnel &tunnel, std::size_t bytes);
    /** Stops reading @p from while @p to has too many unsent bytes. */
    void limitUnsent(Tunnel &tunnel, bufferevent *from, bufferevent *to);
    /**
     * Tells the node how the server's connection has ended, after its last bytes.
     * @param isOrderly Without a reset, and after the whole request was sent.
     */
    void serverEnded(Tunnel &tunnel, bool isOrderly);
    void closeWhenWritten(Tunnel &tunnel);
    /** Ends the node's connection, unless the node is to close it after the last frame. */
    void lastBytesWritten(Tunnel &tunnel);
    /** Closes both connections, the node's one with a FIN. */
    void closeRegularly(Tunnel &tunnel);
    /** Closes both connections with a reset, which ends the request at the server. */
    void reset(Tunnel &tunnel);
    void close(TunnelNumber number);

    event_base *m_base;
    OverloadGuard &m_guard;
    ServerPaths &m_paths;
    Dependencies m_dependencies;
    PathTimeLimits m_limits;
    evconnlistener *m_listener = nullptr;
    EventHandle m_acceptTimer; ///< Accepts again after an error.
    UnreadTimes m_unreadTimes;
    bool m_isLeaving = false;
    std::map<TunnelNumber, std::unique_ptr<Tunnel>> m_tunnels;
    std::uint64_t m_lastTunnel = 0;
    std::uint64_t m_opened = 0;
    std::uint64_t m_refused = 0;
};

} // namespace indigoway
