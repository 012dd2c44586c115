#include <indigoway/promptpart.h>

#include "core/texthash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace indigoway {

namespace {

constexpr std::size_t MaxDigits = 16;
constexpr int HexadecimalBase = 16;

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

/** Returns @p name in lower case, without leading zeros. */
std::string canonical(std::string_view name)
{
    const std::size_t first = name.find_first_not_of('0');
    std::string text(first == std::string_view::npos ? std::string_view() : name.substr(first));
    std::ranges::transform(text, text.begin(), [](unsigned char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : static_cast<char>(c);
    });
    return text;
}

} // namespace

PartId partIdOf(std::string_view name)
{
    const std::string text = canonical(name);
    if (const auto id = parsePartId(text)) {
        return *id;
    }
    return PartId(textHash(text));
}

std::string textOf(PartId part)
{
    std::array<char, MaxDigits + 1> text {};
    std::snprintf(text.data(), text.size(), "%llx", static_cast<unsigned long long>(part.value()));
    return text.data();
}

std::optional<PartId> parsePartId(std::string_view text)
{
    const bool isNumber = !text.empty() && text.size() <= MaxDigits && text.front() != '0'
        && std::ranges::all_of(text, isHexDigit);
    if (!isNumber) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, HexadecimalBase);
    return PartId(value);
}

void PromptPartList::add(std::string_view name)
{
    if (m_last && m_shared.size() < MaxPromptParts
        && std::ranges::find(m_shared, *m_last) == m_shared.end()) {
        m_shared.push_back(*m_last);
    }
    m_last = partIdOf(name);
}

std::vector<PartId> PromptPartList::takeShared()
{
    m_last.reset();
    return std::exchange(m_shared, {});
}

} // namespace indigoway
