#include "partcrashcodec.h"

#include "core/jsontext.h"

#include <algorithm>

namespace indigoway::crashes {

namespace {

constexpr char Kind[] = "part-crashes";
constexpr std::size_t MaxServiceNameBytes = 128;

enum DatagramPosition : Json::ArrayIndex {
    DatagramKind,
    DatagramNode,
    DatagramNotes,
    DatagramSize,
};

enum NotePosition : Json::ArrayIndex {
    Service,
    Part,
    Epoch,
    Count,
    WasAnswered,
    Organisation,
    IsFromMany,
    Rival,
    NoteSize,
};

Json::Value encode(const PartCrashNote &note)
{
    Json::Value value(Json::arrayValue);
    value.append(note.service.text());
    value.append(textOf(note.part));
    value.append(note.crashes.epoch);
    value.append(note.crashes.count);
    value.append(note.crashes.wasAnswered);
    value.append(Json::UInt64(note.crashes.organisation.value()));
    value.append(note.crashes.isFromMany);
    value.append(note.crashes.rival.isNone() ? std::string() : textOf(note.crashes.rival));
    return value;
}

std::optional<PartCrashNote> readNote(const Json::Value &value)
{
    const bool isNote = value.isArray() && value.size() == NoteSize && value[Service].isString()
        && value[Service].asString().size() <= MaxServiceNameBytes && value[Part].isString()
        && value[Epoch].isUInt() && value[Count].isUInt() && value[WasAnswered].isBool()
        && value[Organisation].isUInt64() && value[IsFromMany].isBool() && value[Rival].isString();
    const auto part = isNote ? parsePartId(value[Part].asString()) : std::nullopt;
    if (!part) {
        return std::nullopt;
    }
    return PartCrashNote {
        ServiceName(value[Service].asString()),
        *part,
        {value[Epoch].asUInt(), value[Count].asUInt(), value[WasAnswered].asBool(),
         OrganisationKey(value[Organisation].asUInt64()), value[IsFromMany].asBool(),
         parsePartId(value[Rival].asString()).value_or(PartId())}};
}

} // namespace

std::vector<std::string> encodeDatagrams(const NodeName &from,
                                         const std::vector<PartCrashNote> &notes)
{
    std::vector<std::string> datagrams;
    for (std::size_t first = 0; first < notes.size(); first += MaxNotesInDatagram) {
        Json::Value list(Json::arrayValue);
        for (std::size_t i = first; i < std::min(notes.size(), first + MaxNotesInDatagram); ++i) {
            list.append(encode(notes[i]));
        }
        Json::Value value(Json::arrayValue);
        value.append(Kind);
        value.append(from.text());
        value.append(list);
        datagrams.push_back(jsonText(value));
    }
    return datagrams;
}

std::optional<std::vector<PartCrashNote>> readPartCrashDatagram(const Json::Value &value)
{
    const bool isDatagram = value.isArray() && value.size() == DatagramSize
        && value[DatagramKind].isString() && value[DatagramKind].asString() == Kind
        && value[DatagramNotes].isArray() && value[DatagramNotes].size() <= MaxNotesInDatagram;
    if (!isDatagram) {
        return std::nullopt;
    }
    std::vector<PartCrashNote> notes;
    for (const Json::Value &one : value[DatagramNotes]) {
        const auto note = readNote(one);
        if (!note) {
            return std::nullopt;
        }
        notes.push_back(*note);
    }
    return notes;
}

std::string encodeItem(const PartCrashNote &note)
{
    return jsonText(encode(note));
}

std::optional<PartCrashNote> readPartCrashItem(const std::string &text)
{
    return readNote(parseEntry(text));
}

} // namespace indigoway::crashes
