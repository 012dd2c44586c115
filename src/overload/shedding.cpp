#include "shedding.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace indigoway {

namespace {

/** Below this a client's bytes are not worth the loss of its request. */
constexpr std::size_t MinWorthwhileBytes = std::size_t {8} * 1024;
/** Rate that counts as no movement. */
constexpr double StandstillBytesPerSecond = 16 * 1024;
/** A client that has just begun has had no time to move bytes. */
constexpr Duration MinRateTime = std::chrono::milliseconds(50);
/** A client that moves its bytes this fast is not closed for a new connection. */
constexpr double MinBodyBytesPerSecond = 16 * 1024;
/** Time in which a client of the pages sends a head or begins to read. */
constexpr Duration GraceTime = std::chrono::milliseconds(200);
/** A new connection's head is read within this time, if it has been sent. */
constexpr Duration MinReadTime = std::chrono::milliseconds(20);
/** Several are closed at a time, since each choice looks at all connections. */
constexpr std::size_t MaxClosedShare = 32;

/** Held bytes by the rate at which they will be gone. */
double burden(const Holder &holder, TimePoint now)
{
    return static_cast<double>(holder.heldBytes)
        / (bytesPerSecond(holder, now) + StandstillBytesPerSecond);
}

/** Order in which clients are given up for their bytes. */
int sheddingOrder(const Holder &holder, TimePoint now)
{
    const bool isSlow =
        now - holder.since >= GraceTime && bytesPerSecond(holder, now) < MinBodyBytesPerSecond;
    switch (holder.stage) {
    case HolderStage::Answering:
        return 3;
    case HolderStage::Unread:
        // The work for the answer would be lost.
        return isSlow ? 0 : 2;
    default:
        return isSlow ? 0 : 1;
    }
}

/** Order in which connections are closed for new ones, several at a time. */
enum ClosingOrder {
    Refused,
    SilentHead,
    UnreadAnswer,
    SlowBody,
    NewHead,
    MovingBody, ///< From here on, one at a time.
    KeptAlive,
    Kept, ///< Not closed.
};

ClosingOrder closingOrder(const Holder &holder, TimePoint now)
{
    const bool isNew = now - holder.since < GraceTime;
    const bool isSlow = !isNew && bytesPerSecond(holder, now) < MinBodyBytesPerSecond;
    switch (holder.stage) {
    case HolderStage::Ending:
        return Refused;
    case HolderStage::Head:
        if (now - holder.since < MinReadTime) {
            return Kept;
        }
        return isNew ? NewHead : SilentHead;
    case HolderStage::Unread:
        return isSlow ? UnreadAnswer : Kept;
    case HolderStage::Body:
        if (isSlow) {
            return SlowBody;
        }
        return holder.hasBeenServed ? Kept : MovingBody;
    case HolderStage::Idle:
        return KeptAlive;
    case HolderStage::Answering:
        break;
    }
    return Kept;
}

} // namespace

const char *nameOf(HolderStage stage)
{
    static constexpr std::array<const char *, 6> Names {"head",   "body", "answering",
                                                        "unread", "idle", "ending"};
    return Names[static_cast<std::size_t>(stage)];
}

double bytesPerSecond(const Holder &holder, TimePoint now)
{
    const Duration time = std::max(MinRateTime, Duration(now - holder.since));
    return static_cast<double>(holder.movedBytes) / std::chrono::duration<double>(time).count();
}

std::vector<Holder> chooseForBytes(std::vector<Holder> holders, std::size_t excess,
                                   bool includesAnswering, TimePoint now)
{
    std::erase_if(holders, [&](const Holder &one) {
        return one.heldBytes < MinWorthwhileBytes || one.stage == HolderStage::Ending
            || (one.stage == HolderStage::Answering && !includesAnswering);
    });
    std::ranges::sort(holders, [now](const Holder &a, const Holder &b) {
        const int orderA = sheddingOrder(a, now);
        const int orderB = sheddingOrder(b, now);
        return orderA != orderB ? orderA < orderB : burden(a, now) > burden(b, now);
    });
    std::size_t freed = 0;
    const auto end = std::ranges::find_if(holders, [&](const Holder &one) {
        const bool isEnough = freed >= excess;
        freed += one.heldBytes;
        return isEnough;
    });
    holders.erase(end, holders.end());
    return holders;
}

std::vector<Holder> chooseForConnections(const std::vector<Holder> &holders, TimePoint now)
{
    ClosingOrder first = Kept;
    std::vector<Holder> chosen;
    for (const Holder &one : holders) {
        const ClosingOrder order = closingOrder(one, now);
        if (order < first) {
            first = order;
            chosen.clear();
        }
        if (order == first && order != Kept) {
            chosen.push_back(one);
        }
    }
    std::ranges::sort(chosen, {}, &Holder::since);
    const std::size_t most =
        first >= MovingBody ? 1 : std::max<std::size_t>(1, holders.size() / MaxClosedShare);
    chosen.resize(std::min(chosen.size(), most));
    return chosen;
}

} // namespace indigoway
