#include "sharedplatform.h"

#include "settings/flagset.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address (IP:port) to listen on.");
ABSL_FLAG(std::string, announce, "",
          "Addresses that the backend servers announce in place of their own, separated by commas; "
          "for proxies between.");
ABSL_FLAG(std::string, views, "",
          "For each further address of the service, the servers' addresses that its users see: "
          "lists as for --announce, separated by semicolons.");

ABSL_FLAG(int, decode_engines, 2, "Engines that generate tokens.");
ABSL_FLAG(int, prefill_engines, 1, "Engines that process prompts.");

int main(int argc, char **argv)
{
    using namespace indigoway;
    parseOrExit({"indigoway-sharedplatform: stand-in of the users' platform, with its store and\n"
                 "backend servers: two plain ones, prefill engines and decode engines.",
                 {"listen", "announce", "views", "decode_engines", "prefill_engines"}},
                argc, argv);
    standins::EventLoop loop;
    std::vector<standins::SharedPlatform::Addresses> views;
    const std::string viewsText = absl::GetFlag(FLAGS_views);
    for (const absl::string_view view : absl::StrSplit(viewsText, ';', absl::SkipEmpty())) {
        views.emplace_back(absl::StrSplit(view, ',', absl::SkipEmpty()));
    }
    standins::SharedPlatform platform(
        loop, absl::StrSplit(absl::GetFlag(FLAGS_announce), ',', absl::SkipEmpty()), views,
        absl::GetFlag(FLAGS_decode_engines), absl::GetFlag(FLAGS_prefill_engines));
    return standins::announceAndRun(loop, platform.listenOn(absl::GetFlag(FLAGS_listen)));
}
