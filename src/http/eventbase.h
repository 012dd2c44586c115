#pragma once

#include <event2/event.h>

#include <memory>

namespace indigoway {

struct EventBaseDeleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};

/** Declared before all that uses it, so that it is freed after them. */
using EventBase = std::unique_ptr<event_base, EventBaseDeleter>;

struct EventDeleter
{
    void operator()(event *one) const { event_free(one); }
};

using EventHandle = std::unique_ptr<event, EventDeleter>;

} // namespace indigoway
