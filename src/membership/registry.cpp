#include "registry.h"

#include "core/jsontext.h"
#include "core/turn.h"
#include "membership/membership.h"

#include <algorithm>

namespace indigoway {

namespace {

const std::string Prefix = "/indigoway/nodes/";
constexpr Duration LeaseTime = std::chrono::seconds(15);
constexpr Duration KeepAliveInterval = std::chrono::seconds(5);
constexpr Duration ListInterval = std::chrono::seconds(5);
constexpr Duration ListingIsRecent = std::chrono::seconds(30);

std::string placeKey(std::size_t place)
{
    return Prefix + std::to_string(place);
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
    const Json::Value value = parseJson(text);
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
    if (!m_place) {
        return;
    }
    StoreTransaction release;
    release.conditions = {{placeKey(*m_place), 0, memberText(turn.members.self())}};
    release.deletes = {placeKey(*m_place)};
    turn.callStore(release);
    m_place.reset();
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
        listed(turn, *result);
        break;
    case Purpose::Lease:
        m_lease = result->lease;
        m_leaseEnds = turn.now + LeaseTime;
        take(turn);
        break;
    case Purpose::KeepAlive:
        if (result->isApplied) {
            m_leaseEnds = turn.now + LeaseTime;
        } else {
            m_lease = 0;
            m_place.reset();
        }
        break;
    case Purpose::Take:
        if (result->isApplied) {
            m_place = m_wanted;
        } else {
            m_taken.insert(m_wanted);
            take(turn);
        }
        break;
    }
    return true;
}

void Registry::runDue(Turn &turn)
{
    for (const Timer timer : m_timers.takeDue(turn.now)) {
        if (timer == Timer::List) {
            // Nodes without a place ask the less often the more nodes there are.
            const std::size_t nodes = turn.members.presentCount();
            const auto factor = holdsPlace() || nodes < Places ? 1 : nodes / Places;
            m_timers.set(timer, turn.now + turn.jittered(ListInterval * factor));
            list(turn);
        } else {
            m_timers.set(timer, turn.now + KeepAliveInterval);
            if (m_lease != 0 && turn.now >= m_leaseEnds) {
                m_lease = 0;
                m_place.reset();
            }
            if (m_lease != 0) {
                call(turn, Purpose::KeepAlive, StoreKeepAlive {m_lease});
            }
        }
    }
}

std::optional<bool> Registry::lists(TimePoint now, const NodeLife &life) const
{
    if (!m_listedAt || now - *m_listedAt > ListingIsRecent) {
        return std::nullopt;
    }
    return m_lives.contains(life);
}

void Registry::list(Turn &turn)
{
    call(turn, Purpose::List, StoreGet {Prefix, true});
}

void Registry::take(Turn &turn)
{
    if (m_isLeaving || m_place || m_lease == 0 || m_taken.size() >= Places) {
        return;
    }
    do {
        m_wanted = turn.below(Places);
    } while (m_taken.contains(m_wanted));
    StoreTransaction create;
    create.conditions = {{placeKey(m_wanted), 0, std::nullopt}};
    create.puts = {{placeKey(m_wanted), memberText(turn.members.self()), m_lease}};
    call(turn, Purpose::Take, create);
}

void Registry::call(Turn &turn, Purpose purpose, StoreRequest request)
{
    m_calls[turn.callStore(std::move(request))] = purpose;
}

void Registry::listed(Turn &turn, const StoreResult &result)
{
    m_taken.clear();
    m_lives.clear();
    m_listed.clear();
    m_listedAt = turn.now;
    bool isListed = false;
    for (const StoreEntry &entry : result.entries) {
        const auto member = parseMember(entry.value);
        std::size_t place = 0;
        try {
            place = std::stoul(entry.key.substr(Prefix.size()));
        } catch (const std::exception &) {
            continue;
        }
        m_taken.insert(place);
        if (!member) {
            continue;
        }
        m_lives.insert(member->life);
        if (member->life == turn.members.life()) {
            // Taken by a write whose answer was lost, or still held.
            m_place = place;
            isListed = true;
        } else if (member->life.node != turn.members.life().node) {
            m_hasSeenOthers = true;
            m_listed.push_back(*member);
        }
    }
    if (m_isLeaving || isListed) {
        return;
    }
    m_place.reset();
    if (m_taken.size() >= Places) {
        return;
    }
    if (m_lease == 0) {
        call(turn, Purpose::Lease, StoreGrantLease {LeaseTime});
    } else {
        take(turn);
    }
}

} // namespace indigoway
