#include "sharedplatform.h"

#include "settings/flagset.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address (IP:port) to listen on.");
ABSL_FLAG(std::string, announce, "",
          "Addresses that the backend servers announce in place of their own, separated by commas; "
          "for proxies between.");

int main(int argc, char **argv)
{
    using namespace indigoway;
    parseOrExit({"indigoway-sharedplatform: stand-in of the users' platform, with its store and\n"
                 "five backend servers.",
                 {"listen", "announce"}},
                argc, argv);
    standins::EventLoop loop;
    standins::SharedPlatform platform(
        loop, absl::StrSplit(absl::GetFlag(FLAGS_announce), ',', absl::SkipEmpty()));
    return standins::announceAndRun(loop, platform.listenOn(absl::GetFlag(FLAGS_listen)));
}
