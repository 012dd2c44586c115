#include "turn.h"

#include "membership/membership.h"

namespace indigoway {

PeerCallNumber Turn::ask(const NodeName &to, PeerRequest request, Duration timeout)
{
    return askAt(to, members.peerAddress(to), std::move(request), timeout);
}

PeerCallNumber Turn::askAt(const NodeName &to, const std::string &address, PeerRequest request,
                           Duration timeout)
{
    const auto call = numbers.next<PeerCallNumber>();
    count(Counter::PeerCalls);
    add(SendToPeer {call, to, address, std::move(request), timeout});
    return call;
}

StoreCallNumber Turn::callStore(StoreRequest request)
{
    const auto call = numbers.next<StoreCallNumber>();
    count(Counter::StoreCalls);
    add(CallStore {call, std::move(request)});
    return call;
}

} // namespace indigoway
