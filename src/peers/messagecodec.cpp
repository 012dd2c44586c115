#include "messagecodec.h"

#include <limits>
#include <type_traits>

namespace indigoway {

namespace {

// Each message lists its fields once; writing and reading both follow that list. The names are
// short because they are sent with each message, and control traffic is bounded per node.

template <typename V>
void fields(V &v, NodeLife &m)
{
    v("n", m.node);
    v("i", m.incarnation);
}
template <typename V>
void fields(V &v, MemberUpdate &m)
{
    v("l", m.life);
    v("s", m.state);
    v("v", m.version);
    v("c", m.callerAddress);
    v("p", m.peerAddress);
    v("d", m.domain);
}
template <typename V>
void fields(V &v, Ping &m)
{
    v("from", m.from);
    v("news", m.updates);
    v("rev", m.revision);
    v("all", m.wantsAll);
}
template <typename V>
void fields(V &v, IndirectPing &m)
{
    v("target", m.target);
}
template <typename V>
void fields(V & /*v*/, FetchConfiguration & /*m*/)
{ }
template <typename V>
void fields(V &v, ClaimCapacity &m)
{
    v("o", m.owner);
    v("r", m.request);
    v("a", m.attempt);
    v("t", m.target);
    v("cell", m.cell);
    v("p", m.promptTokens);
    v("out", m.outputTokens);
    v("d", m.untilDeadline);
    v("w", m.patience);
    v("u", m.priority);
    v("cont", m.isContinuation);
    v("h", m.prefixHashes);
    v("not", m.avoid);
}
template <typename V>
void fields(V &v, PrefillEnded &m)
{
    v("c", m.claim);
    v("ok", m.isOk);
    v("e", m.elapsed);
    v("not", m.avoid);
}
template <typename V>
void fields(V &v, ClaimIdentity &m)
{
    v("o", m.owner);
    v("r", m.request);
    v("a", m.attempt);
}
template <typename V>
void fields(V &v, ReleaseClaim &m)
{
    v("c", m.claim);
    v("id", m.identity);
    v("target", m.target);
    v("cell", m.cell);
    v("t", m.tokens);
    v("e", m.decodeTime);
    v("f", m.serverFailed);
}
template <typename V>
void fields(V &v, AdoptClaim &m)
{
    v("o", m.owner);
    v("r", m.request);
    v("a", m.attempt);
    v("t", m.target);
    v("cell", m.cell);
    v("s", m.server);
    v("out", m.outputTokens);
}
template <typename V>
void fields(V &v, FetchOwnedRequests &m)
{
    v("r", m.requests);
}
template <typename V>
void fields(V &v, FetchRows &m)
{
    v("kind", m.kind);
}
template <typename V>
void fields(V &v, Pong &m)
{
    v("from", m.from);
    v("news", m.updates);
    v("rev", m.revision);
}
template <typename V>
void fields(V &v, ProbeResult &m)
{
    v("alive", m.isAlive);
}
template <typename V>
void fields(V &v, ConfigurationText &m)
{
    v("rev", m.revision);
    v("text", m.text);
}
template <typename V>
void fields(V &v, Granted &m)
{
    v("c", m.claim);
    v("s", m.server);
}
template <typename V>
void fields(V &v, DecodeAssigned &m)
{
    v("s", m.server);
}
template <typename V>
void fields(V &v, NotGranted &m)
{
    v("why", m.reason);
    v("after", m.retryAfter);
}
template <typename V>
void fields(V &v, OwnedRequests &m)
{
    v("r", m.requests);
}
template <typename V>
void fields(V &v, Table &m)
{
    v("columns", m.columns);
    v("rows", m.rows);
}
template <typename V>
void fields(V &v, Rows &m)
{
    v("table", m.table);
}
template <typename V>
void fields(V & /*v*/, Acknowledged & /*m*/)
{ }

template <typename T>
constexpr bool IsName = false;
template <typename Tag>
constexpr bool IsName<Name<Tag>> = true;
template <typename T>
constexpr bool IsNumber = false;
template <typename Tag>
constexpr bool IsNumber<Number<Tag>> = true;
template <typename T>
constexpr bool IsVector = false;
template <typename T>
constexpr bool IsVector<std::vector<T>> = true;

/** Number of enumerators, for the check of what comes in. */
template <typename Enum>
constexpr int EnumSize = 0;
template <>
constexpr int EnumSize<MemberState> = 4;
template <>
constexpr int EnumSize<NotGranted::Reason> = 4;

class FieldWriter
{
public:
    template <typename T>
    void operator()(const char *name, T &value)
    {
        m_value[name] = write(value);
    }
    Json::Value take() { return std::move(m_value); }

    template <typename T>
    static Json::Value write(T &value)
    {
        if constexpr (std::is_same_v<T, std::string> || std::is_same_v<T, bool>) {
            return Json::Value(value);
        } else if constexpr (IsName<T>) {
            return Json::Value(value.text());
        } else if constexpr (IsNumber<T>) {
            return Json::Value(Json::UInt64(value.value()));
        } else if constexpr (std::is_enum_v<T>) {
            return Json::Value(static_cast<int>(value));
        } else if constexpr (std::is_same_v<T, Duration>) {
            return Json::Value(Json::Int64(value.count()));
        } else if constexpr (std::is_unsigned_v<T>) {
            return Json::Value(Json::UInt64(value));
        } else if constexpr (IsVector<T>) {
            Json::Value array(Json::arrayValue);
            for (auto &element : value) {
                array.append(write(element));
            }
            return array;
        } else {
            FieldWriter nested;
            fields(nested, value);
            return nested.take();
        }
    }

private:
    Json::Value m_value {Json::objectValue};
};

class FieldReader
{
public:
    explicit FieldReader(const Json::Value &value)
        : m_value(value)
        , m_isOk(value.isObject())
    { }

    template <typename T>
    void operator()(const char *name, T &value)
    {
        if (!m_isOk || !m_value.isMember(name)) {
            m_isOk = false;
            return;
        }
        m_isOk = read(m_value[name], value);
    }
    bool isOk() const { return m_isOk; }

    template <typename T>
    static bool read(const Json::Value &json, T &value)
    {
        if constexpr (std::is_same_v<T, std::string>) {
            return readIf(json.isString(), [&] { value = json.asString(); });
        } else if constexpr (std::is_same_v<T, bool>) {
            return readIf(json.isBool(), [&] { value = json.asBool(); });
        } else if constexpr (IsName<T>) {
            return readIf(json.isString(), [&] { value = T(json.asString()); });
        } else if constexpr (IsNumber<T>) {
            return readIf(json.isUInt64(), [&] { value = T(json.asUInt64()); });
        } else if constexpr (std::is_enum_v<T>) {
            const bool isValid = json.isInt() && json.asInt() >= 0 && json.asInt() < EnumSize<T>;
            return readIf(isValid, [&] { value = static_cast<T>(json.asInt()); });
        } else if constexpr (std::is_same_v<T, Duration>) {
            return readIf(json.isInt64(), [&] { value = Duration(json.asInt64()); });
        } else if constexpr (std::is_unsigned_v<T>) {
            const bool isValid =
                json.isUInt64() && json.asUInt64() <= std::numeric_limits<T>::max();
            return readIf(isValid, [&] { value = static_cast<T>(json.asUInt64()); });
        } else if constexpr (IsVector<T>) {
            if (!json.isArray()) {
                return false;
            }
            value.resize(json.size());
            for (Json::ArrayIndex i = 0; i < json.size(); ++i) {
                if (!read(json[i], value[i])) {
                    return false;
                }
            }
            return true;
        } else {
            FieldReader nested(json);
            fields(nested, value);
            return nested.isOk();
        }
    }

private:
    template <typename Assign>
    static bool readIf(bool isValid, Assign assign)
    {
        if (isValid) {
            assign();
        }
        return isValid;
    }

    const Json::Value &m_value;
    bool m_isOk;
};

template <typename T>
constexpr const char *WireName = nullptr;
template <>
constexpr const char *WireName<Ping> = "ping";
template <>
constexpr const char *WireName<IndirectPing> = "pingOnBehalf";
template <>
constexpr const char *WireName<FetchConfiguration> = "fetchConfiguration";
template <>
constexpr const char *WireName<ClaimCapacity> = "claimCapacity";
template <>
constexpr const char *WireName<PrefillEnded> = "prefillEnded";
template <>
constexpr const char *WireName<ReleaseClaim> = "releaseClaim";
template <>
constexpr const char *WireName<AdoptClaim> = "adoptClaim";
template <>
constexpr const char *WireName<FetchOwnedRequests> = "whichAreYours";
template <>
constexpr const char *WireName<FetchRows> = "fetchRows";
template <>
constexpr const char *WireName<Pong> = "pong";
template <>
constexpr const char *WireName<ProbeResult> = "probeResult";
template <>
constexpr const char *WireName<ConfigurationText> = "configuration";
template <>
constexpr const char *WireName<Granted> = "granted";
template <>
constexpr const char *WireName<DecodeAssigned> = "decodeAssigned";
template <>
constexpr const char *WireName<NotGranted> = "notGranted";
template <>
constexpr const char *WireName<OwnedRequests> = "theseAreMine";
template <>
constexpr const char *WireName<Rows> = "rows";
template <>
constexpr const char *WireName<Acknowledged> = "ok";

/** Calls @p visit with a default value of each alternative, until one call returns true. */
template <typename Variant, typename Visit, std::size_t... Index>
bool anyAlternative(Visit visit, std::index_sequence<Index...> /*indices*/)
{
    return (visit(std::variant_alternative_t<Index, Variant> {}) || ...);
}

template <typename Variant>
std::optional<Variant> decode(const std::string &name, const Json::Value &json)
{
    std::optional<Variant> decoded;
    anyAlternative<Variant>(
        [&](auto message) {
            if (name != WireName<decltype(message)>) {
                return false;
            }
            if (FieldReader::read(json, message)) {
                decoded = std::move(message);
            }
            return true;
        },
        std::make_index_sequence<std::variant_size_v<Variant>> {});
    return decoded;
}

const char *const KindField = "is";
const char *const ContentField = "m";

} // namespace

EncodedRequest encodeRequest(const PeerRequest &request)
{
    return std::visit(
        [](const auto &message) {
            auto copy = message;
            return EncodedRequest {WireName<decltype(copy)>, FieldWriter::write(copy)};
        },
        request);
}

std::optional<PeerRequest> decodeRequest(const std::string &method, const Json::Value &params)
{
    return decode<PeerRequest>(method, params);
}

std::vector<std::string> peerMethods()
{
    std::vector<std::string> methods;
    anyAlternative<PeerRequest>(
        [&](const auto &message) {
            methods.emplace_back(WireName<std::decay_t<decltype(message)>>);
            return false;
        },
        std::make_index_sequence<std::variant_size_v<PeerRequest>> {});
    return methods;
}

Json::Value encodeReply(const PeerReply &reply)
{
    return std::visit(
        [](const auto &message) {
            auto copy = message;
            Json::Value value;
            value[KindField] = WireName<decltype(copy)>;
            value[ContentField] = FieldWriter::write(copy);
            return value;
        },
        reply);
}

std::optional<PeerReply> decodeReply(const Json::Value &value)
{
    if (!value.isObject() || !value[KindField].isString()) {
        return std::nullopt;
    }
    return decode<PeerReply>(value[KindField].asString(), value[ContentField]);
}

} // namespace indigoway
