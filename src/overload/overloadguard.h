#pragma once

#include "http/eventbase.h"
#include "overload/bytebudget.h"
#include "overload/shedding.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace indigoway {

/** Why a client was refused or its connection closed. */
enum class ShedReason : std::uint8_t {
    NoRoom,       ///< No room for a large request; refused before its body was read.
    Memory,       ///< Held the most and moved the least while memory was exhausted.
    Connections,  ///< Closed for new connections, or not accepted.
    Descriptors,  ///< The process had no descriptor left for it.
    TooSlow,      ///< Sent or read too slowly for the limits.
    UnreadAnswer, ///< Left too much of an answer unread.
};
constexpr std::size_t ShedReasonCount = 6;
const char *nameOf(ShedReason reason);

/** Transfers that wait for room in the budget. */
class RoomWaiter
{
public:
    RoomWaiter() = default;
    RoomWaiter(const RoomWaiter &) = delete;
    RoomWaiter &operator=(const RoomWaiter &) = delete;
    virtual ~RoomWaiter() = default;

    /** Goes on where there is room, and gives up what has waited too long. */
    virtual void reviewWaiting(TimePoint now) = 0;
    virtual bool hasWaiting() const = 0;
};

/** What listens at a door, as the guard sees it. */
class DoorKeeper : public RoomWaiter
{
public:
    virtual Door door() const = 0;
    virtual void appendHolders(std::vector<Holder> &holders) const = 0;
    /** Refuses the client if its request has not run, and closes its connection. */
    virtual void shed(std::uint64_t number, ShedReason reason) = 0;
    /** Closes clients that keep others waiting and hardly move their bytes. */
    virtual void shedSlow(TimePoint now) = 0;
};

/**
 * Keeps what a process holds for its clients within its budget, whatever they do. Idle while memory
 * is plentiful.
 */
class OverloadGuard
{
public:
    using Recorder = std::function<void(Door, ShedReason, const std::string &detail)>;

    /** @param machine Limits the process; nothing is limited if it is all zero. */
    OverloadGuard(event_base *base, const MachineResources &machine);
    OverloadGuard(const OverloadGuard &) = delete;
    OverloadGuard &operator=(const OverloadGuard &) = delete;
    ~OverloadGuard() = default;

    ByteBudget &budget() { return m_budget; }
    const ByteBudget &budget() const { return m_budget; }
    std::size_t maxConnections(Door door) const;
    void setRecorder(Recorder recorder) { m_recorder = std::move(recorder); }
    void add(DoorKeeper &keeper);
    void remove(DoorKeeper &keeper);
    void add(RoomWaiter &waiter) { m_waiters.push_back(&waiter); }
    void remove(RoomWaiter &waiter) { std::erase(m_waiters, &waiter); }
    /** Gives up what is necessary after a client's bytes have grown; call it outside of callbacks
     *  that go on with that client. */
    void relieve();
    /** Does so from the event loop. */
    void relieveSoon();
    /** Makes the guard review the clients that wait for room. */
    void watch();
    /** Returns to the system what the allocator keeps of bytes that clients held. */
    void returnUnusedMemory();
    void count(Door door, ShedReason reason, const std::string &detail);
    std::uint64_t counted(Door door, ShedReason reason) const;

private:
    void tick();

    MachineResources m_machine;
    ByteBudget m_budget;
    EventHandle m_timer;
    Recorder m_recorder;
    std::vector<DoorKeeper *> m_keepers;
    std::vector<RoomWaiter *> m_waiters; ///< Including the keepers.
    bool m_isRelieving = false;
    std::size_t m_highestHeld = 0; ///< Since the allocator last returned memory.
    std::array<std::array<std::uint64_t, ShedReasonCount>, DoorCount> m_counts {};
};

} // namespace indigoway
