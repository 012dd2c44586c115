#include "admission.h"

namespace indigoway {

bool isFreshEnough(std::optional<Duration> copyAge, std::optional<Duration> maxCopyAge)
{
    return !maxCopyAge || (copyAge && *copyAge <= *maxCopyAge);
}

Admission admit(const RouteTable &table, const Route &route, const Credentials &credentials,
                std::optional<Duration> copyAge, std::optional<Duration> maxCopyAge)
{
    const Organisation *organisation =
        credentials.key ? table.organisationByKey(*credentials.key) : nullptr;
    if (route.isOpen || !table.wantsKeys()) {
        return Admitted {organisation};
    }
    if (!isFreshEnough(copyAge, maxCopyAge)) {
        return CopyTooOld {};
    }
    if (!organisation) {
        return UnknownKey {};
    }
    return Admitted {organisation};
}

} // namespace indigoway
