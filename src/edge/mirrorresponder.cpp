#include "mirrorresponder.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Maximum number of alternative peers in a response. */
constexpr std::size_t MaxFollowers = 16;

} // namespace

MirrorResponder::MirrorResponder(const Mirror &mirror, const StalenessBound &proof,
                                 double linkBytesPerSecond, Duration maxHoldTime)
    : m_mirror(mirror)
    , m_proof(proof)
    , m_maxHoldTime(maxHoldTime)
    , m_copyTurns(linkBytesPerSecond)
{ }

void MirrorResponder::addPoll(ExchangeNumber exchange, std::uint64_t revision,
                              const std::string &control, TimePoint now, BootTime arrivedAt)
{
    m_polls[exchange] = {revision, now + m_maxHoldTime, arrivedAt, control};
}

void MirrorResponder::addStoreUpdates(Mirror &mirror)
{
    if (const auto heard = mirror.takeStoreUpdate()) {
        m_newsLog.add(encodeUpdate(*heard));
    } else if (m_newsLog.asOf() < mirror.asOf()) {
        m_newsLog.startAt(mirror.asOf());
    }
}

std::vector<MirrorResponder::Reply> MirrorResponder::takeDueReplies(TimePoint now, BootTime bootNow,
                                                                    bool isCurrent,
                                                                    bool mayBecomeCurrent)
{
    std::vector<Reply> replies;
    for (auto it = m_polls.begin(); it != m_polls.end();) {
        const LongPoll &poll = it->second;
        const bool hasUpdate = hasUpdateFor(poll);
        if (!hasUpdate && mayBecomeCurrent && now < poll.deadline) {
            ++it;
            continue;
        }
        // A node that receives no changes sends an empty body: it cannot confirm that none exist.
        replies.push_back(
            {it->first,
             hasUpdate || isCurrent ? buildResponse(poll, now, bootNow) : std::string()});
        it = m_polls.erase(it);
    }
    return replies;
}

bool MirrorResponder::hasUpdateFor(const LongPoll &poll) const
{
    return m_mirror.isLoaded() && m_mirror.asOf() > poll.revision;
}

std::string MirrorResponder::buildResponse(const LongPoll &poll, TimePoint now, BootTime bootNow)
{
    MirrorResponse response;
    response.heldFor = bootNow - poll.arrivedAt;
    if (m_newsLog.needsSnapshot(poll.revision) && !m_copyTurns.mayStart(now)) {
        response.alternativePeers = {m_followers.begin(), m_followers.end()};
        return encodeResponse(response);
    }
    const auto blocks =
        m_newsLog.since(poll.revision, [this] { return encodeUpdate(m_mirror.snapshot()); });
    for (const EncodedUpdate &block : blocks) {
        response.blocks.push_back(*block.bytes);
        if (block.isSnapshot) {
            m_copyTurns.start(now, block.bytes->size());
        }
    }
    if (blocks.empty() || blocks.back().asOf == m_mirror.asOf()) {
        response.age = m_proof.age(bootNow);
    }
    if (poll.revision > 0 || !blocks.empty()) {
        rememberFollower(poll.peer);
    }
    return encodeResponse(response);
}

void MirrorResponder::rememberFollower(const std::string &control)
{
    if (control.empty() || std::ranges::find(m_followers, control) != m_followers.end()) {
        return;
    }
    m_followers.push_back(control);
    if (m_followers.size() > MaxFollowers) {
        m_followers.pop_front();
    }
}

} // namespace indigoway
