#pragma once

#include "dispatch/dispatchstate.h"

#include <optional>
#include <set>
#include <vector>

namespace indigoway::dispatch {

/** The generations that wait for a reservation at a decode engine, and their order. */
class WaitingGenerations
{
public:
    void add(const OpenRequest &request) { m_numbers.insert(request.arrival.request); }
    void remove(const OpenRequest &request) { m_numbers.erase(request.arrival.request); }
    const std::set<RequestNumber> &all() const { return m_numbers; }
    bool isEmpty() const { return m_numbers.empty(); }
    std::size_t size() const { return m_numbers.size(); }

    /**
     * Returns the request to be served first, or null if none waits. Requests that can still meet
     * their target precede late ones.
     */
    OpenRequest *next(OpenRequests &requests, TimePoint now) const;
    /** Returns the requests that have waited for too long. */
    std::vector<RequestNumber> overdue(OpenRequests &requests, TimePoint now) const;
    /** Returns the requests that no server may serve any more, see isServable(). */
    std::vector<RequestNumber> unservable(DispatchState &state, TimePoint now) const;
    /** Returns the requests that no decode engine accepts from this node in time. */
    std::vector<RequestNumber> blocked(DispatchState &state, TimePoint now) const;
    /**
     * Returns when a decode engine accepts requests of this node again; nothing if one does now.
     */
    static std::optional<TimePoint> blockedUntil(const DispatchState &state,
                                                 const OpenRequest &request, TimePoint now);

private:
    std::set<RequestNumber> m_numbers;
};

} // namespace indigoway::dispatch
