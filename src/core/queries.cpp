#include "queries.h"

#include "configuration/configuration.h"
#include "core/turn.h"
#include "membership/membership.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace indigoway {

namespace {

constexpr Duration GatherTimeout = std::chrono::milliseconds(800);
constexpr std::uint32_t MostChanges = 200;
const std::string ChangesKind = "changes";

std::optional<double> numberIn(const std::string &text)
{
    double number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc {} && stop == end ? std::optional(number) : std::nullopt;
}

/** Numbers by value, all else by text. */
bool isLess(const std::string &a, const std::string &b)
{
    const auto x = numberIn(a);
    const auto y = numberIn(b);
    return x && y ? *x < *y : a < b;
}

bool holds(const Condition &condition, const std::string &value)
{
    switch (condition.comparison) {
    case Comparison::Equal:
        return value == condition.value;
    case Comparison::NotEqual:
        return value != condition.value;
    case Comparison::Less:
        return isLess(value, condition.value);
    case Comparison::Greater:
        return isLess(condition.value, value);
    }
    return false;
}

std::optional<std::size_t> columnOf(const Table &table, const std::string &name)
{
    const auto it = std::find(table.columns.begin(), table.columns.end(), name);
    if (it == table.columns.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - table.columns.begin());
}

std::string unknownColumn(const Table &table, const std::string &name)
{
    const std::string nearest = nearestWord(name, table.columns);
    return "there is no column " + name
        + (nearest.empty() ? std::string() : "; did you mean " + nearest + "?");
}

Table changesTable(const StoreResult &result)
{
    Table table {{"revision", "from", "when", "who", "command", "changes"}, {}};
    for (const StoreEntry &entry : result.entries) {
        const ChangeRecord record = parseChangeRecord(entry.value);
        table.rows.push_back({std::to_string(record.revision.value()),
                              std::to_string(record.from.value()), record.when, record.who,
                              record.command, record.changes});
    }
    return table;
}

} // namespace

std::variant<Table, std::string> filtered(const Query &query, Table table)
{
    for (const Condition &condition : query.conditions) {
        const auto column = columnOf(table, condition.attribute);
        if (!column) {
            return unknownColumn(table, condition.attribute);
        }
        std::erase_if(table.rows, [&](const auto &row) { return !holds(condition, row[*column]); });
    }
    if (query.sortBy.empty()) {
        return table;
    }
    const auto column = columnOf(table, query.sortBy);
    if (!column) {
        return unknownColumn(table, query.sortBy);
    }
    std::stable_sort(table.rows.begin(), table.rows.end(), [&](const auto &a, const auto &b) {
        return query.isDescending ? isLess(b[*column], a[*column]) : isLess(a[*column], b[*column]);
    });
    return table;
}

void Queries::add(const std::string &kind, Kind source)
{
    m_kinds[kind] = std::move(source);
}

void Queries::query(Turn &turn, const QueryArrived &event)
{
    auto parsed = parseQuery(event.text);
    if (const auto *error = std::get_if<LanguageError>(&parsed)) {
        fail(turn, event.command, error->text());
        return;
    }
    const Query &query = std::get<Query>(parsed);
    if (query.kind == ChangesKind) {
        m_gatherings[event.command] = {query, {}, {}};
        m_storeCalls[turn.callStore(StoreGet {storekeys::Changes, true, MostChanges, true})] =
            event.command;
        return;
    }
    const auto kind = m_kinds.find(query.kind);
    if (kind == m_kinds.end()) {
        std::vector<std::string> known {ChangesKind};
        std::string list = ChangesKind;
        for (const auto &[name, source] : m_kinds) {
            known.push_back(name);
            list += ", " + name;
        }
        const std::string nearest = nearestWord(query.kind, known);
        fail(turn, event.command,
             LanguageError {query.position,
                            "there is no table " + query.kind
                                + (nearest.empty() ? "; there are " + list
                                                   : "; did you mean " + nearest + "?")}
                 .text());
        return;
    }
    Gathering &gathering = m_gatherings[event.command];
    gathering = {query, kind->second.source(turn), {}};
    if (kind->second.isGathered) {
        for (const MemberUpdate *member : turn.members.present()) {
            if (member->life.node == turn.members.life().node) {
                continue;
            }
            gathering.missing.insert(member->life.node);
            m_calls[turn.ask(member->life.node, FetchRows {query.kind}, GatherTimeout)] = {
                event.command, member->life.node};
        }
    }
    if (gathering.missing.empty()) {
        finish(turn, event.command);
    }
}

void Queries::handleFetch(Turn &turn, PeerRequestNumber number, const FetchRows &fetch) const
{
    const auto kind = m_kinds.find(fetch.kind);
    turn.reply(number, Rows {kind == m_kinds.end() ? Table {} : kind->second.source(turn)});
}

bool Queries::handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return false;
    }
    const CommandNumber command = it->second.first;
    const NodeName node = it->second.second;
    m_calls.erase(it);
    Gathering &gathering = m_gatherings.at(command);
    const auto *reply = std::get_if<PeerReply>(&outcome);
    const auto *rows = reply ? std::get_if<Rows>(reply) : nullptr;
    if (rows && rows->table.columns == gathering.table.columns) {
        gathering.missing.erase(node);
        gathering.table.rows.insert(gathering.table.rows.end(), rows->table.rows.begin(),
                                    rows->table.rows.end());
    }
    const bool isLast = std::none_of(m_calls.begin(), m_calls.end(), [&](const auto &other) {
        return other.second.first == command;
    });
    if (isLast) {
        finish(turn, command);
    }
    return true;
}

bool Queries::storeAnswered(Turn &turn, const StoreAnswered &answer)
{
    const auto it = m_storeCalls.find(answer.call);
    if (it == m_storeCalls.end()) {
        return false;
    }
    const CommandNumber command = it->second;
    m_storeCalls.erase(it);
    const auto *result = std::get_if<StoreResult>(&answer.outcome);
    if (!result) {
        m_gatherings.erase(command);
        fail(turn, command,
             "the key-value service does not answer; the record of changes is there");
        return true;
    }
    m_gatherings.at(command).table = changesTable(*result);
    finish(turn, command);
    return true;
}

void Queries::finish(Turn &turn, CommandNumber command)
{
    Gathering gathering = std::move(m_gatherings.at(command));
    m_gatherings.erase(command);
    auto result = filtered(gathering.query, std::move(gathering.table));
    if (const auto *error = std::get_if<std::string>(&result)) {
        fail(turn, command, *error);
        return;
    }
    AnswerQuery answer {
        command, std::get<Table>(std::move(result)), gathering.query.asJson, {}, {}};
    for (const NodeName &node : gathering.missing) {
        answer.notes.push_back("no answer from " + node.text());
    }
    turn.add(std::move(answer));
}

void Queries::fail(Turn &turn, CommandNumber command, const std::string &error) const
{
    turn.add(AnswerQuery {command, {}, false, {}, error});
}

} // namespace indigoway
