#pragma once

#include <cstdint>
#include <string>

namespace indigoway::standins {

/**
 * The stand-in's "language model": token i of the answer to a prompt is a word made of the
 * prompt's hash and i, so that a caller can tell a whole, right answer from any other, and an
 * engine can continue an answer that another one began.
 */
std::string answerToken(const std::string &prompt, std::uint32_t index);

/** Tokens 0 to @p count - 1. */
std::string wholeAnswer(const std::string &prompt, std::uint32_t count);

/** A prompt with the part of its answer that was already given. */
struct ContinuedPrompt
{
    std::string original;
    std::uint32_t answered = 0;
};

/** Splits answer tokens off the end of @p text. */
ContinuedPrompt splitPrompt(const std::string &text);

} // namespace indigoway::standins
