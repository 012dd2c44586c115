#include "crashingparts.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace indigoway::crashes {

namespace {

/** Limits the series, which comes from other nodes, too. */
constexpr std::uint32_t MaxCount = 1000;

/** Returns the state after the series in @p crashes has ended. */
PartCrashes endedSeries(const PartCrashes &crashes)
{
    PartCrashes ended;
    ended.epoch = crashes.epoch + 1;
    ended.wasAnswered = crashes.wasAnswered;
    return ended;
}

} // namespace

std::vector<KnownPart> CrashingParts::knownParts(const ServiceName &service,
                                                 const std::vector<PartId> &parts) const
{
    std::vector<KnownPart> known;
    if (m_records.isEmpty()) {
        return known;
    }
    for (const PartId part : parts) {
        const PartCrashes crashes = m_records.crashesOf({service, part});
        if (crashes != PartCrashes()) {
            known.push_back({part, crashes});
        }
    }
    return known;
}

CrashAttribution CrashingParts::attribute(const ServiceName &service,
                                          const std::vector<LostRun> &runs, TimePoint now)
{
    for (const LostRun &run : runs) {
        if (const auto refused = refusal(service, run.parts, run.organisation, now)) {
            return {{}, refused->part};
        }
    }
    ++m_attributions;
    Charges charges;
    for (const LostRun &run : runs) {
        for (const auto &[part, charge] : chargesOf(service, run, now)) {
            const auto [known, isNew] = charges.try_emplace(part, charge);
            if (!isNew && charge.crashes.count > known->second.crashes.count) {
                known->second = charge;
            }
        }
    }
    if (const auto guilty = mostLikely(charges)) {
        return {refuse(charges, *guilty, now), std::nullopt};
    }
    CrashAttribution attribution;
    for (const auto &[part, charge] : charges) {
        m_records.merge(part, charge.crashes, now);
        attribution.notes.push_back({part.service, part.part, charge.crashes});
    }
    return attribution;
}

std::optional<PartOfService> CrashingParts::mostLikely(const Charges &charges)
{
    // Of several parts, the one that fewer requests share goes first: a wrong refusal then costs
    // less, and if the crashes go on, they are attributed to the others.
    const auto rankOf = [](const Charges::value_type &one) {
        return std::tuple(!one.second.crashes.wasAnswered, one.second.crashes.count,
                          one.second.position);
    };
    const Charges::value_type *best = nullptr;
    for (const auto &charge : charges) {
        if (PartCrashRecords::isAtLimit(charge.second.crashes)
            && (!best || rankOf(charge) > rankOf(*best))) {
            best = &charge;
        }
    }
    return best ? std::optional(best->first) : std::nullopt;
}

CrashingParts::Charges CrashingParts::chargesOf(const ServiceName &service, const LostRun &run,
                                                TimePoint now) const
{
    std::vector<std::pair<PartOfService, Charge>> all;
    for (std::size_t i = 0; i < run.parts.size(); ++i) {
        const PartOfService part {service, run.parts[i]};
        const PartCrashes series = chargedSeries(part, run, now);
        if (series.count > 0) {
            all.push_back({part, {series, i}});
        }
    }
    if (all.size() > MaxPartsCharged) {
        // Parts with a series first, then others at random, so that made-up parts beside the guilty
        // one do not hide it.
        const auto rankOf = [this](const std::pair<PartOfService, Charge> &one) {
            constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15;
            return std::tuple(one.second.crashes.count, !one.second.crashes.wasAnswered,
                              (one.first.part.value() ^ m_attributions) * Multiplier);
        };
        std::ranges::sort(all, std::greater<>(), rankOf);
        all.resize(MaxPartsCharged);
    }
    return {all.begin(), all.end()};
}

PartCrashes CrashingParts::chargedSeries(const PartOfService &part, const LostRun &run,
                                         TimePoint now) const
{
    const auto it = std::ranges::find(run.known, part.part, &KnownPart::part);
    PartCrashes series = it == run.known.end() ? PartCrashes() : it->crashes;
    const PartCrashes known = m_records.crashesOf(part);
    if (known.epoch > series.epoch) {
        return {};
    }
    if (series.count == 0) {
        series.organisation = run.organisation;
    }
    series.wasAnswered = series.wasAnswered || known.wasAnswered || m_answered.contains(part, now);
    series.isFromMany = series.isFromMany || series.organisation != run.organisation;
    series.count = std::min(series.count + 1, MaxCount);
    return series;
}

PartCrashNotes CrashingParts::refuse(const Charges &charges, const PartOfService &guilty,
                                     TimePoint now)
{
    PartCrashNotes notes;
    const auto change = [&](const PartOfService &part, const PartCrashes &crashes) {
        m_records.merge(part, crashes, now);
        notes.push_back({part.service, part.part, crashes});
    };
    for (const auto &[part, charge] : charges) {
        const PartCrashes known = m_records.crashesOf(part);
        PartCrashes crashes = charge.crashes;
        if (part == guilty) {
            change(part, crashes);
        } else if (PartCrashRecords::isAtLimit(crashes)) {
            // As likely: the next crash that the refused part doesn't explain refuses it, too.
            crashes.count = PartCrashRecords::limitOf(crashes) - 1;
            crashes.epoch = known.epoch + 1;
            crashes.rival = guilty.part;
            change(part, crashes);
        } else if (known.count > 0) {
            change(part, endedSeries(known));
        }
    }
    // The crashes have gone on without the part that was refused for them at first.
    const PartOfService rival {guilty.service, charges.at(guilty).crashes.rival};
    const PartCrashes ofRival = m_records.crashesOf(rival);
    if (!rival.part.isNone() && !charges.contains(rival) && ofRival.count > 0) {
        change(rival, endedSeries(ofRival));
    }
    return notes;
}

EndedSeries CrashingParts::answered(const ServiceName &service, const std::vector<PartId> &parts,
                                    TimePoint since, TimePoint now)
{
    EndedSeries ended;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const PartOfService part {service, parts[i]};
        if (i < MaxPartsCharged) {
            m_answered.record(part, now);
        }
        const auto knownSince = m_records.seriesKnownSince(part);
        if (!knownSince || since <= *knownSince) {
            continue;
        }
        const PartCrashes before = m_records.crashesOf(part);
        PartCrashes after = endedSeries(before);
        after.wasAnswered = true;
        m_records.merge(part, after, now);
        // One crash under a part with many answers is no news to anyone.
        if (!before.wasAnswered || before.count > 1) {
            ended.notes.push_back({service, part.part, after});
        }
        ended.hasEndedRefusal = ended.hasEndedRefusal || PartCrashRecords::isAtLimit(before);
    }
    return ended;
}

PartCrashNotes CrashingParts::merge(const PartCrashNotes &notes, TimePoint now)
{
    PartCrashNotes news;
    for (const PartCrashNote &note : notes) {
        PartCrashes crashes = note.crashes;
        crashes.count = std::min(crashes.count, MaxCount);
        const PartOfService part {note.service, note.part};
        crashes.wasAnswered =
            crashes.wasAnswered || (crashes.count > 0 && m_answered.contains(part, now));
        const PartCrashes known = m_records.crashesOf(part);
        if (m_records.merge(part, crashes, now)) {
            news.push_back({note.service, note.part, crashes});
        } else if (crashes.epoch < known.epoch) {
            // The sender has missed the end of the series, such as a node that has just started.
            news.push_back({note.service, note.part, known});
        }
    }
    return news;
}

std::optional<PartRefusal> CrashingParts::refusal(const ServiceName &service,
                                                  const std::vector<PartId> &parts,
                                                  OrganisationKey organisation, TimePoint now) const
{
    if (m_records.isEmpty()) {
        return std::nullopt;
    }
    std::optional<PartRefusal> last;
    for (const PartId part : parts) {
        const auto until = m_records.refusedUntil({service, part}, organisation, now);
        if (until && (!last || last->remaining < *until - now)) {
            last = PartRefusal {part, *until - now};
        }
    }
    return last;
}

bool CrashingParts::areSound(const ServiceName &service, const std::vector<PartId> &parts,
                             TimePoint now) const
{
    return std::ranges::all_of(parts, [&](PartId id) {
        const PartOfService part {service, id};
        return m_answered.contains(part, now) && m_records.crashesOf(part).count <= 1;
    });
}

} // namespace indigoway::crashes
