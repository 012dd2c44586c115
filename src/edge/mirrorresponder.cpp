#include "mirrorresponder.h"

#include "fleet/upstreamselector.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Maximum number of alternative peers in a response. */
constexpr std::size_t MaxFollowers = 16;
/** Polls in progress at which further nodes are sent to others, as in the regular tree. */
constexpr std::size_t MaxPolls = UpstreamSelector::MaxChildren;

} // namespace

MirrorResponder::MirrorResponder(const Mirror &mirror, const StalenessBound &proof,
                                 const SourceContact &contact, const SourcePath &path,
                                 double linkBytesPerSecond, Duration maxHoldTime)
    : m_mirror(mirror)
    , m_proof(proof)
    , m_contact(contact)
    , m_path(path)
    , m_maxHoldTime(maxHoldTime)
    , m_copyTurns(linkBytesPerSecond)
{ }

void MirrorResponder::addPoll(ExchangeNumber exchange, const Poll &poll, TimePoint now,
                              BootTime arrivedAt, const Status &status)
{
    const Duration holdTime = std::min(poll.holdTime.value_or(m_maxHoldTime), m_maxHoldTime);
    m_polls[exchange] = {poll, now + holdTime, arrivedAt, status};
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
                                                                    const Status &status)
{
    std::vector<Reply> replies;
    for (auto it = m_polls.begin(); it != m_polls.end();) {
        const LongPoll &waiting = it->second;
        const bool isOldVersion = !waiting.poll.holdTime;
        const bool hasUpdate = hasUpdateFor(waiting);
        const bool hasProof = waiting.poll.isWaiting && status.isCurrent && status.isProven;
        if (!hasUpdate && !hasProof && isUnchanged(waiting, status) && now < waiting.deadline) {
            ++it;
            continue;
        }
        // To a node of an earlier version, only an empty body says that this one is not current.
        const bool canAnswer =
            hasUpdate || status.isCurrent || (!isOldVersion && m_mirror.isLoaded());
        replies.push_back(
            {it->first,
             canAnswer ? buildResponse(waiting, now, bootNow, status.isCurrent) : std::string()});
        it = m_polls.erase(it);
    }
    return replies;
}

bool MirrorResponder::isUnchanged(const LongPoll &waiting, const Status &status)
{
    if (!waiting.poll.holdTime) {
        return status.mayBecomeCurrent;
    }
    // Nodes that wait for this one to become current, or for a proof, must hear of it at once, and
    // those that follow it of a new path, which they may be on themselves.
    return status.mayBecomeCurrent == waiting.status.mayBecomeCurrent
        && status.isProven == waiting.status.isProven
        && (!status.isCurrent || status.pathChanges == waiting.status.pathChanges);
}

bool MirrorResponder::hasUpdateFor(const LongPoll &waiting) const
{
    return m_mirror.isLoaded() && m_mirror.asOf() > waiting.poll.revision;
}

std::string MirrorResponder::buildResponse(const LongPoll &waiting, TimePoint now, BootTime bootNow,
                                           bool isCurrent)
{
    const Poll &poll = waiting.poll;
    MirrorResponse response;
    response.heldFor = bootNow - waiting.arrivedAt;
    if (poll.holdTime) {
        const bool hasRoom = *poll.holdTime > Duration::zero() || m_polls.size() <= MaxPolls;
        // Nodes of an earlier version do not look at the path.
        const bool isOwnSource = m_path.contains(SourcePath::idOf(poll.peer));
        response.isCurrent = isCurrent && hasRoom && !isOwnSource;
        response.contactAge = m_contact.age(bootNow);
        if (isCurrent) {
            response.path = m_path;
        }
    }
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
