#pragma once

#include "crashes/answeredparts.h"
#include "crashes/partcrashrecords.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace indigoway::crashes {

/** What a node knew of a part when it sent a request with it. */
struct KnownPart
{
    PartId part;
    PartCrashes crashes;
};

/** A request that was on a server when the server crashed. */
struct LostRun
{
    std::vector<PartId> parts;    ///< All but the last one of its prompt, in order.
    std::vector<KnownPart> known; ///< Those with a known series when the request was sent.
    OrganisationKey organisation;
};

/** A refusal of requests with a part. */
struct PartRefusal
{
    PartId part;
    Duration remaining {};
};

/** Changes of the records that other nodes need to know. */
using PartCrashNotes = std::vector<PartCrashNote>;

/** The series of crashes that an answer has ended. */
struct EndedSeries
{
    PartCrashNotes notes; ///< Those that other nodes need to know.
    bool hasEndedRefusal = false;
};

/** The parts that a crash is attributed to. */
struct CrashAttribution
{
    PartCrashNotes notes;
    /** A refused part that was on the server and explains the crash. */
    std::optional<PartId> explainedBy;
};

/**
 * Finds the parts of prompts that crash every server that begins to write an answer on them. Other
 * requests share the remaining parts of such prompts and are sound.
 *
 * A crash is attributed to all parts of the requests on the server that had not begun to write.
 * Each part has a series of crashes, which a run extends only if it was sent after the previous
 * crash was known: simultaneous crashes, such as of servers that lose power together, count once.
 * An answer that begins after a crash was known ends the series. Once a part is refused, it
 * explains the crashes under it, and the series of all others that were on those servers end.
 */
class CrashingParts
{
public:
    /** Limits the parts of a request that a crash is attributed to; they are the caller's input. */
    static constexpr std::size_t MaxPartsCharged = 16;

    /** Returns the parts of @p parts with a series, for LostRun. */
    std::vector<KnownPart> knownParts(const ServiceName &service,
                                      const std::vector<PartId> &parts) const;
    /** Attributes the crash of a server of @p service to parts of @p runs. */
    CrashAttribution attribute(const ServiceName &service, const std::vector<LostRun> &runs,
                               TimePoint now);
    /** Records an answer to a request with @p parts that began to be written at @p since. */
    EndedSeries answered(const ServiceName &service, const std::vector<PartId> &parts,
                         TimePoint since, TimePoint now);
    /**
     * Merges @p notes of other nodes.
     * @return What to pass on: notes that are news, and newer states of those that are outdated.
     */
    PartCrashNotes merge(const PartCrashNotes &notes, TimePoint now);
    /** Returns the refusal that ends last, if requests of @p organisation with @p parts are
     * refused. */
    std::optional<PartRefusal> refusal(const ServiceName &service, const std::vector<PartId> &parts,
                                       OrganisationKey organisation, TimePoint now) const;
    /** Returns whether all @p parts were answered recently and crashes were rare since. */
    bool areSound(const ServiceName &service, const std::vector<PartId> &parts,
                  TimePoint now) const;
    void removeExpired(TimePoint now) { m_records.removeExpired(now); }
    const PartCrashRecords &records() const { return m_records; }
    std::size_t answeredParts() const { return m_answered.size(); }

private:
    /** A part that a crash may be attributed to, with its series including the crash. */
    struct Charge
    {
        PartCrashes crashes;
        std::size_t position = 0; ///< In the prompt.
    };
    using Charges = std::map<PartOfService, Charge>;

    /** Returns the charges of one run; none for parts that have been answered since it was sent. */
    Charges chargesOf(const ServiceName &service, const LostRun &run, TimePoint now) const;
    PartCrashes chargedSeries(const PartOfService &part, const LostRun &run, TimePoint now) const;
    /** Returns the part at its limit that is most likely to be the cause; nothing if there is none.
     */
    static std::optional<PartOfService> mostLikely(const Charges &charges);
    /** Refuses @p guilty, which explains the crash, and takes back the other charges. */
    PartCrashNotes refuse(const Charges &charges, const PartOfService &guilty, TimePoint now);

    PartCrashRecords m_records;
    AnsweredParts m_answered;
    std::uint64_t m_attributions = 0; ///< Varies which of too many parts are charged.
};

} // namespace indigoway::crashes
