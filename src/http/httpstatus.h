#pragma once

namespace indigoway {

/** Status codes of answers that a server gives by itself. */
namespace status {
constexpr int BadRequest = 400;
constexpr int RequestTimeout = 408;
constexpr int PayloadTooLarge = 413;
constexpr int ExpectationFailed = 417;
constexpr int HeadersTooLarge = 431;
constexpr int ServiceUnavailable = 503;
} // namespace status

/** Returns the reason phrase of a status line. */
const char *reasonPhrase(int code);

} // namespace indigoway
