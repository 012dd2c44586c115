#pragma once

#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** Positional arguments and the options that all programs share. */
struct CommandLine
{
    std::vector<std::string> positionalArguments;
    bool wantsHelp = false;
    bool wantsVersion = false;
    bool wantsMarkdown = false; ///< Print the settings as rows of docs/SETTINGS.md.
};

/** Errors in a command line, the environment or a settings file. */
struct SettingsErrors
{
    std::vector<std::string> errors;
};

/**
 * Parses a program's Abseil flags from the command line, environment variables and files. In
 * contrast to Abseil's own parser, it reports all errors and not just the first.
 */
class FlagSet
{
public:
    /**
     * @param usage First lines of the help text.
     * @param flags Names of Abseil flags that the program defines.
     */
    FlagSet(std::string usage, std::vector<std::string> flags);

    /**
     * Reads the environment, then the command line, which takes precedence.
     *
     * @return The command line, or all errors unless help is requested.
     */
    std::variant<CommandLine, SettingsErrors> parse(int argc, char **argv) const;
    /**
     * Reads settings from the text of a file: one NAME=VALUE per line. Lines that start with #
     * are ignored, and an empty value leaves the setting unchanged.
     *
     * @param path Name of the file in error messages.
     */
    SettingsErrors parseFile(const std::string &text, const std::string &path) const;
    /** Returns the text that --help prints. */
    std::string help() const;
    /** Returns one table row per flag for docs/SETTINGS.md. */
    std::string markdown() const;

private:
    std::string m_usage;
    std::vector<std::string> m_flags;
};

/** Returns the version of this build, which --version prints. */
std::string programVersion();

/** Returns "INDIGOWAY_" followed by the name of @p flag in upper case. */
std::string environmentName(const std::string &flag);

/**
 * Parses the command line. Exits with status 0 after printing help or version, and with status 2
 * after printing all errors.
 *
 * @return The positional arguments.
 */
std::vector<std::string> parseOrExit(const FlagSet &flags, int argc, char **argv);

} // namespace indigoway
