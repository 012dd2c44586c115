#pragma once

#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** What a command line held besides flags. */
struct CommandLine
{
    std::vector<std::string> words;
    bool wantsHelp = false;
    bool wantsVersion = false;
    bool wantsMarkdown = false; ///< The settings as rows for docs/SETTINGS.md.
};

/** All that is wrong with a command line and its environment. */
struct CommandLineFaults
{
    std::vector<std::string> faults;
};

/**
 * A program's Abseil flags, each also read from an environment variable. Abseil's own parser
 * stops at the first fault; this one names them all, which is what an operator wants of a start
 * that fails at night.
 */
class FlagSet
{
public:
    /** @p flags are names of Abseil flags of this program. */
    FlagSet(std::string usage, std::vector<std::string> flags);

    /** Environment first, then the command line, which wins. */
    std::variant<CommandLine, CommandLineFaults> parse(int argc, char **argv) const;
    /**
     * Settings from a file: one NAME=VALUE a line, # begins a comment, an empty value keeps the
     * default. For settings that may change while the program runs.
     */
    CommandLineFaults parseFile(const std::string &text, const std::string &path) const;
    std::string help() const;
    /** One row per flag for docs/SETTINGS.md. */
    std::string markdown() const;

private:
    std::string m_usage;
    std::vector<std::string> m_flags;
};

/** Of the programs of this build, as their start lines and --version tell it. */
std::string programVersion();

/** "INDIGOWAY_" and the flag's name in capitals. */
std::string environmentName(const std::string &flag);

/**
 * Parses or ends the process: help or version with 0, faults, listed all at once, with 2.
 */
std::vector<std::string> parseOrExit(const FlagSet &flags, int argc, char **argv);

} // namespace indigoway
