#include "admission.h"

namespace indigoway {

bool isNewEnough(std::optional<Duration> copyAge, std::optional<Duration> mostCopyAge)
{
    return !mostCopyAge || (copyAge && *copyAge <= *mostCopyAge);
}

Admission admit(const RouteTable &table, const Route &route, const Credentials &credentials,
                std::optional<Duration> copyAge, std::optional<Duration> mostCopyAge)
{
    const Organisation *organisation =
        credentials.key ? table.organisationByKey(*credentials.key) : nullptr;
    if (route.isOpen || !table.wantsKeys()) {
        return Admitted {organisation};
    }
    if (!isNewEnough(copyAge, mostCopyAge)) {
        return CopyTooOld {};
    }
    if (!organisation) {
        return UnknownKey {};
    }
    return Admitted {organisation};
}

} // namespace indigoway
