#include "store.h"

#include "settings/flagset.h"

#include <absl/flags/flag.h>

#include <cstdio>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address (IP:port) to listen on.");

int main(int argc, char **argv)
{
    using namespace indigoway;
    parseOrExit({"indigoway-store: stand-in of the platform's key-value service.", {"listen"}},
                argc, argv);
    standins::EventLoop loop;
    standins::Store store(loop);
    const auto bound = store.listenOn(absl::GetFlag(FLAGS_listen));
    if (!bound) {
        std::fprintf(stderr, "cannot listen on %s\n", absl::GetFlag(FLAGS_listen).c_str());
        return 1;
    }
    std::printf("%s\n", bound->c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}
