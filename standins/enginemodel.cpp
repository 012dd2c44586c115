#include "enginemodel.h"

#include <xxhash.h>

#include <cstdio>

namespace indigoway::standins {

namespace {

std::string tokenOf(std::uint32_t hash, std::uint32_t index)
{
    char text[32];
    std::snprintf(text, sizeof text, " %08x:%u", hash, index);
    return text;
}

std::uint32_t hashOf(const std::string &prompt)
{
    return XXH32(prompt.data(), prompt.size(), 0);
}

} // namespace

std::string answerToken(const std::string &prompt, std::uint32_t index)
{
    return tokenOf(hashOf(prompt), index);
}

std::string wholeAnswer(const std::string &prompt, std::uint32_t count)
{
    const std::uint32_t hash = hashOf(prompt);
    std::string answer;
    for (std::uint32_t i = 0; i < count; ++i) {
        answer += tokenOf(hash, i);
    }
    return answer;
}

ContinuedPrompt splitPrompt(const std::string &text)
{
    const std::size_t space = text.rfind(' ');
    const std::size_t colon = text.rfind(':');
    unsigned hash = 0;
    unsigned last = 0;
    const bool isToken = space != std::string::npos && colon != std::string::npos && colon > space
        && std::sscanf(text.c_str() + space, " %8x:%u", &hash, &last) == 2
        && text.substr(space) == tokenOf(hash, last);
    if (!isToken) {
        return {text, 0};
    }
    std::string answer;
    for (unsigned i = 0; i <= last; ++i) {
        answer += tokenOf(hash, i);
    }
    if (!text.ends_with(answer)) {
        return {text, 0};
    }
    std::string original = text.substr(0, text.size() - answer.size());
    if (hashOf(original) != hash) {
        return {text, 0};
    }
    return {std::move(original), last + 1};
}

} // namespace indigoway::standins
