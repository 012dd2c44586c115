#pragma once

#include "slots/slotmessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace indigoway::slots {

/** The speed figure of a server whose work takes as long as usual. */
constexpr double UsualWorkPercent = 100;

/** Identifies a claim over all nodes. */
struct ClaimKey
{
    NodeLife node;
    SlotClaimId claim;
    auto operator<=>(const ClaimKey &) const = default;
};

/** The scheduler's view of one plain server over all nodes. */
class PlainServer
{
public:
    /** The figures that determine whether a server gets a request. */
    struct Figures
    {
        std::uint32_t slots = 0;
        std::size_t held = 0; ///< Slots that nodes hold.
        /** Requests at the server beyond the held slots; falls with the age of the report. */
        double others = 0;
        double workPercent = 100;          ///< Expected speed.
        std::optional<Duration> reportAge; ///< Nothing if the server has reported no load.
        double failureRate = 0;
        bool isAvoided = false; ///< Calls got no answer from it.
        bool isFull = false;    ///< It rejected a request a moment ago.

        /** Returns the requests at the server or on their way there. */
        double requests() const { return static_cast<double>(held) + others; }
        /** Returns the requests at the server beyond its slots. */
        double queue() const { return requests() > slots ? requests() - slots : 0; }
        /**
         * Returns the expected answer time of a new request, in milliseconds.
         * @param workMilliseconds its answer time at the usual speed and with a free slot
         * @param meanMilliseconds the mean of the requests before it
         */
        double expectedMilliseconds(double workMilliseconds, double meanMilliseconds) const;
    };

    /** @param slots The announced slots, used until the server reports them. */
    Figures figures(std::uint32_t slots, TimePoint now) const;

    void hold(const ClaimKey &key, TimePoint now) { m_held.insert_or_assign(key, now); }
    /** Frees the slot of @p key; returns when it was granted, or nothing if it was not held. */
    std::optional<TimePoint> release(const ClaimKey &key);
    /** Records a report that is @p age old; a report older than the latest is ignored. */
    void recordLoad(const ServerLoad &load, Duration age, TimePoint now);
    /**
     * Records how a call ended. A server that gave no answer several times in a row is avoided for
     * a while, and one that rejected the request is full for a moment.
     */
    void recordOutcome(SlotOutcome outcome, TimePoint now);
    /**
     * Returns a claim whose end was probably lost: it was granted longer than @p age ago, and the
     * server's latest report shows fewer requests than nodes hold slots.
     */
    std::optional<ClaimKey> findLostClaim(Duration age, TimePoint now) const;
    std::size_t held() const { return m_held.size(); }

private:
    double workPercent(TimePoint now) const;

    std::map<ClaimKey, TimePoint> m_held; ///< Claims that hold a slot, with the time of the grant.
    std::optional<ServerLoad> m_load;
    TimePoint m_reportedAt {};
    double m_meanWorkPercent = 0; ///< Moving average of the reported speeds; 0 without any.
    double m_failureRate = 0;     ///< Moving average.
    TimePoint m_lastOutcomeAt {};
    std::uint32_t m_consecutiveFailures = 0; ///< Calls without any answer.
    TimePoint m_avoidedUntil {};
    TimePoint m_fullUntil {};
};

/** Returns the figures for logs. */
std::string figuresText(const PlainServer::Figures &figures);

} // namespace indigoway::slots
