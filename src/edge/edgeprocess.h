#pragma once

#include "edge/edgenode.h"
#include "edge/edgesettings.h"

#include "http/eventbase.h"
#include "http/httpclient.h"

#include <memory>
#include <string>

namespace indigoway {

/**
 * Reads the settings from the environment, the settings file and the command line. If any is
 * invalid, prints all errors to standard error and exits.
 */
EdgeSettings edgeSettingsOrExit(int argc, char **argv);

/** The event loop of one node's process, with its signal handlers and settings file. */
class EdgeProcess
{
public:
    static constexpr int ListenFailed = 1; ///< Exit code.

    EdgeProcess();
    EdgeProcess(const EdgeProcess &) = delete;
    EdgeProcess &operator=(const EdgeProcess &) = delete;

    event_base *base() { return m_base.get(); }
    HttpClient &client() { return m_client; }
    /**
     * Runs @p node until it has left.
     * @return the exit code of the process.
     */
    int run(EdgeNode &node);

private:
    static void handleSignal(int signal, short events, void *process);
    /** Reloads the settings file if its text has changed, or in any case if @p isForced. */
    void reloadIfChanged(bool isForced);

    EventBase m_base;
    HttpClient m_client;
    EventHandle m_terminate;
    EventHandle m_interrupt;
    EventHandle m_hangUp;
    EventHandle m_fileTimer;
    std::string m_settingsText;
    EdgeNode *m_node = nullptr;
};

} // namespace indigoway
