#pragma once

#include "fleet/sourcesearch.h"

#include <indigoway/ids.h>

/**
 * The fixed delays of StateSync that count towards a bound on changes or on the age of a copy. The
 * sums are listed in docs/design/whole-fleet.md; tests/edge/syncdelaystest.cpp computes them.
 */
namespace indigoway::syncdelays {

/** How often StateSync looks at the time. */
constexpr Duration Tick = std::chrono::milliseconds(50);
/** How long a watch of the store is held; bounds how long a dead connection is used. */
constexpr Duration WatchHold = std::chrono::milliseconds(1000);
/** Time for the answer of a peer that may not honour the hold time; such a peer holds WatchHold. */
constexpr Duration PeerAnswerMargin = std::chrono::milliseconds(300);
/**
 * How long a poll of another node is held. With the margin for the answer, it is the time until a
 * silent peer is noticed.
 */
constexpr Duration PeerHold = std::chrono::milliseconds(500);
/** The same after a failure, when the next peer is likely to fail as well. */
constexpr Duration CautiousHold = std::chrono::milliseconds(250);
constexpr Duration CautiousAnswerMargin = std::chrono::milliseconds(150);
/** Proofs per maximum age of the copy; the rest of the age remains for the search. */
constexpr int ProofsPerMaxAge = 3;
/** Polls per maximum age of the copy: their hold times add up on the way from the watcher. */
constexpr int PollsPerMaxAge = 5;
/**
 * The age of the copy, as a part of the maximum, from which further sources are asked for a proof.
 * Regular proofs arrive before it, and the rest of the time suffices for the search.
 */
constexpr double SearchAgeRatio = 0.7;
/**
 * The age of the copy, as a part of the maximum, up to which a node answers others that it is
 * proven. Lower than SearchAgeRatio, so that a node that gets this proof does not search again at
 * once.
 */
constexpr double ProvenAgeRatio = 0.6;
/**
 * The age up to which a node does not advance its contact with the store while it asks whether
 * another source can be followed. Sources that depend on this node then have no newer contact, and
 * are not followed.
 */
constexpr Duration MaxWithheldContactAge = std::chrono::milliseconds(1500);
/**
 * The time without a contact with the store after which this node's source counts as lost; longer
 * than a contact may take to arrive at the lowest level of the tree.
 */
constexpr Duration MaxContactAge = std::chrono::milliseconds(4500);

/** Returns the time until a node notices that its source is silent. */
constexpr Duration lossNoticed()
{
    return PeerHold + PeerAnswerMargin + Tick;
}
/** Returns the same of a source that was found after a failure. */
constexpr Duration nextLossNoticed()
{
    return CautiousHold + CautiousAnswerMargin + Tick;
}
/** Returns the time until a searching node of a small domain has asked the store. */
constexpr Duration storeAsked()
{
    return SourceSearch::MinStoreDelay + SourceSearch::StoreDelayPerNode * SourceSearch::SmallDomain
        + Tick;
}

} // namespace indigoway::syncdelays
