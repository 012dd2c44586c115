#pragma once

#include "routing/routetable.h"

#include <optional>
#include <variant>

namespace indigoway {

/** What a caller shows to be served for an organisation. */
struct Credentials
{
    /** Of the key; of no text at all where what was sent cannot be one. */
    std::optional<KeyDigest> key;
};

/** Whose request it is; null on an open route, if no known key came with it. */
struct Admitted
{
    const Organisation *organisation = nullptr;
};

/** No organisation holds the key, or there was none. */
struct UnknownKey
{
};

/** This node cannot prove that its copy of the desired state is new enough to tell. */
struct CopyTooOld
{
};

using Admission = std::variant<Admitted, UnknownKey, CopyTooOld>;

/**
 * Whether a request on @p route of @p table may be served for who sent it.
 *
 * A key that was taken away must be of no use on any node after a bounded time, also on one that
 * has lost the store, was suspended, or hears old news. So nothing is decided by a copy of the
 * desired state that may be older than @p mostCopyAge (nothing: any copy will do): neither that a
 * key is good, nor that it is not, since it may have been added meanwhile. @p copyAge: how old the
 * copy may be by now; nothing: not known.
 */
Admission admit(const RouteTable &table, const Route &route, const Credentials &credentials,
                std::optional<Duration> copyAge, std::optional<Duration> mostCopyAge);

/** Whether a copy of @p copyAge tells how things are. */
bool isNewEnough(std::optional<Duration> copyAge, std::optional<Duration> mostCopyAge);

} // namespace indigoway
