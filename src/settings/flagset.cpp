#include "flagset.h"

#include <absl/flags/reflection.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace indigoway {

namespace {

constexpr int UsageError = 2;

/** Sets a flag. Returns an error message that begins with @p source, or an empty string. */
std::string setFlag(const std::string &name, const std::string &value, const std::string &source)
{
    std::string error;
    if (absl::FindCommandLineFlag(name)->ParseFrom(value, &error)) {
        return {};
    }
    return source + ": " + (error.empty() ? "invalid value \"" + value + "\"" : error);
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

std::variant<CommandLine, SettingsErrors> FlagSet::parse(int argc, char **argv) const
{
    CommandLine commandLine;
    SettingsErrors invalid;
    const auto addError = [&](const std::string &error) {
        if (!error.empty()) {
            invalid.errors.push_back(error);
        }
    };
    for (const std::string &flag : m_flags) {
        const std::string environmentVariable = environmentName(flag);
        if (const char *value = std::getenv(environmentVariable.c_str())) {
            addError(setFlag(flag, value, environmentVariable));
        }
    }
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (!argument.starts_with("--") || argument == "--") {
            commandLine.positionalArguments.push_back(argument);
            continue;
        }
        const std::size_t equals = argument.find('=');
        std::string name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
        std::replace(name.begin(), name.end(), '-', '_');
        if (name == "help_markdown") {
            commandLine.wantsMarkdown = true;
            continue;
        }
        if (name == "version") {
            commandLine.wantsVersion = true;
            continue;
        }
        if (name == "help") {
            commandLine.wantsHelp = true;
            continue;
        }
        if (std::find(m_flags.begin(), m_flags.end(), name) == m_flags.end()) {
            addError("unknown setting --" + name);
            continue;
        }
        if (equals != std::string::npos) {
            addError(setFlag(name, argument.substr(equals + 1), "--" + name));
        } else if (absl::FindCommandLineFlag(name)->IsOfType<bool>()) {
            addError(setFlag(name, "true", "--" + name));
        } else if (i + 1 < argc) {
            addError(setFlag(name, argv[++i], "--" + name));
        } else {
            addError("--" + name + " requires a value");
        }
    }
    if (!invalid.errors.empty() && !commandLine.wantsHelp) {
        return invalid;
    }
    return commandLine;
}

SettingsErrors FlagSet::parseFile(const std::string &text, const std::string &path) const
{
    SettingsErrors invalid;
    std::istringstream stream(text);
    std::string line;
    for (int lineNumber = 1; std::getline(stream, line); ++lineNumber) {
        const std::size_t equals = line.find('=');
        if (line.empty() || line.front() == '#') {
            continue;
        }
        const std::string location = path + ":" + std::to_string(lineNumber);
        const std::string name = line.substr(0, equals);
        if (equals == std::string::npos
            || std::find(m_flags.begin(), m_flags.end(), name) == m_flags.end()) {
            invalid.errors.push_back(
                std::string(location).append(": unknown setting \"").append(name).append("\""));
            continue;
        }
        const std::string value = line.substr(equals + 1);
        if (value.empty()) {
            continue;
        }
        const std::string error = setFlag(name, value, location);
        if (!error.empty()) {
            invalid.errors.push_back(error);
        }
    }
    return invalid;
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
    if (const auto *invalid = std::get_if<SettingsErrors>(&parsed)) {
        for (const std::string &error : invalid->errors) {
            std::fprintf(stderr, "%s\n", error.c_str());
        }
        std::fprintf(stderr, "--help lists the settings\n");
        std::exit(UsageError);
    }
    const auto &commandLine = std::get<CommandLine>(parsed);
    if (commandLine.wantsVersion) {
        std::printf("indigoway %s\n", programVersion().c_str());
        std::exit(0);
    }
    if (commandLine.wantsMarkdown) {
        std::printf("%s", flags.markdown().c_str());
        std::exit(0);
    }
    if (commandLine.wantsHelp) {
        std::printf("%s", flags.help().c_str());
        std::exit(0);
    }
    return commandLine.positionalArguments;
}

} // namespace indigoway
