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
/** A command whose write is not answered within this time ends in doubt. */
constexpr Duration WriteRetryTimeout = std::chrono::seconds(10);
constexpr Duration WriteRetryDelay = std::chrono::milliseconds(500);
constexpr Duration PeerFetchTimeout = std::chrono::seconds(3);
/** The store's limit on a value, less room for the revision. */
constexpr std::size_t MaxTextBytes = 1'000'000;
constexpr std::size_t MaxRecordFieldBytes = 32'768;
/** Size of the change history; each further change deletes the oldest entry. */
constexpr std::uint64_t MaxRecords = 5'000;

std::string truncated(const std::string &text)
{
    return text.size() <= MaxRecordFieldBytes ? text
                                              : text.substr(0, MaxRecordFieldBytes) + "\n[cut]";
}

std::string joinLines(const std::vector<std::string> &lines)
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

RevisionText parseTextEntry(const std::string &value)
{
    std::uint64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc {} || stop == end || *stop != '\n') {
        return {};
    }
    return {Revision(number), std::string(stop + 1, end)};
}

const StoreEntry *findEntry(const StoreResult &result, const std::string &key)
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
    pending.startedAt = turn.now;
    pending.id = turn.members.life().node.text() + '.'
        + std::to_string(turn.members.life().incarnation.value()) + '.'
        + std::to_string(command.command.value());
    const auto call = turn.callStore(StoreGet {storekeys::Text});
    m_calls[call] = {Purpose::ForCommand, command.command};
}

void Configuration::fetchIfNewer(Turn &turn, Revision revision, const NodeName &from)
{
    if (revision <= m_revision || m_peerFetch) {
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
        m_lastStoreAnswer = turn.now;
    }
    if (call.purpose == Purpose::PollRevision) {
        const StoreEntry *head = result ? findEntry(*result, storekeys::Head) : nullptr;
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
        if (const StoreEntry *text = result ? findEntry(*result, storekeys::Text) : nullptr) {
            adoptEntry(turn, *text);
        }
        return true;
    }
    const auto command = m_commands.find(call.command);
    if (command == m_commands.end()) {
        return true;
    }
    switch (command->second.phase) {
    case Phase::Reading:
        handleBaseRead(turn, call.command, answer);
        break;
    case Phase::Writing:
        handleFirstWrite(turn, call.command, answer);
        break;
    case Phase::RetryingWrite:
        handleWriteResult(turn, call.command, answer);
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
        if (turn.now - it->second.startedAt > WriteRetryTimeout) {
            answer(turn, number,
                   {CommandOutcome::Kind::InDoubt, Revision(it->second.base.value() + 1),
                    "the key-value service did not confirm the change; if revision "
                        + std::to_string(it->second.base.value() + 1)
                        + " in the change history has this command, it was accepted"});
            continue;
        }
        const auto call = turn.callStore(it->second.transaction);
        m_calls[call] = {Purpose::ForCommand, number};
    }
}

void Configuration::poll(Turn &turn)
{
    if (m_isPolling || !isKnown()) {
        m_calls[turn.callStore(StoreGet {storekeys::Head})] = {Purpose::PollRevision, {}};
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
    // A late answer must not replace a newer revision.
    if (revision <= m_revision) {
        return false;
    }
    auto parsed = applyText({}, text);
    if (const auto *error = std::get_if<LanguageError>(&parsed)) {
        turn.log("configuration revision " + std::to_string(revision.value())
                 + " cannot be parsed: " + error->text());
        return false;
    }
    m_deployment = std::get<Deployment>(std::move(parsed));
    m_cells = CellMap(m_deployment);
    m_revision = revision;
    m_text = text;
    m_hasChanged = true;
    turn.log("configuration revision " + std::to_string(revision.value()) + " is active");
    return true;
}

void Configuration::adoptEntry(Turn &turn, const StoreEntry &entry)
{
    const RevisionText found = parseTextEntry(entry.value);
    adopt(turn, found.revision, found.text);
}

void Configuration::handleBaseRead(Turn &turn, CommandNumber number,
                                   const StoreAnswered &storeAnswer)
{
    Command &command = m_commands.at(number);
    const auto *result = std::get_if<StoreResult>(&storeAnswer.outcome);
    if (!result) {
        answer(turn, number,
               {CommandOutcome::Kind::Unavailable, m_revision,
                "the key-value service does not answer; nothing was changed"});
        return;
    }
    const StoreEntry *entry = findEntry(*result, storekeys::Text);
    const RevisionText base = entry ? parseTextEntry(entry->value) : RevisionText {};
    command.base = base.revision;
    command.baseModRevision = entry ? entry->modRevision : 0;
    if (command.arrived.expected && *command.arrived.expected != base.revision) {
        answerConflict(turn, number, "");
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
    if (command.nextText.size() > MaxTextBytes) {
        answer(turn, number,
               {CommandOutcome::Kind::Invalid, base.revision,
                "the deployment takes " + std::to_string(command.nextText.size())
                    + " bytes; the limit is " + std::to_string(MaxTextBytes)});
        return;
    }
    const Revision next(base.revision.value() + 1);
    const ChangeRecord record {next,
                               base.revision,
                               command.arrived.who,
                               command.arrived.when,
                               truncated(command.arrived.text),
                               truncated(joinLines(differences(before, command.next))),
                               command.id};
    const std::string digits = std::to_string(next.value());
    StoreTransaction &transaction = command.transaction;
    transaction.conditions = {{storekeys::Text, command.baseModRevision, std::nullopt}};
    transaction.puts = {{storekeys::Text, digits + '\n' + command.nextText},
                        {storekeys::Head, digits},
                        {storekeys::change(next), changeRecordText(record)}};
    if (next.value() > MaxRecords) {
        transaction.deletes = {storekeys::change(Revision(next.value() - MaxRecords))};
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

void Configuration::handleFirstWrite(Turn &turn, CommandNumber number,
                                     const StoreAnswered &storeAnswer)
{
    Command &command = m_commands.at(number);
    const auto *result = std::get_if<StoreResult>(&storeAnswer.outcome);
    if (!result) {
        // The write may have taken effect. Repeating the conditional write is safe: it applies only
        // if the first did not, and otherwise returns the history entry of the new revision.
        command.phase = Phase::RetryingWrite;
        m_timers.set({Timer::RetryWrite, number}, turn.now + WriteRetryDelay);
        return;
    }
    handleWriteResult(turn, number, storeAnswer);
}

void Configuration::handleWriteResult(Turn &turn, CommandNumber number,
                                      const StoreAnswered &storeAnswer)
{
    Command &command = m_commands.at(number);
    const auto *result = std::get_if<StoreResult>(&storeAnswer.outcome);
    if (!result) {
        m_timers.set({Timer::RetryWrite, number}, turn.now + WriteRetryDelay);
        return;
    }
    const std::string winner =
        result->entries.empty() ? std::string() : result->entries.front().value;
    if (result->isApplied || parseChangeRecord(winner).id == command.id) {
        acceptCommand(turn, number);
        return;
    }
    answerConflict(turn, number, winner);
}

void Configuration::acceptCommand(Turn &turn, CommandNumber number)
{
    const Command &command = m_commands.at(number);
    const Revision acceptedRevision(command.base.value() + 1);
    adopt(turn, acceptedRevision, command.nextText);
    answer(turn, number, {CommandOutcome::Kind::Accepted, acceptedRevision, ""});
}

void Configuration::answerConflict(Turn &turn, CommandNumber number, const std::string &winner)
{
    const Command &command = m_commands.at(number);
    const ChangeRecord record = parseChangeRecord(winner);
    std::string message = "the configuration is at revision "
        + std::to_string(std::max(command.base, record.revision).value())
        + ", not at the one that this command expects";
    if (!record.revision.isNone()) {
        message = "conflicts with revision " + std::to_string(record.revision.value()) + " by "
            + record.who + ": " + record.command;
    }
    answer(turn, number,
           {CommandOutcome::Kind::LostRace, std::max(command.base, record.revision), message});
}

void Configuration::answer(Turn &turn, CommandNumber number, CommandOutcome outcome)
{
    m_timers.clear({Timer::RetryWrite, number});
    m_commands.erase(number);
    turn.add(AnswerCommand {number, std::move(outcome)});
}

} // namespace indigoway
