#include "tunnelprotocol.h"

#include "core/visibletext.h"

#include <algorithm>
#include <array>

namespace indigoway {

namespace {

constexpr std::string_view Method = "CONNECT ";
constexpr std::string_view Version = " HTTP/1.1\r\n";
constexpr std::string_view StatusPrefix = "HTTP/1.1 ";
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
/** Header of requests and answers, with the line end before it. */
constexpr std::string_view FramesHeader = "\r\nFrames: 1\r\n";
constexpr std::array Answers {TunnelAnswer::Open, TunnelAnswer::Refused, TunnelAnswer::Unavailable,
                              TunnelAnswer::NoAnswer};

std::string codeOf(TunnelAnswer answer)
{
    return std::to_string(static_cast<int>(answer));
}

} // namespace

std::optional<std::string> encodeTunnelRequest(const ServerName &server)
{
    const std::string &name = server.text();
    std::string text = std::string(Method) + name + std::string(Version) + "Host: " + name
        + std::string(FramesHeader) + std::string(LineEnd);
    if (name.empty() || !isVisible(name) || text.size() > MaxTunnelHeadBytes) {
        return std::nullopt;
    }
    return text;
}

std::string encodeTunnelAnswer(TunnelAnswer answer, bool isFramed)
{
    return std::string(StatusPrefix) + codeOf(answer) + " -"
        + std::string(isFramed ? FramesHeader : LineEnd) + std::string(LineEnd);
}

std::optional<std::size_t> tunnelHeadLength(std::string_view text)
{
    const std::size_t at = text.find(HeadEnd);
    return at == std::string_view::npos ? std::nullopt : std::optional(at + HeadEnd.size());
}

std::optional<TunnelRequest> parseTunnelRequest(std::string_view head)
{
    const std::size_t end = head.find(Version);
    if (!head.starts_with(Method) || end == std::string_view::npos || end <= Method.size()) {
        return std::nullopt;
    }
    return TunnelRequest {ServerName(std::string(head.substr(Method.size(), end - Method.size()))),
                          head.find(FramesHeader) != std::string_view::npos};
}

TunnelAnswer parseTunnelAnswer(std::string_view head)
{
    for (const TunnelAnswer answer : Answers) {
        if (head.starts_with(std::string(StatusPrefix) + codeOf(answer) + ' ')) {
            return answer;
        }
    }
    return TunnelAnswer::Unavailable;
}

bool isFramedAnswer(std::string_view head)
{
    return head.find(FramesHeader) != std::string_view::npos;
}

} // namespace indigoway
