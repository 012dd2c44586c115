#include "commands.h"

#include "configuration/schema.h"
#include "core/jsontext.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

namespace indigoway {

namespace {

constexpr std::chrono::milliseconds PollInterval {250};
constexpr std::chrono::seconds WatchInterval {2};

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        const bool hasSpace = word.find_first_of(" \t") != std::string::npos;
        text += (text.empty() ? "" : " ") + (hasSpace && words.size() > 1 ? quoted(word) : word);
    }
    return text;
}

int fail(int code, const std::string &message)
{
    std::fprintf(stderr, "%s\n", message.c_str());
    return code;
}

std::optional<std::string> fileText(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int failed(const OperatorAnswer &answer)
{
    if (answer.status == 0) {
        return fail(answer.isInDoubt ? InDoubt : Unavailable, answer.error);
    }
    const std::string error = stringMember(answer.body, "error");
    const bool isUsage = answer.status == 400;
    return fail(isUsage ? UsageOrSyntax : Unavailable,
                error.empty() ? "status " + std::to_string(answer.status) : error);
}

/** A cell on one line, cut to a width that leaves the table readable; JSON has it whole. */
std::string cellText(const Json::Value &cell)
{
    constexpr std::size_t Widest = 48;
    std::string text = cell.asString();
    std::replace(text.begin(), text.end(), '\n', ';');
    return text.size() <= Widest ? text : text.substr(0, Widest - 3) + "...";
}

void printTable(const Json::Value &body, bool isColoured)
{
    std::vector<std::size_t> widths;
    const auto measure = [&](const Json::Value &row) {
        widths.resize(std::max<std::size_t>(widths.size(), row.size()));
        for (Json::ArrayIndex i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], cellText(row[i]).size());
        }
    };
    measure(body["columns"]);
    for (const Json::Value &row : body["rows"]) {
        measure(row);
    }
    const auto print = [&](const Json::Value &row) {
        std::string line;
        for (Json::ArrayIndex i = 0; i < row.size(); ++i) {
            const std::string cell = cellText(row[i]);
            line += cell + std::string(widths[i] - cell.size() + 2, ' ');
        }
        std::printf("%s\n", line.c_str());
    };
    if (isColoured) {
        std::printf("\x1b[1m");
    }
    print(body["columns"]);
    if (isColoured) {
        std::printf("\x1b[0m");
    }
    for (const Json::Value &row : body["rows"]) {
        print(row);
    }
}

void printJson(const Json::Value &body)
{
    Json::Value rows(Json::arrayValue);
    for (const Json::Value &row : body["rows"]) {
        Json::Value object(Json::objectValue);
        for (Json::ArrayIndex i = 0; i < row.size(); ++i) {
            object[body["columns"][i].asString()] = row[i];
        }
        rows.append(object);
    }
    std::printf("%s\n", jsonText(rows).c_str());
}

OperatorAnswer ask(OperatorClient &client, const std::string &text)
{
    Json::Value body;
    body["text"] = text;
    return client.post("/operator/query", body);
}

int show(OperatorClient &client, const CliOptions &options, const std::string &text)
{
    const OperatorAnswer answer = ask(client, text);
    if (answer.status != 200) {
        return failed(answer);
    }
    if (answer.body["as_json"].asBool()) {
        printJson(answer.body);
    } else {
        printTable(answer.body, options.isColoured);
    }
    for (const Json::Value &note : answer.body["notes"]) {
        std::fprintf(stderr, "%s\n", note.asCString());
    }
    return Ok;
}

int watch(OperatorClient &client, const CliOptions &options, const std::string &text)
{
    const auto end = std::chrono::steady_clock::now() + options.watchFor;
    for (;;) {
        if (options.isColoured) {
            std::printf("\x1b[H\x1b[2J");
        }
        const int code = show(client, options, text);
        std::fflush(stdout);
        const bool isOver = options.watchFor.count() > 0 && std::chrono::steady_clock::now() >= end;
        if (code == UsageOrSyntax || isOver) {
            return code;
        }
        client.sleep(WatchInterval);
    }
}

int command(OperatorClient &client, const CliOptions &options, const std::string &text,
            bool isWhole)
{
    Json::Value body;
    body["text"] = text;
    body["whole"] = isWhole;
    if (options.expectRevision) {
        body["expected_revision"] = Json::UInt64(*options.expectRevision);
    }
    const OperatorAnswer answer = client.post("/operator/command", body);
    if (answer.status != 200) {
        return failed(answer);
    }
    static const std::map<std::string, int> Codes {
        {"accepted", Ok},           {"unchanged", Ok},       {"error", UsageOrSyntax},
        {"invalid", UsageOrSyntax}, {"lost-race", LostRace}, {"unavailable", Unavailable},
        {"in-doubt", InDoubt},
    };
    const std::string outcome = stringMember(answer.body, "outcome");
    const std::string message = stringMember(answer.body, "message");
    const auto it = Codes.find(outcome);
    const int code = it == Codes.end() ? Unavailable : it->second;
    const std::string line = outcome + ", revision "
        + std::to_string(answer.body["revision"].asUInt64())
        + (message.empty() ? "" : ": " + message);
    if (code != Ok) {
        return fail(code, line);
    }
    std::printf("%s\n", line.c_str());
    return Ok;
}

int check(const std::string &path)
{
    const auto text = fileText(path);
    if (!text) {
        return fail(UsageOrSyntax, "cannot read " + path);
    }
    const auto parsed = applyText({}, *text);
    if (const auto *error = std::get_if<LanguageError>(&parsed)) {
        return fail(UsageOrSyntax, path + ": " + error->text());
    }
    const auto &deployment = std::get<Deployment>(parsed);
    std::printf("%s: %zu models and services, %zu pools, %zu backend servers\n", path.c_str(),
                deployment.targets.size(), deployment.pools.size(), deployment.servers.size());
    return Ok;
}

/** Prints what applying @p text would change; nothing if it cannot be told. */
std::optional<std::size_t> printDifference(OperatorClient &client, const std::string &text,
                                           std::uint64_t *revision, int *code)
{
    const OperatorAnswer answer = client.get("/operator/configuration");
    if (answer.status != 200) {
        *code = failed(answer);
        return std::nullopt;
    }
    const auto present = applyText({}, stringMember(answer.body, "text"));
    const auto wanted = applyText({}, text);
    if (const auto *error = std::get_if<LanguageError>(&wanted)) {
        *code = fail(UsageOrSyntax, error->text());
        return std::nullopt;
    }
    if (std::holds_alternative<LanguageError>(present)) {
        *code = fail(Unavailable, "the node's own configuration cannot be read by this version");
        return std::nullopt;
    }
    *revision = answer.body["revision"].asUInt64();
    const auto lines = differences(std::get<Deployment>(present), std::get<Deployment>(wanted));
    for (const std::string &line : lines) {
        std::printf("%s\n", line.c_str());
    }
    return lines.size();
}

int diff(OperatorClient &client, const std::string &path)
{
    const auto text = fileText(path);
    if (!text) {
        return fail(UsageOrSyntax, "cannot read " + path);
    }
    std::uint64_t revision = 0;
    int code = Ok;
    const auto count = printDifference(client, *text, &revision, &code);
    if (count) {
        std::printf("%zu lines differ from revision %llu\n", *count,
                    static_cast<unsigned long long>(revision));
    }
    return code;
}

int apply(OperatorClient &client, CliOptions options, const std::string &path)
{
    const auto text = fileText(path);
    if (!text) {
        return fail(UsageOrSyntax, "cannot read " + path);
    }
    std::uint64_t revision = 0;
    int code = Ok;
    const auto count = printDifference(client, *text, &revision, &code);
    if (!count) {
        return code;
    }
    if (*count == 0 && revision > 0) {
        std::printf("unchanged, revision %llu\n", static_cast<unsigned long long>(revision));
        return Ok;
    }
    if (!options.isYes) {
        std::printf("Apply these %zu lines to revision %llu? [y/N] ", *count,
                    static_cast<unsigned long long>(revision));
        std::fflush(stdout);
        std::string answer;
        std::getline(std::cin, answer);
        if (answer != "y" && answer != "yes") {
            return fail(Declined, "nothing was changed");
        }
        // What was shown is what is applied: a change that came meanwhile makes it a lost race.
        options.expectRevision = options.expectRevision.value_or(revision);
    }
    return command(client, options, *text, true);
}

int exportText(OperatorClient &client)
{
    const OperatorAnswer answer = client.get("/operator/configuration");
    if (answer.status != 200) {
        return failed(answer);
    }
    std::printf("%s", stringMember(answer.body, "text").c_str());
    return Ok;
}

int waitUntil(OperatorClient &client, const CliOptions &options,
              const std::function<std::optional<bool>(std::string *)> &isDone)
{
    const auto end = std::chrono::steady_clock::now() + options.timeLimit;
    std::string last;
    while (std::chrono::steady_clock::now() < end) {
        std::string progress;
        const auto done = isDone(&progress);
        if (progress != last) {
            std::printf("%s\n", progress.c_str());
            std::fflush(stdout);
            last = progress;
        }
        if (done && *done) {
            return Ok;
        }
        client.sleep(PollInterval);
    }
    return fail(TimedOut, "not within " + std::to_string(options.timeLimit.count()) + " s");
}

int waitRevision(OperatorClient &client, const CliOptions &options, const std::string &number)
{
    const std::uint64_t wanted = std::strtoull(number.c_str(), nullptr, 10);
    if (wanted == 0) {
        return fail(UsageOrSyntax, "wait revision needs a number");
    }
    return waitUntil(client, options, [&](std::string *progress) -> std::optional<bool> {
        const OperatorAnswer answer = ask(client, "show nodes");
        if (answer.status != 200) {
            *progress = "no answer";
            return std::nullopt;
        }
        const Json::Value &columns = answer.body["columns"];
        Json::ArrayIndex column = 0;
        while (column < columns.size() && columns[column].asString() != "revision") {
            ++column;
        }
        std::size_t there = 0;
        for (const Json::Value &row : answer.body["rows"]) {
            there += std::strtoull(row[column].asCString(), nullptr, 10) >= wanted ? 1 : 0;
        }
        const std::size_t all = answer.body["rows"].size() + answer.body["notes"].size();
        *progress = std::to_string(there) + " of " + std::to_string(all) + " nodes";
        return there == all;
    });
}

int waitDrained(OperatorClient &client, const CliOptions &options, const std::string &server)
{
    return waitUntil(client, options, [&](std::string *progress) -> std::optional<bool> {
        const OperatorAnswer answer = ask(client, "show requests where server = " + quoted(server));
        if (answer.status != 200 || !answer.body["notes"].empty()) {
            *progress = "not all nodes answer";
            return std::nullopt;
        }
        *progress = std::to_string(answer.body["rows"].size()) + " requests left";
        return answer.body["rows"].empty();
    });
}

int completion()
{
    std::printf(
        "_indigoway() {\n"
        "    local words=\"show watch add set remove drain stop resume check diff apply export "
        "wait\"\n"
        "    local kinds=\"model service pool server\"\n"
        "    local tables=\"models services pools servers nodes requests slots cells changes\"\n"
        "    case \"${COMP_WORDS[COMP_CWORD-1]}\" in\n"
        "        show|watch) COMPREPLY=($(compgen -W \"$tables\" -- "
        "\"${COMP_WORDS[COMP_CWORD]}\"));;\n"
        "        add|set|remove) COMPREPLY=($(compgen -W \"$kinds\" -- "
        "\"${COMP_WORDS[COMP_CWORD]}\"));;\n"
        "        drain|stop|resume) COMPREPLY=(server);;\n"
        "        check|diff|apply) COMPREPLY=($(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\"));;\n"
        "        wait) COMPREPLY=($(compgen -W \"revision drained\" -- "
        "\"${COMP_WORDS[COMP_CWORD]}\"));;\n"
        "        *) COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"));;\n"
        "    esac\n"
        "}\n"
        "complete -F _indigoway indigoway\n");
    return Ok;
}

} // namespace

int runCommand(OperatorClient &client, const CliOptions &options,
               const std::vector<std::string> &words)
{
    const std::string &verb = words.front();
    const std::string text = joined(words);
    const bool hasOne = words.size() == 2;
    if (verb == "completion") {
        return completion();
    }
    if (verb == "export") {
        return exportText(client);
    }
    if (verb == "check" && hasOne) {
        return check(words[1]);
    }
    if (verb == "diff" && hasOne) {
        return diff(client, words[1]);
    }
    if (verb == "apply" && hasOne) {
        return apply(client, options, words[1]);
    }
    if (verb == "wait" && words.size() == 3 && words[1] == "revision") {
        return waitRevision(client, options, words[2]);
    }
    if (verb == "wait" && words.size() == 3 && words[1] == "drained") {
        return waitDrained(client, options, words[2]);
    }
    if (verb == "watch") {
        return watch(client, options, "show" + text.substr(verb.size()));
    }
    if (isQuery(text)) {
        return show(client, options, text);
    }
    const auto parsed = parseStatements(text);
    if (const auto *error = std::get_if<LanguageError>(&parsed)) {
        const std::string nearest =
            nearestWord(verb,
                        {"show", "watch", "add", "set", "remove", "drain", "stop", "resume",
                         "check", "diff", "apply", "export", "wait", "completion"});
        return fail(
            UsageOrSyntax,
            error->text()
                + (nearest.empty() || nearest == verb ? "" : "; did you mean " + nearest + "?"));
    }
    return command(client, options, text, false);
}

} // namespace indigoway
