#include "sharedplatform.h"

#include "settings/flagset.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address (IP:port) to listen on.");

int main(int argc, char **argv)
{
    using namespace indigoway;
    parseOrExit({"indigoway-sharedplatform: stand-in of the users' platform, with its store and\n"
                 "five backend servers.",
                 {"listen"}},
                argc, argv);
    standins::EventLoop loop;
    standins::SharedPlatform platform(loop);
    return standins::announceAndRun(loop, platform.listenOn(absl::GetFlag(FLAGS_listen)));
}
