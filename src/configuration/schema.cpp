#include "schema.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>
#include <set>

namespace indigoway {

namespace {

/** Empty on success. From read(): which values are valid; from checks: the error message. */
using ErrorText = std::string;

struct DurationUnit
{
    const char *suffix;
    Duration length;
};

constexpr DurationUnit DurationUnits[] = {
    {"min", std::chrono::minutes(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"us", std::chrono::microseconds(1)},
    {"s", std::chrono::seconds(1)},
};

constexpr Duration MaxDuration = std::chrono::hours(24);

ErrorText read(const std::string &value, Duration &duration)
{
    std::uint32_t amount = 0;
    const char *end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, amount);
    const std::string suffix(stop, end);
    for (const DurationUnit &unit : DurationUnits) {
        if (error == std::errc {} && suffix == unit.suffix && amount > 0
            && amount <= MaxDuration / unit.length) {
            duration = unit.length * amount;
            return {};
        }
    }
    return "a duration from 1us to 1440min, such as 680ms, 5s or 2min";
}

template <typename Integer>
ErrorText readInteger(const std::string &value, Integer &number, Integer minimum, Integer maximum)
{
    Integer parsed = 0;
    const char *end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, parsed);
    if (error != std::errc {} || stop != end || parsed < minimum || parsed > maximum) {
        return "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    }
    number = parsed;
    return {};
}

ErrorText read(const std::string &value, std::uint32_t &number)
{
    return readInteger<std::uint32_t>(value, number, 0, 100'000'000);
}

ErrorText read(const std::string &value, std::uint64_t &number)
{
    return readInteger<std::uint64_t>(value, number, 0, std::numeric_limits<std::int64_t>::max());
}

ErrorText read(const std::string &value, bool &flag)
{
    if (value != "yes" && value != "no") {
        return "yes or no";
    }
    flag = value == "yes";
    return {};
}

ErrorText read(const std::string &value, std::string &text)
{
    text = value;
    return {};
}

template <typename Tag>
ErrorText read(const std::string &value, Name<Tag> &name)
{
    name = Name<Tag>(value);
    return {};
}

template <typename Enum>
struct EnumWord
{
    Enum value;
    const char *word;
};

constexpr EnumWord<Role> RoleWords[] = {
    {Role::Prefill, "prefill"}, {Role::Decode, "decode"}, {Role::Service, "service"}};
constexpr EnumWord<ServerState> StateWords[] = {{ServerState::Active, "active"},
                                                {ServerState::Draining, "draining"},
                                                {ServerState::Stopped, "stopped"}};
constexpr EnumWord<LatePolicy> LatePolicyWords[] = {{LatePolicy::Refuse, "refuse"},
                                                    {LatePolicy::Finish, "finish"}};

template <typename Enum, std::size_t Size>
ErrorText readEnum(const EnumWord<Enum> (&words)[Size], const std::string &value, Enum &result)
{
    std::string known;
    for (const EnumWord<Enum> &word : words) {
        if (value == word.word) {
            result = word.value;
            return {};
        }
        known += (known.empty() ? "" : ", ") + std::string(word.word);
    }
    return "one of " + known;
}

template <typename Enum, std::size_t Size>
std::string writeEnum(const EnumWord<Enum> (&words)[Size], Enum value)
{
    const auto *it = std::find_if(std::begin(words), std::end(words),
                                  [&](const auto &word) { return word.value == value; });
    return it->word;
}

ErrorText read(const std::string &value, Role &role)
{
    return readEnum(RoleWords, value, role);
}
ErrorText read(const std::string &value, ServerState &state)
{
    return readEnum(StateWords, value, state);
}
ErrorText read(const std::string &value, LatePolicy &policy)
{
    return readEnum(LatePolicyWords, value, policy);
}

std::string write(Duration duration)
{
    return durationText(duration);
}
std::string write(std::uint32_t number)
{
    return std::to_string(number);
}
std::string write(std::uint64_t number)
{
    return std::to_string(number);
}
std::string write(bool flag)
{
    return flag ? "yes" : "no";
}
std::string write(const std::string &text)
{
    return text;
}
template <typename Tag>
std::string write(const Name<Tag> &name)
{
    return name.text();
}
std::string write(Role role)
{
    return writeEnum(RoleWords, role);
}
std::string write(ServerState state)
{
    return writeEnum(StateWords, state);
}
std::string write(LatePolicy policy)
{
    return writeEnum(LatePolicyWords, policy);
}

/** Parser and formatter of one attribute of an object. */
template <typename Object>
struct Attribute
{
    std::string name;
    std::function<ErrorText(Object &, const std::string &)> read;
    std::function<std::string(const Object &)> write;
};

template <typename Object, typename Value>
Attribute<Object> attribute(const char *name, Value Object::*member)
{
    return {
        name,
        [member](Object &object, const std::string &value) { return read(value, object.*member); },
        [member](const Object &object) {
            return write(object.*member);
        }};
}

const std::vector<Attribute<Target>> &modelAttributes()
{
    static const std::vector<Attribute<Target>> Attributes {
        attribute("version", &Target::version),
        attribute("priority", &Target::priority),
        attribute("first-token", &Target::firstToken),
        attribute("between-tokens", &Target::betweenTokens),
        attribute("patience", &Target::patience),
        attribute("max-prompt", &Target::maxPromptTokens),
        attribute("max-output", &Target::maxOutputTokens),
        attribute("max-queued", &Target::maxQueued),
        attribute("kv-bytes", &Target::kvBytes),
        attribute("late", &Target::late),
        attribute("repeatable", &Target::repeatable),
    };
    return Attributes;
}

const std::vector<Attribute<Target>> &serviceAttributes()
{
    static const std::vector<Attribute<Target>> Attributes {
        attribute("prefix", &Target::prefix),          attribute("priority", &Target::priority),
        attribute("first-token", &Target::firstToken), attribute("patience", &Target::patience),
        attribute("max-queued", &Target::maxQueued),   attribute("late", &Target::late),
        attribute("repeatable", &Target::repeatable),
    };
    return Attributes;
}

const std::vector<Attribute<Pool>> &poolAttributes()
{
    static const std::vector<Attribute<Pool>> Attributes {
        attribute("role", &Pool::role),
        attribute("target", &Pool::target),
        attribute("link-rate", &Pool::linkRate),
    };
    return Attributes;
}

const std::vector<Attribute<Server>> &serverAttributes()
{
    static const std::vector<Attribute<Server>> Attributes {
        attribute("pool", &Server::pool),     attribute("address", &Server::address),
        attribute("domain", &Server::domain), attribute("slots", &Server::slots),
        attribute("state", &Server::state),   attribute("checks-fencing", &Server::checksFencing),
    };
    return Attributes;
}

template <typename Object>
std::vector<std::string> namesOf(const std::vector<Attribute<Object>> &attributes)
{
    std::vector<std::string> names;
    names.reserve(attributes.size());
    for (const auto &attribute : attributes) {
        names.push_back(attribute.name);
    }
    return names;
}

std::string withHint(const std::string &message, const std::string &nearest)
{
    return nearest.empty() ? message : message + "; did you mean " + nearest + "?";
}

template <typename Object>
std::optional<LanguageError> applySettings(Object &object,
                                           const std::vector<Attribute<Object>> &attributes,
                                           const Statement &statement)
{
    std::set<std::string> given;
    for (const Setting &setting : statement.settings) {
        if (!given.insert(setting.attribute).second) {
            return LanguageError {setting.position, setting.attribute + " is given twice"};
        }
        const auto it = std::find_if(attributes.begin(), attributes.end(), [&](const auto &known) {
            return known.name == setting.attribute;
        });
        if (it == attributes.end()) {
            return LanguageError {
                setting.position,
                withHint("a " + statement.kind + " has no attribute " + setting.attribute,
                         nearestWord(setting.attribute, namesOf(attributes)))};
        }
        const ErrorText error = it->read(object, setting.value);
        if (!error.empty()) {
            return LanguageError {setting.position,
                                  setting.attribute + " must be " + error + ", not "
                                      + quoted(setting.value)};
        }
    }
    return std::nullopt;
}

template <typename Map>
std::vector<std::string> keysOf(const Map &map)
{
    std::vector<std::string> names;
    names.reserve(map.size());
    for (const auto &[name, object] : map) {
        names.push_back(name.text());
    }
    return names;
}

ServerState stateAfter(Verb verb)
{
    switch (verb) {
    case Verb::Drain:
        return ServerState::Draining;
    case Verb::Stop:
        return ServerState::Stopped;
    default:
        return ServerState::Active;
    }
}

template <typename Map, typename Object>
std::optional<LanguageError> applyToObject(Map &map,
                                           const std::vector<Attribute<Object>> &attributes,
                                           Object defaults, const Statement &statement)
{
    const typename Map::key_type name(statement.name);
    const auto it = map.find(name);
    if (statement.verb == Verb::Add) {
        if (it != map.end()) {
            return LanguageError {statement.position,
                                  statement.kind + " " + statement.name + " already exists"};
        }
        defaults.name = name;
        if (auto error = applySettings(defaults, attributes, statement)) {
            return error;
        }
        map.emplace(name, std::move(defaults));
        return std::nullopt;
    }
    if (it == map.end()) {
        return LanguageError {statement.position,
                              withHint("there is no " + statement.kind + " " + statement.name,
                                       nearestWord(statement.name, keysOf(map)))};
    }
    if (statement.verb == Verb::Remove) {
        map.erase(it);
        return std::nullopt;
    }
    return applySettings(it->second, attributes, statement);
}

std::optional<LanguageError> applyStateChange(Deployment &deployment, const Statement &statement)
{
    if (statement.kind != "server") {
        return LanguageError {statement.position,
                              "only a server can be drained, stopped or resumed"};
    }
    if (!statement.settings.empty()) {
        return LanguageError {statement.settings.front().position, "no attribute is expected here"};
    }
    const auto it = deployment.servers.find(ServerName(statement.name));
    if (it == deployment.servers.end()) {
        return LanguageError {statement.position,
                              withHint("there is no server " + statement.name,
                                       nearestWord(statement.name, keysOf(deployment.servers)))};
    }
    it->second.state = stateAfter(statement.verb);
    return std::nullopt;
}

std::optional<LanguageError> applyStatement(Deployment &deployment, const Statement &statement)
{
    if (statement.verb == Verb::Drain || statement.verb == Verb::Stop
        || statement.verb == Verb::Resume) {
        return applyStateChange(deployment, statement);
    }
    if (statement.kind == "pool") {
        return applyToObject(deployment.pools, poolAttributes(), Pool {}, statement);
    }
    if (statement.kind == "server") {
        return applyToObject(deployment.servers, serverAttributes(), Server {}, statement);
    }
    const bool isService = statement.kind == "service";
    const Target *existing = deployment.target(TargetName(statement.name));
    if (existing && existing->isService != isService) {
        return LanguageError {statement.position,
                              statement.name + " is a "
                                  + (existing->isService ? "service" : "model")};
    }
    Target defaults;
    defaults.isService = isService;
    return applyToObject(deployment.targets, isService ? serviceAttributes() : modelAttributes(),
                         defaults, statement);
}

bool isSocketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::uint32_t port = 0;
    if (!readInteger<std::uint32_t>(address.substr(colon + 1), port, 1, 65535).empty()) {
        return false;
    }
    const std::string host = address.substr(0, colon);
    return host.find_first_not_of("0123456789.") == std::string::npos
        || (host.front() == '[' && host.back() == ']');
}

ErrorText checkPool(const Deployment &deployment, const Pool &pool)
{
    const Target *target = deployment.target(pool.target);
    if (!target) {
        return withHint("pool " + pool.name.text() + ": there is no model or service "
                            + quoted(pool.target.text()),
                        nearestWord(pool.target.text(), keysOf(deployment.targets)));
    }
    if (target->isService != (pool.role == Role::Service)) {
        return "pool " + pool.name.text() + ": the role does not match the kind of "
            + target->name.text();
    }
    return {};
}

ErrorText checkServer(const Deployment &deployment, const Server &server)
{
    if (!deployment.pool(server.pool)) {
        return withHint("server " + server.name.text() + ": there is no pool "
                            + quoted(server.pool.text()),
                        nearestWord(server.pool.text(), keysOf(deployment.pools)));
    }
    if (!isSocketAddress(server.address)) {
        return "server " + server.name.text() + ": address must be IP:port, not "
            + quoted(server.address);
    }
    if (server.slots == 0) {
        return "server " + server.name.text() + ": slots must be at least 1";
    }
    return {};
}

ErrorText checkTarget(const Target &target)
{
    constexpr std::uint32_t MaxPriority = 7;
    if (target.priority > MaxPriority) {
        return target.name.text() + ": priority must be from 0 to 7";
    }
    if (target.isService && !target.prefix.starts_with('/')) {
        return "service " + target.name.text() + ": prefix must begin with /";
    }
    return {};
}

ErrorText checkDeployment(const Deployment &deployment)
{
    for (const auto &[name, target] : deployment.targets) {
        if (ErrorText error = checkTarget(target); !error.empty()) {
            return error;
        }
    }
    for (const auto &[name, pool] : deployment.pools) {
        if (ErrorText error = checkPool(deployment, pool); !error.empty()) {
            return error;
        }
    }
    for (const auto &[name, server] : deployment.servers) {
        if (ErrorText error = checkServer(deployment, server); !error.empty()) {
            return error;
        }
    }
    return {};
}

/** Returns the declaration of @p object, without attributes that equal those of @p defaults. */
template <typename Object>
std::string declarationOf(const std::string &kind, const Object &object, const Object &defaults,
                          const std::vector<Attribute<Object>> &attributes)
{
    std::string line = kind + ' ' + object.name.text();
    for (const Attribute<Object> &attribute : attributes) {
        const std::string value = attribute.write(object);
        if (value != attribute.write(defaults)) {
            line += ' ' + attribute.name + ' ' + quoted(value);
        }
    }
    return line;
}

std::vector<std::string> declarationLines(const Deployment &deployment)
{
    std::vector<std::string> lines;
    for (const auto &[name, target] : deployment.targets) {
        Target defaults;
        defaults.isService = target.isService;
        lines.push_back(target.isService
                            ? declarationOf("service", target, defaults, serviceAttributes())
                            : declarationOf("model", target, defaults, modelAttributes()));
    }
    for (const auto &[name, pool] : deployment.pools) {
        lines.push_back(declarationOf("pool", pool, Pool {}, poolAttributes()));
    }
    for (const auto &[name, server] : deployment.servers) {
        lines.push_back(declarationOf("server", server, Server {}, serverAttributes()));
    }
    return lines;
}

} // namespace

std::string durationText(Duration duration)
{
    if (duration % std::chrono::minutes(1) == Duration::zero()) {
        return std::to_string(duration / std::chrono::minutes(1)) + "min";
    }
    if (duration % std::chrono::seconds(1) == Duration::zero()) {
        return std::to_string(duration / std::chrono::seconds(1)) + "s";
    }
    if (duration % std::chrono::milliseconds(1) == Duration::zero()) {
        return std::to_string(duration / std::chrono::milliseconds(1)) + "ms";
    }
    return std::to_string(duration.count()) + "us";
}

std::variant<Deployment, LanguageError> applyStatements(const Deployment &base,
                                                        const Statements &statements)
{
    Deployment next = base;
    for (const Statement &statement : statements) {
        if (auto error = applyStatement(next, statement)) {
            return *error;
        }
    }
    const ErrorText error = checkDeployment(next);
    if (!error.empty()) {
        return LanguageError {statements.empty() ? TextPosition {} : statements.back().position,
                              error};
    }
    return next;
}

std::variant<Deployment, LanguageError> applyText(const Deployment &base, const std::string &text)
{
    auto parsed = parseStatements(text);
    if (const auto *error = std::get_if<LanguageError>(&parsed)) {
        return *error;
    }
    return applyStatements(base, std::get<Statements>(parsed));
}

std::string declarationsOf(const Deployment &deployment)
{
    std::string text;
    for (const std::string &line : declarationLines(deployment)) {
        text += line + '\n';
    }
    return text;
}

std::vector<std::string> differences(const Deployment &from, const Deployment &to)
{
    const std::vector<std::string> before = declarationLines(from);
    const std::vector<std::string> after = declarationLines(to);
    const std::set<std::string> linesBefore(before.begin(), before.end());
    const std::set<std::string> linesAfter(after.begin(), after.end());
    std::vector<std::string> lines;
    for (const std::string &line : before) {
        if (!linesAfter.contains(line)) {
            lines.push_back("- " + line);
        }
    }
    for (const std::string &line : after) {
        if (!linesBefore.contains(line)) {
            lines.push_back("+ " + line);
        }
    }
    return lines;
}

} // namespace indigoway
