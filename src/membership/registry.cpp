#include "registry.h"

#include "core/jsontext.h"
#include "core/turn.h"
#include "membership/membership.h"

#include <algorithm>

namespace indigoway {

namespace {

const std::string KeyPrefix = "/indigoway/nodes/";
constexpr Duration LeaseTime = std::chrono::seconds(15);
constexpr Duration KeepAliveInterval = std::chrono::seconds(5);
constexpr Duration ListInterval = std::chrono::seconds(5);
constexpr Duration MaxListingAge = std::chrono::seconds(30);

std::string registrationKey(std::size_t index)
{
    return KeyPrefix + std::to_string(index);
}

} // namespace

std::string memberText(const MemberUpdate &member)
{
    Json::Value value;
    value["node"] = member.life.node.text();
    value["incarnation"] = Json::UInt64(member.life.incarnation.value());
    value["callers"] = member.callerAddress;
    value["peers"] = member.peerAddress;
    value["domain"] = member.domain.text();
    return jsonText(value);
}

std::optional<MemberUpdate> parseMember(const std::string &text)
{
    const Json::Value value = parseEntry(text);
    MemberUpdate member;
    member.life = {NodeName(stringMember(value, "node")),
                   Incarnation(numberMember(value, "incarnation"))};
    member.callerAddress = stringMember(value, "callers");
    member.peerAddress = stringMember(value, "peers");
    member.domain = DomainName(stringMember(value, "domain"));
    if (member.life.node.isEmpty() || member.life.incarnation.isNone()
        || member.peerAddress.empty()) {
        return std::nullopt;
    }
    return member;
}

void Registry::start(Turn &turn)
{
    m_timers.set(Timer::List, turn.now);
    m_timers.set(Timer::KeepAlive, turn.now);
}

void Registry::leave(Turn &turn)
{
    m_isLeaving = true;
    if (!m_registration) {
        return;
    }
    StoreTransaction release;
    release.conditions = {{registrationKey(*m_registration), 0, memberText(turn.members.self())}};
    release.deletes = {registrationKey(*m_registration)};
    turn.callStore(release);
    m_registration.reset();
}

bool Registry::storeAnswered(Turn &turn, const StoreAnswered &answer)
{
    const auto it = m_calls.find(answer.call);
    if (it == m_calls.end()) {
        return false;
    }
    const Purpose purpose = it->second;
    m_calls.erase(it);
    const auto *result = std::get_if<StoreResult>(&answer.outcome);
    if (!result) {
        return true;
    }
    switch (purpose) {
    case Purpose::List:
        handleListing(turn, *result);
        break;
    case Purpose::Lease:
        m_lease = result->lease;
        m_leaseExpiresAt = turn.now + LeaseTime;
        registerSelf(turn);
        break;
    case Purpose::KeepAlive:
        if (result->isApplied) {
            m_leaseExpiresAt = turn.now + LeaseTime;
        } else {
            m_lease = 0;
            m_registration.reset();
        }
        break;
    case Purpose::Register:
        if (result->isApplied) {
            m_registration = m_requestedIndex;
        } else {
            m_occupied.insert(m_requestedIndex);
            registerSelf(turn);
        }
        break;
    }
    return true;
}

void Registry::runDue(Turn &turn)
{
    for (const Timer timer : m_timers.takeDue(turn.now)) {
        if (timer == Timer::List) {
            // Unregistered nodes poll less often the more nodes there are.
            const std::size_t nodes = turn.members.presentCount();
            const auto factor =
                isRegistered() || nodes < MaxRegistrations ? 1 : nodes / MaxRegistrations;
            m_timers.set(timer, turn.now + turn.jittered(ListInterval * factor));
            list(turn);
        } else {
            m_timers.set(timer, turn.now + KeepAliveInterval);
            if (m_lease != 0 && turn.now >= m_leaseExpiresAt) {
                m_lease = 0;
                m_registration.reset();
            }
            if (m_lease != 0) {
                call(turn, Purpose::KeepAlive, StoreKeepAlive {m_lease});
            }
        }
    }
}

std::optional<bool> Registry::lists(TimePoint now, const NodeLife &life) const
{
    if (!m_listedAt || now - *m_listedAt > MaxListingAge) {
        return std::nullopt;
    }
    return m_listedLives.contains(life);
}

void Registry::list(Turn &turn)
{
    call(turn, Purpose::List, StoreGet {KeyPrefix, true});
}

void Registry::registerSelf(Turn &turn)
{
    if (m_isLeaving || m_registration || m_lease == 0 || m_occupied.size() >= MaxRegistrations) {
        return;
    }
    do {
        m_requestedIndex = turn.below(MaxRegistrations);
    } while (m_occupied.contains(m_requestedIndex));
    StoreTransaction create;
    create.conditions = {{registrationKey(m_requestedIndex), 0, std::nullopt}};
    create.puts = {{registrationKey(m_requestedIndex), memberText(turn.members.self()), m_lease}};
    call(turn, Purpose::Register, create);
}

void Registry::call(Turn &turn, Purpose purpose, StoreRequest request)
{
    m_calls[turn.callStore(std::move(request))] = purpose;
}

void Registry::handleListing(Turn &turn, const StoreResult &result)
{
    m_occupied.clear();
    m_listedLives.clear();
    m_discovered.clear();
    m_listedAt = turn.now;
    bool isListed = false;
    for (const StoreEntry &entry : result.entries) {
        const auto member = parseMember(entry.value);
        std::size_t index = 0;
        try {
            index = std::stoul(entry.key.substr(KeyPrefix.size()));
        } catch (const std::exception &) {
            continue;
        }
        m_occupied.insert(index);
        if (!member) {
            continue;
        }
        m_listedLives.insert(member->life);
        if (member->life == turn.members.life()) {
            // Still registered, or registered by a write whose answer was lost.
            m_registration = index;
            isListed = true;
        } else if (member->life.node != turn.members.life().node) {
            m_hasDiscoveredOthers = true;
            m_discovered.push_back(*member);
        }
    }
    if (m_isLeaving || isListed) {
        return;
    }
    m_registration.reset();
    if (m_occupied.size() >= MaxRegistrations) {
        return;
    }
    if (m_lease == 0) {
        call(turn, Purpose::Lease, StoreGrantLease {LeaseTime});
    } else {
        registerSelf(turn);
    }
}

} // namespace indigoway
