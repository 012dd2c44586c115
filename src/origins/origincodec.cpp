#include "origincodec.h"

#include "core/jsontext.h"
#include "origins/originrecords.h"

#include <algorithm>
#include <chrono>

namespace indigoway::origins {

namespace {

using std::chrono::milliseconds;

constexpr char Notice[] = "tell";
constexpr char Kept[] = "kept";
constexpr char Query[] = "ask";
constexpr char Answer[] = "know";

enum Position : Json::ArrayIndex {
    Kind,
    Node,
    Stream,
    Service,
    Version,
    Time,
    Content,               ///< Of a notice.
    IsAmbiguous = Content, ///< Of an answer.
    IsForStore,            ///< Of a notice; this and the next are left out if both are false.
    IsCorrection,
};

Json::Value start(const char *kind, const NodeName &from, const StreamId &stream)
{
    Json::Value value(Json::arrayValue);
    value.append(kind);
    value.append(from.text());
    value.append(stream.text());
    return value;
}

void append(Json::Value &value, const StreamOrigin &origin, Duration time)
{
    value.append(origin.service.text());
    value.append(origin.version);
    value.append(Json::Int64(std::chrono::duration_cast<milliseconds>(time).count()));
}

Json::Value body(const NodeName &from, const OriginNotice &notice)
{
    Json::Value value = start(Notice, from, notice.stream);
    append(value, notice.origin, notice.keepFor);
    value.append(notice.content.text());
    if (notice.isForStore || notice.isCorrection) {
        value.append(notice.isForStore);
        value.append(notice.isCorrection);
    }
    return value;
}

Json::Value body(const NodeName &from, const OriginKept &kept)
{
    return start(Kept, from, kept.stream);
}

Json::Value body(const NodeName &from, const OriginQuery &query)
{
    return start(Query, from, query.stream);
}

Json::Value body(const NodeName &from, const OriginAnswer &answer)
{
    Json::Value value = start(Answer, from, answer.stream);
    if (answer.record) {
        append(value, answer.record->origin, answer.record->age);
        value.append(answer.record->isAmbiguous);
    }
    return value;
}

/** Returns false if there is no such element; nodes of earlier releases send fewer. */
bool isTrue(const Json::Value &value, Position position)
{
    return value.size() > position && value[position].isBool() && value[position].asBool();
}

bool isName(const Json::Value &value)
{
    return value.isString() && value.asString().size() <= MaxNameBytes;
}

bool hasOrigin(const Json::Value &value)
{
    return value.size() > Time && isName(value[Service]) && isName(value[Version])
        && value[Time].isInt64();
}

StreamOrigin originOf(const Json::Value &value)
{
    return {ServiceName(value[Service].asString()), value[Version].asString()};
}

Duration timeOf(const Json::Value &value)
{
    const auto longest =
        std::chrono::duration_cast<milliseconds>(OriginRecords::MaxKeepTime).count();
    return milliseconds(std::clamp<std::int64_t>(value[Time].asInt64(), 0, longest));
}

std::optional<OriginMessage> readAnswer(const Json::Value &value, const StreamId &stream)
{
    if (value.size() == Service) {
        return OriginAnswer {stream, std::nullopt};
    }
    if (!hasOrigin(value) || value.size() <= IsAmbiguous || !value[IsAmbiguous].isBool()) {
        return std::nullopt;
    }
    return OriginAnswer {
        stream, OriginRecord {originOf(value), value[IsAmbiguous].asBool(), timeOf(value)}};
}

std::optional<OriginMessage> readMessage(const Json::Value &value)
{
    const std::string kind = value[Kind].asString();
    const StreamId stream(value[Stream].asString());
    if (kind == Notice && hasOrigin(value) && value.size() > Content && isName(value[Content])) {
        OriginNotice notice {stream, originOf(value), timeOf(value),
                             ContentId(value[Content].asString())};
        notice.isForStore = isTrue(value, IsForStore);
        notice.isCorrection = isTrue(value, IsCorrection);
        return notice;
    }
    if (kind == Kept) {
        return OriginKept {stream};
    }
    if (kind == Query) {
        return OriginQuery {stream};
    }
    return kind == Answer ? readAnswer(value, stream) : std::nullopt;
}

} // namespace

std::string encode(const NodeName &from, const OriginMessage &message)
{
    return jsonText(std::visit([&from](const auto &one) { return body(from, one); }, message));
}

std::optional<OriginDatagram> readOriginDatagram(const Json::Value &value)
{
    const bool hasHead = value.isArray() && value.size() > Stream && value[Kind].isString()
        && value[Node].isString() && !value[Node].asString().empty() && isName(value[Stream])
        && !value[Stream].asString().empty();
    if (!hasHead) {
        return std::nullopt;
    }
    auto message = readMessage(value);
    return message
        ? std::optional(OriginDatagram {NodeName(value[Node].asString()), std::move(*message)})
        : std::nullopt;
}

} // namespace indigoway::origins
