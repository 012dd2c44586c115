#include "keyvaluestore.h"

namespace indigoway {

const char *nameOf(StoreError error)
{
    switch (error) {
    case StoreError::Unanswered:
        return "unanswered";
    case StoreError::Refused:
        return "refused";
    case StoreError::HistoryGone:
        return "history_gone";
    case StoreError::NoLease:
        return "no_lease";
    case StoreError::Conflict:
        return "conflict";
    case StoreError::Malformed:
        return "malformed";
    }
    return "";
}

} // namespace indigoway
