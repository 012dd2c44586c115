#pragma once

#include <indigoway/ids.h>

#include <cstddef>
#include <vector>

namespace indigoway::scheduling {

/**
 * Chooses the engines that keep copies of runs while the decode memory of a service suffices for
 * runs and copies.
 */
class BackupSelector
{
public:
    /** Memory of the decode engines of a service. */
    struct Memory
    {
        double totalTokens = 0;
        /** Expected use by runs, copies and waiting claims. */
        double usedTokens = 0;
    };
    struct Run
    {
        ServerName server; ///< Decode engine of the run.
        DomainName domain; ///< Failure domain of that engine.
        double tokens = 0; ///< Mean memory of the run.
        double outputTokens = 0;
    };
    /** An engine that could keep a copy. */
    struct Engine
    {
        ServerName name;
        DomainName domain;
        double memoryTokens = 0;
        double peakTokens = 0; ///< Expected peak use with the copy.
        bool isSuspect = false;
    };

    /**
     * @param meanOutputTokens Mean output of the service's generations; 0 if unknown.
     */
    BackupSelector(const Memory &memory, double meanOutputTokens)
        : m_memory(memory)
        , m_meanOutputTokens(meanOutputTokens)
    { }

    /**
     * Returns whether there is memory for a copy of @p run. The share of memory that may be used
     * falls with its output, since short runs are lost more rarely.
     */
    bool hasMemoryFor(const Run &run) const;
    /** Returns the engine for a copy of @p run, or null if none of @p engines has room. */
    const Engine *choose(const Run &run, const std::vector<Engine> &engines) const;
    /** Records that a copy of @p run was assigned. */
    void addCopy(const Run &run) { m_memory.usedTokens += run.tokens; }

private:
    Memory m_memory;
    double m_meanOutputTokens;
};

} // namespace indigoway::scheduling
