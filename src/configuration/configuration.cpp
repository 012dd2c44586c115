#include "configuration.h"

#include "configuration/schema.h"
#include "core/jsontext.h"
#include "core/turn.h"
#include "membership/membership.h"

#include <charconv>

namespace indigoway {

namespace storekeys {

const std::string Head = "/indigoway/configuration/head";
const std::string Text = "/indigoway/configuration/text";
const std::string Changes = "/indigoway/changes/";

std::string change(Revision revision)
{
    constexpr std::size_t Width = 12;
    const std::string digits = std::to_string(revision.value());
    return Changes + std::string(Width - std::min(Width, digits.size()), '0') + digits;
}

} // namespace storekeys

namespace {

constexpr Duration PollInterval = std::chrono::seconds(1);
/** Past this a command whose write was never answered is answered "in doubt". */
constexpr Duration SettleFor = std::chrono::seconds(10);
constexpr Duration SettleAgainAfter = std::chrono::milliseconds(500);
constexpr Duration PeerFetchTimeout = std::chrono::seconds(3);
/** The platform's limit of a value, less room for the revision. */
constexpr std::size_t MostTextBytes = 1'000'000;
constexpr std::size_t MostRecordBytes = 32'768;
/** Entries of the record that are kept; the oldest goes with each change. */
constexpr std::uint64_t MostRecords = 5'000;

std::string shortened(const std::string &text)
{
    return text.size() <= MostRecordBytes ? text : text.substr(0, MostRecordBytes) + "\n[cut]";
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + '\n';
    }
    return text;
}

struct RevisionText
{
    Revision revision;
    std::string text;
};

RevisionText splitValue(const std::string &value)
{
    std::uint64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc {} || stop == end || *stop != '\n') {
        return {};
    }
    return {Revision(number), std::string(stop + 1, end)};
}

const StoreEntry *entryOf(const StoreResult &result, const std::string &key)
{
    for (const StoreEntry &entry : result.entries) {
        if (entry.key == key) {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace

std::string changeRecordText(const ChangeRecord &record)
{
    Json::Value value;
    value["revision"] = Json::UInt64(record.revision.value());
    value["from"] = Json::UInt64(record.from.value());
    value["who"] = record.who;
    value["when"] = record.when;
    value["command"] = record.command;
    value["changes"] = record.changes;
    value["id"] = record.id;
    return jsonText(value);
}

ChangeRecord parseChangeRecord(const std::string &text)
{
    const Json::Value value = parseJson(text);
    return {Revision(numberMember(value, "revision")),
            Revision(numberMember(value, "from")),
            stringMember(value, "who"),
            stringMember(value, "when"),
            stringMember(value, "command"),
            stringMember(value, "changes"),
            stringMember(value, "id")};
}

void Configuration::start(Turn &turn)
{
    m_timers.set({Timer::Poll, {}}, turn.now);
}

void Configuration::command(Turn &turn, const CommandArrived &command)
{
    Command &pending = m_commands[command.command];
    pending.arrived = command;
    pending.since = turn.now;
    pending.id = turn.members.life().node.text() + '.'
        + std::to_string(turn.members.life().incarnation.value()) + '.'
        + std::to_string(command.command.value());
    const auto call = turn.callStore(StoreGet {storekeys::Text});
    m_calls[call] = {Purpose::ForCommand, command.command};
}

void Configuration::heard(Turn &turn, Revision heard, const NodeName &from)
{
    if (heard <= m_revision || m_peerFetch) {
        return;
    }
    m_peerFetch = turn.ask(from, FetchConfiguration {}, PeerFetchTimeout);
}

void Configuration::handleFetch(Turn &turn, PeerRequestNumber number) const
{
    turn.reply(number, ConfigurationText {m_revision, m_text});
}

bool Configuration::handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome)
{
    if (!m_peerFetch || *m_peerFetch != call) {
        return false;
    }
    m_peerFetch.reset();
    const auto *reply = std::get_if<PeerReply>(&outcome);
    if (const auto *found = reply ? std::get_if<ConfigurationText>(reply) : nullptr) {
        adopt(turn, found->revision, found->text);
    }
    return true;
}

bool Configuration::storeAnswered(Turn &turn, const StoreAnswered &answer)
{
    const auto it = m_calls.find(answer.call);
    if (it == m_calls.end()) {
        return false;
    }
    const Call call = it->second;
    m_calls.erase(it);
    const auto *result = std::get_if<StoreResult>(&answer.outcome);
    if (result) {
        m_storeSeen = turn.now;
    }
    if (call.purpose == Purpose::PollHead) {
        const StoreEntry *head = result ? entryOf(*result, storekeys::Head) : nullptr;
        std::uint64_t number = 0;
        if (head) {
            std::from_chars(head->value.data(), head->value.data() + head->value.size(), number);
        }
        if (Revision(number) > m_revision) {
            fetchText(turn);
        }
        return true;
    }
    if (call.purpose == Purpose::FetchText) {
        m_isFetching = false;
        if (const StoreEntry *text = result ? entryOf(*result, storekeys::Text) : nullptr) {
            takeValue(turn, *text);
        }
        return true;
    }
    const auto command = m_commands.find(call.command);
    if (command == m_commands.end()) {
        return true;
    }
    switch (command->second.phase) {
    case Phase::Reading:
        commandRead(turn, call.command, answer);
        break;
    case Phase::Writing:
        commandWritten(turn, call.command, answer);
        break;
    case Phase::Settling:
        commandSettled(turn, call.command, answer);
        break;
    }
    return true;
}

void Configuration::runDue(Turn &turn)
{
    for (const auto &[timer, number] : m_timers.takeDue(turn.now)) {
        if (timer == Timer::Poll) {
            m_timers.set({Timer::Poll, {}}, turn.now + turn.jittered(PollInterval));
            poll(turn);
            continue;
        }
        const auto it = m_commands.find(number);
        if (it == m_commands.end()) {
            continue;
        }
        if (turn.now - it->second.since > SettleFor) {
            answer(turn, number,
                   {CommandOutcome::Kind::InDoubt, Revision(it->second.base.value() + 1),
                    "the key-value service went away before it answered; if revision "
                        + std::to_string(it->second.base.value() + 1)
                        + " in the record of changes carries this command, it was accepted"});
            continue;
        }
        const auto call = turn.callStore(it->second.transaction);
        m_calls[call] = {Purpose::ForCommand, number};
    }
}

void Configuration::poll(Turn &turn)
{
    if (m_isPolling || !isKnown()) {
        m_calls[turn.callStore(StoreGet {storekeys::Head})] = {Purpose::PollHead, {}};
    }
}

void Configuration::fetchText(Turn &turn)
{
    if (!m_isFetching) {
        m_isFetching = true;
        m_calls[turn.callStore(StoreGet {storekeys::Text})] = {Purpose::FetchText, {}};
    }
}

bool Configuration::adopt(Turn &turn, Revision revision, const std::string &text)
{
    // Never back: an answer that was under way while a newer revision came is dropped.
    if (revision <= m_revision) {
        return false;
    }
    auto parsed = applyText({}, text);
    if (const auto *error = std::get_if<LanguageError>(&parsed)) {
        turn.log("configuration " + std::to_string(revision.value())
                 + " cannot be read: " + error->text());
        return false;
    }
    m_deployment = std::get<Deployment>(std::move(parsed));
    m_cells = CellMap(m_deployment);
    m_revision = revision;
    m_text = text;
    m_hasChanged = true;
    turn.log("configuration " + std::to_string(revision.value()) + " is in force");
    return true;
}

void Configuration::takeValue(Turn &turn, const StoreEntry &entry)
{
    const RevisionText found = splitValue(entry.value);
    adopt(turn, found.revision, found.text);
}

void Configuration::commandRead(Turn &turn, CommandNumber number, const StoreAnswered &answered)
{
    Command &command = m_commands.at(number);
    const auto *result = std::get_if<StoreResult>(&answered.outcome);
    if (!result) {
        answer(turn, number,
               {CommandOutcome::Kind::Unavailable, m_revision,
                "the key-value service does not answer; nothing was changed"});
        return;
    }
    const StoreEntry *entry = entryOf(*result, storekeys::Text);
    const RevisionText base = entry ? splitValue(entry->value) : RevisionText {};
    command.base = base.revision;
    command.baseModRevision = entry ? entry->modRevision : 0;
    if (command.arrived.expected && *command.arrived.expected != base.revision) {
        lostRace(turn, number, "");
        return;
    }
    auto current = applyText({}, base.text);
    const Deployment before =
        std::holds_alternative<Deployment>(current) ? std::get<Deployment>(current) : Deployment {};
    auto parsed =
        applyText(command.arrived.isWholeDeployment ? Deployment {} : before, command.arrived.text);
    if (const auto *error = std::get_if<LanguageError>(&parsed)) {
        answer(turn, number, {CommandOutcome::Kind::SyntaxError, base.revision, error->text()});
        return;
    }
    command.next = std::get<Deployment>(std::move(parsed));
    if (command.next == before && !base.revision.isNone()) {
        answer(turn, number, {CommandOutcome::Kind::Unchanged, base.revision, "nothing to change"});
        return;
    }
    command.nextText = declarationsOf(command.next);
    if (command.nextText.size() > MostTextBytes) {
        answer(turn, number,
               {CommandOutcome::Kind::Invalid, base.revision,
                "the deployment takes " + std::to_string(command.nextText.size())
                    + " bytes; the most is " + std::to_string(MostTextBytes)});
        return;
    }
    const Revision next(base.revision.value() + 1);
    const ChangeRecord record {next,
                               base.revision,
                               command.arrived.who,
                               command.arrived.when,
                               shortened(command.arrived.text),
                               shortened(joined(differences(before, command.next))),
                               command.id};
    const std::string digits = std::to_string(next.value());
    StoreTransaction &transaction = command.transaction;
    transaction.conditions = {{storekeys::Text, command.baseModRevision, std::nullopt}};
    transaction.puts = {{storekeys::Text, digits + '\n' + command.nextText},
                        {storekeys::Head, digits},
                        {storekeys::change(next), changeRecordText(record)}};
    if (next.value() > MostRecords) {
        transaction.deletes = {storekeys::change(Revision(next.value() - MostRecords))};
    }
    transaction.elseGet = {storekeys::change(next)};
    write(turn, number, command);
}

void Configuration::write(Turn &turn, CommandNumber number, Command &command)
{
    command.phase = Phase::Writing;
    const auto call = turn.callStore(command.transaction);
    m_calls[call] = {Purpose::ForCommand, number};
}

void Configuration::commandWritten(Turn &turn, CommandNumber number, const StoreAnswered &answered)
{
    Command &command = m_commands.at(number);
    const auto *result = std::get_if<StoreResult>(&answered.outcome);
    if (!result) {
        // It may have taken effect. The same conditional write again tells: it applies only if
        // the first did not, and else the record shows whose revision this is.
        command.phase = Phase::Settling;
        m_timers.set({Timer::Settle, number}, turn.now + SettleAgainAfter);
        return;
    }
    commandSettled(turn, number, answered);
}

void Configuration::commandSettled(Turn &turn, CommandNumber number, const StoreAnswered &answered)
{
    Command &command = m_commands.at(number);
    const auto *result = std::get_if<StoreResult>(&answered.outcome);
    if (!result) {
        m_timers.set({Timer::Settle, number}, turn.now + SettleAgainAfter);
        return;
    }
    const std::string winner =
        result->entries.empty() ? std::string() : result->entries.front().value;
    if (result->isApplied || parseChangeRecord(winner).id == command.id) {
        accepted(turn, number);
        return;
    }
    lostRace(turn, number, winner);
}

void Configuration::accepted(Turn &turn, CommandNumber number)
{
    const Command &command = m_commands.at(number);
    const Revision made(command.base.value() + 1);
    adopt(turn, made, command.nextText);
    answer(turn, number, {CommandOutcome::Kind::Accepted, made, ""});
}

void Configuration::lostRace(Turn &turn, CommandNumber number, const std::string &winner)
{
    const Command &command = m_commands.at(number);
    const ChangeRecord record = parseChangeRecord(winner);
    std::string message = "the configuration is at revision "
        + std::to_string(std::max(command.base, record.revision).value())
        + ", not the one this command was made for";
    if (!record.revision.isNone()) {
        message = "lost to revision " + std::to_string(record.revision.value()) + " by "
            + record.who + ": " + record.command;
    }
    answer(turn, number,
           {CommandOutcome::Kind::LostRace, std::max(command.base, record.revision), message});
}

void Configuration::answer(Turn &turn, CommandNumber number, CommandOutcome outcome)
{
    m_timers.clear({Timer::Settle, number});
    m_commands.erase(number);
    turn.add(AnswerCommand {number, std::move(outcome)});
}

} // namespace indigoway
