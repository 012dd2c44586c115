#include "daemon/daemon.h"
#include "daemon/daemonsettings.h"

#include <spdlog/spdlog.h>

#include <sys/resource.h>

#include <chrono>
#include <cstdio>

namespace {

/** Each open request takes two connections; the usual soft limit is 1024. */
void raiseFileLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

int main(int argc, char **argv)
{
    using namespace indigoway;
    constexpr int UsageError = 2;
    parseOrExit(daemonFlags(), argc, argv);
    // A later life has a later wall clock; VMs keep nothing else that could tell.
    const auto wallClock = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    auto settings = checkedDaemonSettings(static_cast<std::uint64_t>(wallClock.count()));
    if (const auto *wrong = std::get_if<SettingsErrors>(&settings)) {
        for (const std::string &error : wrong->errors) {
            std::fprintf(stderr, "%s\n", error.c_str());
        }
        return UsageError;
    }
    auto &checked = std::get<DaemonSettings>(settings);
    raiseFileLimit();
    if (checked.logsJson) {
        spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","node":")"
                            + checked.node.life.node.text() + R"(","message":%v})");
    } else {
        spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l " + checked.node.life.node.text() + " %v");
    }
    return Daemon(std::move(checked)).run();
}
