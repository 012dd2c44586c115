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
    std::vector<std::string> named;
    for (const auto &[name, value] : head.headers) {
        if (!sameHeaderName(name, "Connection")) {
            continue;
        }
        for (const absl::string_view part : absl::StrSplit(value, ',', absl::SkipWhitespace())) {
            named.emplace_back(absl::StripAsciiWhitespace(part));
        }
    }
    HttpHeaders kept;
    for (const auto &[name, value] : head.headers) {
        const auto isThis = [&name = name](std::string_view one) {
            return sameHeaderName(one, name);
        };
        if (std::none_of(ConnectionHeaders.begin(), ConnectionHeaders.end(), isThis)
            && std::none_of(named.begin(), named.end(), isThis)
            && !sameHeaderName(name, "Expect")) {
            kept.emplace_back(name, value);
        }
    }
    return kept;
}

} // namespace indigoway
