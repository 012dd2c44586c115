#include "edgeprocess.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

ABSL_DECLARE_FLAG(std::string, node_file);

namespace indigoway {

namespace {

constexpr int UsageError = 2;
/** A settings file may change without a signal. */
constexpr timeval LookAtFileEvery {2, 0};

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

[[noreturn]] void endWith(const CommandLineFaults &wrong)
{
    for (const std::string &fault : wrong.faults) {
        std::fprintf(stderr, "%s\n", fault.c_str());
    }
    std::fprintf(stderr, "--help lists the settings\n");
    std::exit(UsageError);
}

} // namespace

EdgeSettings edgeSettingsOrExit(int argc, char **argv)
{
    const FlagSet flags = edgeFlags();
    parseOrExit(flags, argc, argv);
    const std::string path = absl::GetFlag(FLAGS_node_file);
    if (!path.empty()) {
        const CommandLineFaults wrong = flags.parseFile(fileText(path), path);
        if (!wrong.faults.empty()) {
            endWith(wrong);
        }
        parseOrExit(flags, argc, argv); // The command line goes before the file.
    }
    auto checked = checkedEdgeSettings();
    if (const auto *wrong = std::get_if<CommandLineFaults>(&checked)) {
        endWith(*wrong);
    }
    return std::get<EdgeSettings>(checked);
}

EdgeProcess::EdgeProcess()
    : m_base(event_base_new())
    , m_client(m_base.get())
    , m_terminate(evsignal_new(m_base.get(), SIGTERM, &EdgeProcess::handleSignal, this))
    , m_interrupt(evsignal_new(m_base.get(), SIGINT, &EdgeProcess::handleSignal, this))
    , m_hangUp(evsignal_new(m_base.get(), SIGHUP, &EdgeProcess::handleSignal, this))
    , m_fileTimer(event_new(
          m_base.get(), -1, EV_PERSIST,
          [](evutil_socket_t, short, void *self) {
              static_cast<EdgeProcess *>(self)->reloadIfChanged(false);
          },
          this))
{
    std::signal(SIGPIPE, SIG_IGN);
    event_add(m_terminate.get(), nullptr);
    event_add(m_interrupt.get(), nullptr);
    event_add(m_hangUp.get(), nullptr);
}

int EdgeProcess::run(EdgeNode &node)
{
    m_node = &node;
    if (!node.start()) {
        return ListenFailed;
    }
    const std::string path = absl::GetFlag(FLAGS_node_file);
    if (!path.empty()) {
        m_fileText = fileText(path);
        event_add(m_fileTimer.get(), &LookAtFileEvery);
    }
    event_base_dispatch(m_base.get());
    m_node = nullptr;
    return 0;
}

void EdgeProcess::handleSignal(int signal, short /*what*/, void *process)
{
    auto &self = *static_cast<EdgeProcess *>(process);
    if (!self.m_node) {
        return;
    }
    if (signal == SIGHUP) {
        self.reloadIfChanged(true);
    } else {
        self.m_node->leave();
    }
}

void EdgeProcess::reloadIfChanged(bool isAsked)
{
    const std::string path = absl::GetFlag(FLAGS_node_file);
    std::string text = path.empty() ? std::string() : fileText(path);
    if (text.empty() || (text == m_fileText && !isAsked)) {
        return;
    }
    m_fileText = std::move(text);
    const CommandLineFaults wrong = edgeFlags().parseFile(m_fileText, path);
    for (const std::string &fault : wrong.faults) {
        m_node->recordFault("settings_unreadable", fault);
    }
    const auto checked = checkedEdgeSettings();
    if (const auto *faults = std::get_if<CommandLineFaults>(&checked)) {
        for (const std::string &fault : faults->faults) {
            m_node->recordFault("settings_unreadable", fault);
        }
        return;
    }
    m_node->reload(std::get<EdgeSettings>(checked));
}

} // namespace indigoway
