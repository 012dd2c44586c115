#pragma once

#include "core/boottime.h"

#include <cstdint>
#include <optional>

namespace indigoway {

/**
 * How old this node's copy of the store may be, at the most: since when it has surely held all
 * that the store had.
 *
 * A watch that is silent proves nothing: its connection may be dead, or the store may hold its
 * changes back. So the store is asked what its revision is, now and then, and the copy is as new
 * as the moment at which the question left, once it has come to that revision. An answer that was
 * read late, after this process stood still, is only as good as that moment, too. Other nodes are
 * told the age, and add to it what passes on the way.
 */
class CopyProof
{
public:
    /** The store was asked at @p askedAt and had @p revision; the copy is at @p copyAsOf. */
    void answered(BootTime askedAt, std::uint64_t revision, std::uint64_t copyAsOf);
    /** The copy has come to @p copyAsOf. */
    void copied(std::uint64_t copyAsOf);
    /**
     * Another node, whose news this copy has taken in, was asked at @p askedAt, held the question
     * for @p held and said then that its own copy was @p age old. @p now: when that was read.
     */
    void told(BootTime askedAt, BootTime now, Duration held, Duration age);
    /** Nothing until there is a proof. */
    std::optional<Duration> age(BootTime now) const;

private:
    /** An answer that the copy has not come to yet. */
    struct Pending
    {
        BootTime askedAt {};
        std::uint64_t revision = 0;
    };

    void prove(BootTime at);

    std::optional<BootTime> m_provenAt;
    std::optional<Pending> m_pending;
};

} // namespace indigoway
