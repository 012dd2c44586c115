#include "dialect.h"

#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <array>

namespace indigoway {

namespace {

constexpr std::array<std::string_view, 10> ConnectionHeaders {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
};

} // namespace

HttpHeaders endToEndHeaders(const MessageHead &head)
{
    std::vector<std::string> connectionOptions;
    for (const auto &[name, value] : head.headers) {
        if (!isSameHeaderName(name, "Connection")) {
            continue;
        }
        for (const absl::string_view part : absl::StrSplit(value, ',', absl::SkipWhitespace())) {
            connectionOptions.emplace_back(absl::StripAsciiWhitespace(part));
        }
    }
    HttpHeaders endToEnd;
    for (const auto &[name, value] : head.headers) {
        const auto matchesName = [&name = name](std::string_view other) {
            return isSameHeaderName(other, name);
        };
        if (std::none_of(ConnectionHeaders.begin(), ConnectionHeaders.end(), matchesName)
            && std::none_of(connectionOptions.begin(), connectionOptions.end(), matchesName)
            && !isSameHeaderName(name, "Expect")) {
            endToEnd.emplace_back(name, value);
        }
    }
    return endToEnd;
}

} // namespace indigoway
