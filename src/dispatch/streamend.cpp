#include "streamend.h"

namespace indigoway::dispatch {

const char *nameOf(StreamEnd end)
{
    switch (end) {
    case StreamEnd::Framing:
        return "framing";
    case StreamEnd::Close:
        return "close";
    case StreamEnd::ConfirmedClose:
        return "confirmed_close";
    }
    return "";
}

} // namespace indigoway::dispatch
