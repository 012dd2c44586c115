#pragma once

#include <json/json.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace indigoway {

/** Returns @p value as JSON on one line. */
inline std::string jsonText(const Json::Value &value)
{
    static const Json::StreamWriterBuilder Builder = [] {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return builder;
    }();
    return Json::writeString(Builder, value);
}

/** Parses @p text. Returns a null value if it is not valid JSON or nested too deeply. */
inline Json::Value parseJson(const std::string &text)
{
    // One per thread: a reader keeps state while it parses.
    thread_local const std::unique_ptr<Json::CharReader> Reader = [] {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["stackLimit"] = 200;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }();
    Json::Value value;
    try {
        if (!Reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return {};
        }
    } catch (const Json::Exception &) {
        // jsoncpp throws if the nesting exceeds stackLimit.
        return {};
    }
    return value;
}

/** Of an entry of the store that describes one thing, such as a server; sound ones are short. */
constexpr std::size_t MaxEntryBytes = std::size_t {64} * 1024;

/**
 * Parses an entry of the store that another writer may have written. Parsed JSON takes up to sixty
 * times its text, so that one entry of the longest values of a store would exceed a node's memory.
 * @return A null value also if @p text is longer than MaxEntryBytes.
 */
inline Json::Value parseEntry(const std::string &text)
{
    return text.size() <= MaxEntryBytes ? parseJson(text) : Json::Value();
}

/** Returns an upper bound for the values in the JSON @p text, which need not be valid. */
inline std::size_t jsonValueCount(std::string_view text)
{
    std::size_t count = 1;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString && c == '\\') {
            ++i;
        } else if (c == '"') {
            isInString = !isInString;
        } else if (!isInString && (c == ',' || c == '[' || c == '{')) {
            ++count;
        }
    }
    return count;
}

/** Returns the unsigned integer member @p name of @p object, or 0. */
inline std::uint64_t numberMember(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isUInt64() ? object[name].asUInt64() : 0;
}

/** Returns the numeric member @p name of @p object, or 0. */
inline double realMember(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isNumeric() ? object[name].asDouble() : 0;
}

/** Returns the string member @p name of @p object, or an empty string. */
inline std::string stringMember(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isString() ? object[name].asString() : std::string();
}

} // namespace indigoway
