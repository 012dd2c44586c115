#pragma once

#include "engineruns.h"
#include "eventloop.h"
#include "http/httpserver.h"

#include <indigoway/ids.h>

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace indigoway::standins {

/**
 * Stand-in of the users' platform: its key-value service (lists, watches, conditions, leases that
 * end) and backend servers that have announced themselves there. As much as tests of whole
 * processes need. Faults and changes are at /control of the service's address; a request whose
 * body begins with "crash", or whose prompt has the part "dead" before its last one, ends each
 * server that begins to write an answer to it.
 */
class SharedPlatform
{
public:
    using Addresses = std::vector<std::string>;

    /**
     * @param announced Addresses that the servers announce in place of their own, if any.
     * @param views The servers' addresses as seen by the users of each further address of the
     * service, so that single nodes can be cut off from the servers.
     * @param decodeEngines How many engines generate tokens.
     * @param prefillEngines How many engines process prompts.
     */
    SharedPlatform(EventLoop &loop, Addresses announced, const std::vector<Addresses> &views = {},
                   int decodeEngines = 2, int prefillEngines = 1);

    /** The service's address; nothing if it cannot be listened on. */
    std::optional<std::string> listenOn(const std::string &address);

private:
    /** An address of the service with its view of the servers. */
    struct Entrance
    {
        std::unique_ptr<HttpServer> server;
        Addresses addresses; ///< Of the servers; empty for the announced ones.
    };
    struct Item
    {
        std::string value; ///< In base64, as it came.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        bool isRemoval = false;
    };
    struct Watch
    {
        Entrance *entrance = nullptr;
        ExchangeNumber exchange;
        std::uint64_t after = 0;
    };
    struct Lease
    {
        std::chrono::milliseconds lifetime {};
        std::uint64_t renewals = 0; ///< An end that was planned before a renewal is void.
    };
    struct Worker
    {
        std::string name;
        std::string phase;                  ///< Empty for plain services.
        std::unique_ptr<HttpServer> server; ///< Null from a crash to the next start.
        std::string address;
        std::string version = "v1"; ///< Of its software.
        std::string announced;      ///< What it announces in place of its address, if anything.
        std::uint64_t lives = 0;
        HttpHeaders advice;       ///< Added to the head of each answer.
        std::string refusesFor;   ///< Retry-After of its refusals; empty if it serves requests.
        std::uint64_t called = 0; ///< Requests that reached it, refused ones included.
    };

    std::unique_ptr<Entrance> makeEntrance(Addresses addresses);
    void take(Entrance &entrance, const HttpRequest &request);
    void list(Entrance &entrance, const HttpRequest &request);
    void watch(Entrance &entrance, const HttpRequest &request);
    void answerWatch(const Watch &watch);
    void commit(Entrance &entrance, const HttpRequest &request);
    void grantLease(Entrance &entrance, const HttpRequest &request);
    /** The value of an item as seen at @p entrance. */
    std::string valueAt(const Entrance &entrance, const std::string &key, const Item &item) const;
    /** The worker that any view has at @p address; null if there is none. */
    const Worker *workerAt(const std::string &address) const;
    void planEnd(std::uint64_t lease);
    void endLease(std::uint64_t lease);
    void put(const std::string &key, const std::string &text, std::uint64_t lease = 0);
    void remove(const std::string &key);
    void changed(const std::string &key, bool isRemoval);
    /** A reservation or result under a new id, which lapses if it is not used. */
    std::string hold(std::chrono::milliseconds lifetime);
    bool unhold(const std::string &id) { return m_held.erase(id) > 0; }
    void control(Entrance &entrance, const HttpRequest &request);
    void addWorker(const std::string &name, const std::string &phase);
    /** Listens and announces itself, as another life of it. */
    void start(Worker &worker, const std::string &address);
    /** Closes all connections at once; starts again at its address after a while. */
    void crash(Worker &worker);
    /** When its present life began; another figure for each life. */
    static std::uint64_t bornAt(const Worker &worker);
    /** Whether @p request, which is run now, is one that crashes whatever runs it. */
    static bool crashes(const HttpRequest &request);
    static bool hasCrashingPart(const HttpRequest &request);
    /** Sets what the named worker says in its answers; headers, and the pause of refusals. */
    void advise(const Json::Value &advice);
    /** Ends the named worker and starts it again with another software version. */
    void upgrade(const Json::Value &upgrade);
    void work(Worker &worker, const HttpRequest &request);
    void answer(Worker &worker, const HttpRequest &request, int status, const std::string &body,
                HttpHeaders headers = {});
    /** Executes a generation, or continues one with its KV cache from here or elsewhere. */
    void generate(Worker &worker, const HttpRequest &request, HttpHeaders headers);
    /**
     * Takes the KV cache that @p request refers to, which can be used once.
     * @return False if it is not there; true if the request refers to none.
     */
    bool takeKvCache(const Worker &worker, const HttpRequest &request);
    void moveRun(Worker &worker, const HttpRequest &request);
    /** Breaks the connection of the run of @p request, which the engine does not drop. */
    void cutRun(Worker &worker, const HttpRequest &request);
    void stream(Worker &worker, const HttpRequest &request, std::uint64_t life, int event);
    void writeRouting(std::uint64_t version, const std::string &extraPrefix);
    /** Writes the state that a server announces. */
    void setState(const std::string &worker, const char *state);
    /** A server runs @p request: for whom, and with what that it should not have got. */
    void noteRun(const HttpRequest &request);
    void reply(HttpServer &server, const HttpRequest &request, int status, const std::string &body,
               HttpHeaders headers = {});

    EventLoop &m_loop;
    std::vector<std::unique_ptr<Entrance>> m_entrances; ///< The first has the announced addresses.
    bool m_isDown = false;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastLease = 0;
    std::uint64_t m_callsWithCrashingPart =
        0; ///< Requests that reached a server, prefills included.
    std::map<std::string, Item> m_items;
    std::deque<Change> m_changes;
    std::vector<Watch> m_watches;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, std::uint32_t> m_runs;        ///< By a caller's id.
    std::map<std::string, std::string> m_organisations; ///< That it ran for, by a caller's id.
    std::uint32_t m_keysSeen = 0;                       ///< Requests that came with their key.
    Json::Value m_declared;                             ///< Organisations of the desired state.
    std::set<std::string> m_held; ///< Reservations and handles not given back.
    std::uint64_t m_lastHold = 0;
    EngineRuns m_engineRuns;
    std::map<std::string, std::uint32_t> m_continued; ///< Continuations, by a caller's id.
    /** Software versions that have sent events of a stream, by the id of its first attempt. */
    std::map<std::string, std::set<std::string>> m_streamVersions;
    bool m_keepsBackups = false;
    bool m_movesRuns = false;
    int m_decodeEngines;
    int m_prefillEngines;
    std::size_t m_plainPadding = 0; ///< Bytes added to each plain answer, but to GET requests.
    std::size_t m_getPadding = 0;   ///< Bytes added to each plain answer to a GET request.
    int m_resumableEvents; ///< Events of a stream on the route whose streams may be resumed.
    int m_streamEvents;    ///< Events of a stream.
    int m_killAfter = 0;   ///< The next engine to send this event crashes; 0: none.
    int m_resetAfter = 0;  ///< The next stream to reach this event is reset; 0: none.
    std::uint32_t m_crashes = 0;
    Addresses m_announced;
};

} // namespace indigoway::standins
