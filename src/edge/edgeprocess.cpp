#include "edgeprocess.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <event2/event.h>

#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

ABSL_DECLARE_FLAG(std::string, node_file);

namespace indigoway {

namespace {

constexpr int UsageError = 2;
/** The settings file may change without a signal. */
constexpr timeval FilePollInterval {2, 0};

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

[[noreturn]] void exitWithErrors(const SettingsErrors &invalid)
{
    for (const std::string &error : invalid.errors) {
        std::fprintf(stderr, "%s\n", error.c_str());
    }
    std::fprintf(stderr, "--help lists the settings\n");
    std::exit(UsageError);
}

/**
 * Makes the allocator return large blocks to the system at once. By default it would keep them
 * after the first one has been freed, and the bodies of a crowd would stay in the process's memory.
 */
void returnLargeBlocks()
{
    constexpr int MinReturnedBytes = 256 * 1024;
    constexpr int MaxKeptBytes = 2 * 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, MinReturnedBytes);
    mallopt(M_TRIM_THRESHOLD, MaxKeptBytes);
}

} // namespace

EdgeSettings edgeSettingsOrExit(int argc, char **argv)
{
    const FlagSet flags = edgeFlags();
    parseOrExit(flags, argc, argv);
    const std::string path = absl::GetFlag(FLAGS_node_file);
    if (!path.empty()) {
        const SettingsErrors invalid = flags.parseFile(readFile(path), path);
        if (!invalid.errors.empty()) {
            exitWithErrors(invalid);
        }
        parseOrExit(flags, argc, argv); // The command line overrides the file.
    }
    auto checked = checkedEdgeSettings();
    if (const auto *invalid = std::get_if<SettingsErrors>(&checked)) {
        exitWithErrors(*invalid);
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
    returnLargeBlocks();
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
        m_settingsText = readFile(path);
        event_add(m_fileTimer.get(), &FilePollInterval);
    }
    event_base_dispatch(m_base.get());
    m_node = nullptr;
    return 0;
}

void EdgeProcess::handleSignal(int signal, short /*events*/, void *process)
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

void EdgeProcess::reloadIfChanged(bool isForced)
{
    const std::string path = absl::GetFlag(FLAGS_node_file);
    std::string text = path.empty() ? std::string() : readFile(path);
    if (text.empty() || (text == m_settingsText && !isForced)) {
        return;
    }
    m_settingsText = std::move(text);
    const SettingsErrors invalid = edgeFlags().parseFile(m_settingsText, path);
    for (const std::string &error : invalid.errors) {
        m_node->recordFault("settings_unreadable", error);
    }
    const auto checked = checkedEdgeSettings();
    if (const auto *errors = std::get_if<SettingsErrors>(&checked)) {
        for (const std::string &error : errors->errors) {
            m_node->recordFault("settings_unreadable", error);
        }
        return;
    }
    m_node->reload(std::get<EdgeSettings>(checked));
}

} // namespace indigoway
