#include "flagset.h"

#include <absl/flags/reflection.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace indigoway {

namespace {

constexpr int UsageError = 2;

std::string assign(const std::string &name, const std::string &value, const std::string &source)
{
    std::string error;
    if (absl::FindCommandLineFlag(name)->ParseFrom(value, &error)) {
        return {};
    }
    return source + ": " + (error.empty() ? "\"" + value + "\" is not a value for it" : error);
}

} // namespace

std::string programVersion()
{
    return INDIGOWAY_VERSION;
}

std::string environmentName(const std::string &flag)
{
    std::string name = "INDIGOWAY_" + flag;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    return name;
}

FlagSet::FlagSet(std::string usage, std::vector<std::string> flags)
    : m_usage(std::move(usage))
    , m_flags(std::move(flags))
{ }

std::variant<CommandLine, CommandLineFaults> FlagSet::parse(int argc, char **argv) const
{
    CommandLine line;
    CommandLineFaults wrong;
    const auto note = [&](const std::string &fault) {
        if (!fault.empty()) {
            wrong.faults.push_back(fault);
        }
    };
    for (const std::string &flag : m_flags) {
        const std::string variable = environmentName(flag);
        if (const char *value = std::getenv(variable.c_str())) {
            note(assign(flag, value, variable));
        }
    }
    for (int i = 1; i < argc; ++i) {
        const std::string word = argv[i];
        if (!word.starts_with("--") || word == "--") {
            line.words.push_back(word);
            continue;
        }
        const std::size_t equals = word.find('=');
        std::string name = word.substr(2, equals == std::string::npos ? equals : equals - 2);
        std::replace(name.begin(), name.end(), '-', '_');
        if (name == "help_markdown") {
            line.wantsMarkdown = true;
            continue;
        }
        if (name == "version") {
            line.wantsVersion = true;
            continue;
        }
        if (name == "help") {
            line.wantsHelp = true;
            continue;
        }
        if (std::find(m_flags.begin(), m_flags.end(), name) == m_flags.end()) {
            note("there is no setting --" + name);
            continue;
        }
        if (equals != std::string::npos) {
            note(assign(name, word.substr(equals + 1), "--" + name));
        } else if (absl::FindCommandLineFlag(name)->IsOfType<bool>()) {
            note(assign(name, "true", "--" + name));
        } else if (i + 1 < argc) {
            note(assign(name, argv[++i], "--" + name));
        } else {
            note("--" + name + " needs a value");
        }
    }
    if (!wrong.faults.empty() && !line.wantsHelp) {
        return wrong;
    }
    return line;
}

CommandLineFaults FlagSet::parseFile(const std::string &text, const std::string &path) const
{
    CommandLineFaults wrong;
    std::istringstream lines(text);
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        const std::size_t equals = line.find('=');
        if (line.empty() || line.front() == '#') {
            continue;
        }
        const std::string place = path + ":" + std::to_string(number);
        const std::string name = line.substr(0, equals);
        if (equals == std::string::npos
            || std::find(m_flags.begin(), m_flags.end(), name) == m_flags.end()) {
            wrong.faults.push_back(
                std::string(place).append(": there is no setting \"").append(name).append("\""));
            continue;
        }
        const std::string value = line.substr(equals + 1);
        if (value.empty()) {
            continue;
        }
        const std::string fault = assign(name, value, place);
        if (!fault.empty()) {
            wrong.faults.push_back(fault);
        }
    }
    return wrong;
}

std::string FlagSet::help() const
{
    std::string text = m_usage + "\n\nSettings (flag, environment variable, default):\n";
    for (const std::string &name : m_flags) {
        const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
        text += "\n  --" + name + "   " + environmentName(name) + "   [" + flag->DefaultValue()
            + "]\n      " + flag->Help() + "\n";
    }
    return text;
}

std::string FlagSet::markdown() const
{
    std::string text;
    for (const std::string &name : m_flags) {
        const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
        text += "| `--" + name + "` | `" + environmentName(name) + "` | `" + flag->DefaultValue()
            + "` | " + flag->Help() + " |\n";
    }
    return text;
}

std::vector<std::string> parseOrExit(const FlagSet &flags, int argc, char **argv)
{
    auto parsed = flags.parse(argc, argv);
    if (const auto *wrong = std::get_if<CommandLineFaults>(&parsed)) {
        for (const std::string &fault : wrong->faults) {
            std::fprintf(stderr, "%s\n", fault.c_str());
        }
        std::fprintf(stderr, "--help lists the settings\n");
        std::exit(UsageError);
    }
    const auto &line = std::get<CommandLine>(parsed);
    if (line.wantsVersion) {
        std::printf("indigoway %s\n", programVersion().c_str());
        std::exit(0);
    }
    if (line.wantsMarkdown) {
        std::printf("%s", flags.markdown().c_str());
        std::exit(0);
    }
    if (line.wantsHelp) {
        std::printf("%s", flags.help().c_str());
        std::exit(0);
    }
    return line.words;
}

} // namespace indigoway
