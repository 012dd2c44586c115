#include "serverrequest.h"

#include <algorithm>
#include <chrono>

namespace indigoway {

namespace {

/** Idle time after which a connection is closed if the server sends no Keep-Alive timeout. */
constexpr Duration DefaultIdleTime = std::chrono::milliseconds(400);
/** Time before the server's Keep-Alive timeout at which a connection is no longer reused. */
constexpr Duration IdleTimeMargin = std::chrono::milliseconds(600);
constexpr Duration MaxIdleTime = std::chrono::seconds(8);

} // namespace

std::string headTextOf(const ServerRequest &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    const bool hasBody =
        !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    if (hasBody) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n";
    return text;
}

Duration idleTimeFrom(const MessageHead &head)
{
    const std::string_view keepAlive = head.header("Keep-Alive");
    const std::size_t at = keepAlive.find("timeout=");
    if (at == std::string_view::npos) {
        return DefaultIdleTime;
    }
    constexpr std::size_t NameLength = 8;
    const long seconds =
        std::strtol(std::string(keepAlive.substr(at + NameLength)).c_str(), nullptr, 10);
    const Duration idleTime = std::chrono::seconds(std::clamp(seconds, 0L, 3600L));
    return std::clamp(idleTime - IdleTimeMargin, Duration(0), MaxIdleTime);
}

} // namespace indigoway
