#pragma once

namespace indigoway::dispatch {

/** What proves that a stream has come to its end. */
enum class StreamEnd {
    Framing, ///< Its last chunk, or its length.
    /** The orderly close of its connection, while nothing else may have closed it. */
    Close,
    /** The same; that nothing else has closed it is known from the answer to a later call. */
    ConfirmedClose,
};

const char *nameOf(StreamEnd end);

} // namespace indigoway::dispatch
