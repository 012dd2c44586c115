#pragma once

#include "core/turnrandom.h"

#include <indigoway/deployment.h>
#include <indigoway/effects.h>
#include <indigoway/ids.h>

#include <string>
#include <utility>

namespace indigoway {

class CellMap;
class Membership;

/** Generates call numbers that are unique within one incarnation of a node. */
class CallNumbers
{
public:
    template <typename Kind>
    Kind next()
    {
        return Kind(++m_last);
    }

private:
    std::uint64_t m_last = 0;
};

/**
 * The context in which a subsystem handles one event: the time, the random numbers, the current
 * configuration and membership view, and the list that effects are added to.
 */
class Turn
{
public:
    Turn(TimePoint present, std::uint64_t entropy, const Deployment &currentDeployment,
         const CellMap &currentCells, const Membership &currentMembers, CallNumbers &callNumbers,
         Effects &effects)
        : now(present)
        , deployment(currentDeployment)
        , cells(currentCells)
        , members(currentMembers)
        , numbers(callNumbers)
        , m_random(entropy)
        , m_effects(effects)
    { }

    const TimePoint now;
    const Deployment &deployment;
    const CellMap &cells;
    const Membership &members;
    CallNumbers &numbers;

    void add(Effect effect) { m_effects.push_back(std::move(effect)); }
    void count(Counter counter, std::uint64_t by = 1) { add(CountUp {counter, by}); }
    void log(std::string what) { add(LogChange {std::move(what)}); }

    /** Calls a peer. Exactly one PeerAnswered event with the returned number follows. */
    PeerCallNumber ask(const NodeName &to, PeerRequest request, Duration timeout);
    /** Calls a peer at @p address, which need not be a member yet. */
    PeerCallNumber askAt(const NodeName &to, const std::string &address, PeerRequest request,
                         Duration timeout);
    void reply(PeerRequestNumber number, PeerReply reply)
    {
        add(ReplyToPeer {number, std::move(reply)});
    }
    /** Calls the store. Exactly one StoreAnswered event with the returned number follows. */
    StoreCallNumber callStore(StoreRequest request);

    /** Returns a random number from 0 to @p bound - 1, or 0 if @p bound is 0. */
    std::uint64_t below(std::uint64_t bound)
    {
        return bound < 2 ? 0 : std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }
    /** Returns a random duration from 0.5 to 1.5 times @p duration, to desynchronize the nodes. */
    Duration jittered(Duration duration)
    {
        return duration / 2 + Duration(below(static_cast<std::uint64_t>(duration.count()) + 1));
    }
    TurnRandom &random() { return m_random; }

private:
    TurnRandom m_random;
    Effects &m_effects;
};

} // namespace indigoway
