#include "versionnotes.h"

#include "core/jsontext.h"
#include "core/texthash.h"

#include <algorithm>
#include <utility>

namespace indigoway::origins {

namespace {

using std::chrono::milliseconds;

constexpr Duration RetryInterval = std::chrono::seconds(1);

enum Position : Json::ArrayIndex {
    Service,
    Version,
    Patience,
    IsEnding,
    FieldCount,
};

} // namespace

std::string encode(const VersionNote &note)
{
    Json::Value value(Json::arrayValue);
    value.append(note.origin.service.text());
    value.append(note.origin.version);
    value.append(Json::Int64(std::chrono::duration_cast<milliseconds>(note.patience).count()));
    value.append(note.isEnding);
    return jsonText(value);
}

std::optional<VersionNote> readVersionNote(const std::string &text)
{
    const Json::Value value = parseEntry(text);
    const bool isValid = value.isArray() && value.size() >= FieldCount && value[Service].isString()
        && value[Version].isString() && value[Patience].isInt64() && value[IsEnding].isBool();
    if (!isValid) {
        return std::nullopt;
    }
    const auto longest = std::chrono::duration_cast<milliseconds>(VersionNotes::MaxPatience);
    const auto patience = std::clamp<std::int64_t>(value[Patience].asInt64(), 0, longest.count());
    return VersionNote {{ServiceName(value[Service].asString()), value[Version].asString()},
                        milliseconds(patience),
                        value[IsEnding].asBool()};
}

std::string versionNoteKey(const std::string &prefix, const StreamOrigin &origin)
{
    // Names may be longer than a key may be.
    return prefix + std::to_string(textHash(origin.service.text() + '\n' + origin.version));
}

void VersionNotes::apply(const std::string &key, const std::string *value, std::uint64_t revision)
{
    if (const auto known = m_byKey.find(key); known != m_byKey.end()) {
        m_notes.erase(known->second);
        m_byKey.erase(known);
    }
    const auto note = value ? readVersionNote(*value) : std::nullopt;
    if (note) {
        m_byKey.emplace(key, note->origin);
        m_notes[note->origin] = {*note, revision};
    }
}

void VersionNotes::recordPatience(Duration patience)
{
    while (m_patience < patience && m_patience < MaxPatience) {
        m_patience = std::min(m_patience * 2, MaxPatience); // Few steps, as each is written.
    }
}

bool VersionNotes::isNoted(const StreamOrigin &origin) const
{
    const auto it = m_notes.find(origin);
    return it != m_notes.end() && !it->second.note.isEnding;
}

std::set<std::string> VersionNotes::versionsOf(const ServiceName &service) const
{
    std::set<std::string> versions;
    for (const auto &[origin, kept] : m_notes) {
        if (origin.service == service) {
            versions.insert(origin.version);
        }
    }
    return versions;
}

Duration VersionNotes::patience() const
{
    Duration longest = m_patience;
    for (const auto &[origin, kept] : m_notes) {
        longest = std::max(longest, kept.note.patience);
    }
    return longest;
}

std::vector<VersionNote> VersionNotes::wantedNotes(const Present &present) const
{
    std::vector<VersionNote> wanted;
    for (const auto &[service, versions] : present) {
        for (const std::string &version : versions) {
            const VersionNote note {{service, version}, patience(), false};
            const auto known = m_notes.find(note.origin);
            const bool isKnown = known != m_notes.end() && !known->second.note.isEnding
                && known->second.note.patience >= m_patience;
            if (!isKnown) {
                wanted.push_back(note);
            }
        }
    }
    for (const auto &[origin, kept] : m_notes) {
        const auto service = present.find(origin.service);
        const bool isPresent = service != present.end() && service->second.contains(origin.version);
        if (!isPresent && !kept.note.isEnding) {
            wanted.push_back({origin, patience(), true});
        }
    }
    return wanted;
}

std::vector<VersionNotes::Write> VersionNotes::dueWrites(TimePoint now, const Present &present,
                                                         Duration delay)
{
    std::map<StreamOrigin, Missing> missing;
    std::vector<Write> writes;
    for (const VersionNote &note : wantedNotes(present)) {
        const auto before = m_missing.find(note.origin);
        const bool isSame = before != m_missing.end() && before->second.isEnding == note.isEnding;
        Missing &one = missing[note.origin];
        one = isSame ? before->second : Missing {note.isEnding, now, now};
        const Duration wait = delay + (note.isEnding ? EndDelay : Duration(0));
        if (now < one.since + wait || now < one.retryAt || writes.size() >= MaxWrites) {
            continue;
        }
        one.retryAt = now + RetryInterval;
        const auto known = m_notes.find(note.origin);
        writes.push_back({note, known == m_notes.end() ? 0 : known->second.revision});
    }
    m_missing = std::move(missing);
    return writes;
}

} // namespace indigoway::origins
