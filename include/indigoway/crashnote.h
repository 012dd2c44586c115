#pragma once

#include <indigoway/ids.h>
#include <indigoway/promptpart.h>
#include <indigoway/routing.h>

#include <cstdint>
#include <vector>

namespace indigoway {

/** The number of consecutive server crashes that a content caused; 0 after a successful answer. */
struct CrashNote
{
    ContentId content;
    std::uint32_t count = 0;
    bool operator==(const CrashNote &) const = default;
};

/** A hash of the name of the organisation that sent a request; none if callers have none. */
using OrganisationKey = Number<struct OrganisationKeyTag>;

/**
 * The consecutive server crashes under one part of prompts. Of two states, the one with the higher
 * epoch, then with the higher count, is the newer one, in whatever order they arrive.
 */
struct PartCrashes
{
    std::uint32_t epoch = 0;      ///< How often a series of crashes has ended.
    std::uint32_t count = 0;      ///< Crashes in the present series.
    bool wasAnswered = false;     ///< A server had answered with the part before the series.
    OrganisationKey organisation; ///< Whose requests crashed the servers.
    bool isFromMany = false;      ///< There was a second organisation.
    /** Part that was refused for the same crashes, as the more likely cause; none otherwise. */
    PartId rival;
    bool operator==(const PartCrashes &) const = default;
};

/** Tells other nodes of crashes under a part of prompts to the servers of a service. */
struct PartCrashNote
{
    ServiceName service;
    PartId part;
    PartCrashes crashes;
    bool operator==(const PartCrashNote &) const = default;
};

} // namespace indigoway
