#pragma once

#include "scheduling/schedulermessages.h"

#include <indigoway/ids.h>

namespace indigoway::scheduling {

/** Identifies a claim over all nodes. */
struct ClaimKey
{
    NodeLife owner;
    ClaimId claim;
    /** Returns whether the claim was made by an earlier or later process of node @p life. */
    bool isOfOtherIncarnation(const NodeLife &life) const
    {
        return owner.node == life.node && owner.incarnation != life.incarnation;
    }
    auto operator<=>(const ClaimKey &) const = default;
};

} // namespace indigoway::scheduling
