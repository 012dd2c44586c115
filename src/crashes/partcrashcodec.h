#pragma once

#include <indigoway/crashnote.h>

#include <json/json.h>

#include <optional>
#include <string>
#include <vector>

namespace indigoway::crashes {

/** The maximum number of notes in one datagram, which must not be fragmented. */
constexpr std::size_t MaxNotesInDatagram = 10;

/** Encodes @p notes of node @p from as JSON, in single datagrams. */
std::vector<std::string> encodeDatagrams(const NodeName &from,
                                         const std::vector<PartCrashNote> &notes);
/** Parses a datagram; returns nothing if @p value is something else or invalid. */
std::optional<std::vector<PartCrashNote>> readPartCrashDatagram(const Json::Value &value);

/** Encodes a note as the value of an item in the store. */
std::string encodeItem(const PartCrashNote &note);
/** Parses encodeItem(); returns nothing if @p text is invalid. */
std::optional<PartCrashNote> readPartCrashItem(const std::string &text);

} // namespace indigoway::crashes
