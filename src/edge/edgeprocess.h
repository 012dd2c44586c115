#pragma once

#include "edge/edgenode.h"
#include "edge/edgesettings.h"

#include "http/eventbase.h"
#include "http/httpclient.h"

#include <memory>
#include <string>

namespace indigoway {

/** Reads flags, environment and the settings file, or ends the process with all faults listed. */
EdgeSettings edgeSettingsOrExit(int argc, char **argv);

/** The event loop of one node's process, and its signals. */
class EdgeProcess
{
public:
    static constexpr int ListenFailed = 1;

    EdgeProcess();
    EdgeProcess(const EdgeProcess &) = delete;
    EdgeProcess &operator=(const EdgeProcess &) = delete;

    event_base *base() { return m_base.get(); }
    HttpClient &client() { return m_client; }
    /** Runs @p node until it has left; the process's exit code. */
    int run(EdgeNode &node);

private:
    static void handleSignal(int signal, short what, void *process);
    void reloadIfChanged(bool isAsked);

    EventBase m_base;
    HttpClient m_client;
    EventHandle m_terminate;
    EventHandle m_interrupt;
    EventHandle m_hangUp;
    EventHandle m_fileTimer;
    std::string m_fileText;
    EdgeNode *m_node = nullptr;
};

} // namespace indigoway
