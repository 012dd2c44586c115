#include "queries.h"

#include "configuration/configuration.h"
#include "core/turn.h"
#include "membership/membership.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace indigoway {

namespace {

constexpr Duration PeerQueryTimeout = std::chrono::milliseconds(800);
constexpr std::uint32_t MaxListedChanges = 200;
const std::string ChangesKind = "changes";

std::optional<double> parseNumber(const std::string &text)
{
    double number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc {} && stop == end ? std::optional(number) : std::nullopt;
}

/** Compares numbers by value and other texts lexicographically. */
bool isLess(const std::string &a, const std::string &b)
{
    const auto x = parseNumber(a);
    const auto y = parseNumber(b);
    return x && y ? *x < *y : a < b;
}

bool isSatisfied(const Condition &condition, const std::string &value)
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

std::string unknownColumnMessage(const Table &table, const std::string &name)
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
            return unknownColumnMessage(table, condition.attribute);
        }
        std::erase_if(table.rows,
                      [&](const auto &row) { return !isSatisfied(condition, row[*column]); });
    }
    if (query.sortBy.empty()) {
        return table;
    }
    const auto column = columnOf(table, query.sortBy);
    if (!column) {
        return unknownColumnMessage(table, query.sortBy);
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
        m_pendingQueries[event.command] = {query, {}, {}};
        m_storeCalls[turn.callStore(StoreGet {storekeys::Changes, true, MaxListedChanges, true})] =
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
    PendingQuery &pending = m_pendingQueries[event.command];
    pending = {query, kind->second.source(turn), {}};
    if (kind->second.isDistributed) {
        for (const MemberUpdate *member : turn.members.present()) {
            if (member->life.node == turn.members.life().node) {
                continue;
            }
            pending.unanswered.insert(member->life.node);
            m_calls[turn.ask(member->life.node, FetchRows {query.kind}, PeerQueryTimeout)] = {
                event.command, member->life.node};
        }
    }
    if (pending.unanswered.empty()) {
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
    PendingQuery &pending = m_pendingQueries.at(command);
    const auto *reply = std::get_if<PeerReply>(&outcome);
    const auto *rows = reply ? std::get_if<Rows>(reply) : nullptr;
    if (rows && rows->table.columns == pending.table.columns) {
        pending.unanswered.erase(node);
        pending.table.rows.insert(pending.table.rows.end(), rows->table.rows.begin(),
                                  rows->table.rows.end());
    }
    const bool isComplete = std::none_of(m_calls.begin(), m_calls.end(), [&](const auto &other) {
        return other.second.first == command;
    });
    if (isComplete) {
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
        m_pendingQueries.erase(command);
        fail(turn, command,
             "the key-value service does not answer; cannot read the change history");
        return true;
    }
    m_pendingQueries.at(command).table = changesTable(*result);
    finish(turn, command);
    return true;
}

void Queries::finish(Turn &turn, CommandNumber command)
{
    PendingQuery pending = std::move(m_pendingQueries.at(command));
    m_pendingQueries.erase(command);
    auto result = filtered(pending.query, std::move(pending.table));
    if (const auto *error = std::get_if<std::string>(&result)) {
        fail(turn, command, *error);
        return;
    }
    AnswerQuery answer {command, std::get<Table>(std::move(result)), pending.query.asJson, {}, {}};
    for (const NodeName &node : pending.unanswered) {
        answer.notes.push_back("no answer from " + node.text());
    }
    turn.add(std::move(answer));
}

void Queries::fail(Turn &turn, CommandNumber command, const std::string &error) const
{
    turn.add(AnswerQuery {command, {}, false, {}, error});
}

} // namespace indigoway
