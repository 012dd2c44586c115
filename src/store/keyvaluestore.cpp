#include "keyvaluestore.h"

namespace indigoway {

const char *nameOf(StoreFault fault)
{
    switch (fault) {
    case StoreFault::Unanswered:
        return "unanswered";
    case StoreFault::Refused:
        return "refused";
    case StoreFault::HistoryGone:
        return "history_gone";
    case StoreFault::NoLease:
        return "no_lease";
    case StoreFault::Conflict:
        return "conflict";
    case StoreFault::Malformed:
        return "malformed";
    }
    return "";
}

} // namespace indigoway
