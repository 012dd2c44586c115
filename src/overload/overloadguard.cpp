#include "overloadguard.h"

#include "http/timers.h"

#include <event2/event.h>

#include <malloc.h>

#include <algorithm>

namespace indigoway {

namespace {

constexpr timeval ReviewInterval {0, 50'000};
/** Share of the budget that is held after something was given up. */
constexpr double RelievedShare = 0.7;

} // namespace

const char *nameOf(ShedReason reason)
{
    static constexpr std::array<const char *, ShedReasonCount> Names {
        "no_room", "memory", "connections", "descriptors", "too_slow", "unread_answer"};
    return Names[static_cast<std::size_t>(reason)];
}

OverloadGuard::OverloadGuard(event_base *base, const MachineResources &machine)
    : m_machine(machine)
    , m_budget(machine.memoryBytes > 0 ? clientBytes(machine) : ByteBudget::Unlimited)
    , m_timer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *self) { static_cast<OverloadGuard *>(self)->tick(); },
          this))
{ }

std::size_t OverloadGuard::maxConnections(Door door) const
{
    return m_machine.memoryBytes > 0 ? indigoway::maxConnections(m_machine, door)
                                     : ByteBudget::Unlimited;
}

void OverloadGuard::add(DoorKeeper &keeper)
{
    m_keepers.push_back(&keeper);
    m_waiters.push_back(&keeper);
}

void OverloadGuard::remove(DoorKeeper &keeper)
{
    std::erase(m_keepers, &keeper);
    std::erase(m_waiters, &keeper);
}

void OverloadGuard::relieve()
{
    if (m_budget.level() != ByteBudget::Level::Exhausted || m_isRelieving) {
        return;
    }
    m_isRelieving = true;
    std::vector<Holder> holders;
    for (const DoorKeeper *keeper : m_keepers) {
        keeper->appendHolders(holders);
    }
    const TimePoint now = steadyNow();
    const bool includesAnswering = m_budget.held() > m_budget.capacity();
    for (const Holder &one : chooseForBytes(std::move(holders), m_budget.excessOver(RelievedShare),
                                            includesAnswering, now)) {
        for (DoorKeeper *keeper : m_keepers) {
            if (keeper->door() == one.door) {
                keeper->shed(one.number, ShedReason::Memory);
            }
        }
    }
    m_isRelieving = false;
    watch();
}

void OverloadGuard::relieveSoon()
{
    if (m_budget.level() == ByteBudget::Level::Exhausted) {
        event_active(m_timer.get(), EV_TIMEOUT, 0);
    }
}

void OverloadGuard::watch()
{
    if (event_pending(m_timer.get(), EV_TIMEOUT, nullptr) == 0) {
        event_add(m_timer.get(), &ReviewInterval);
    }
}

void OverloadGuard::tick()
{
    const TimePoint now = steadyNow();
    const auto hasWaiting = [this] {
        return std::ranges::any_of(m_waiters, [](const auto *one) { return one->hasWaiting(); });
    };
    if (hasWaiting()) {
        for (DoorKeeper *keeper : m_keepers) {
            keeper->shedSlow(now);
        }
    }
    for (RoomWaiter *waiter : m_waiters) {
        waiter->reviewWaiting(now);
    }
    relieve();
    if (hasWaiting() || m_budget.level() != ByteBudget::Level::Calm) {
        watch();
    }
}

void OverloadGuard::returnUnusedMemory()
{
    // The allocator keeps small blocks between those still in use.
    constexpr std::size_t WorthwhileBytes = std::size_t {4} * 1024 * 1024;
    m_highestHeld = std::max(m_highestHeld, m_budget.held());
    if (m_highestHeld > m_budget.held() + WorthwhileBytes) {
        malloc_trim(0);
        m_highestHeld = m_budget.held();
    }
}

void OverloadGuard::count(Door door, ShedReason reason, const std::string &detail)
{
    ++m_counts[static_cast<std::size_t>(door)][static_cast<std::size_t>(reason)];
    if (m_recorder) {
        m_recorder(door, reason, detail);
    }
}

std::uint64_t OverloadGuard::counted(Door door, ShedReason reason) const
{
    return m_counts[static_cast<std::size_t>(door)][static_cast<std::size_t>(reason)];
}

} // namespace indigoway
