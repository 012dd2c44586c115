#include "store.h"

#include "settings/flagset.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address (IP:port) to listen on.");

int main(int argc, char **argv)
{
    using namespace indigoway;
    parseOrExit({"indigoway-store: stand-in of the platform's key-value service.", {"listen"}},
                argc, argv);
    standins::EventLoop loop;
    standins::Store store(loop);
    return standins::announceAndRun(loop, store.listenOn(absl::GetFlag(FLAGS_listen)));
}
