#pragma once

#include "language/statement.h"

#include <indigoway/deployment.h>

#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/**
 * Applies @p statements to @p base, all or none, and checks the whole: pools name declared
 * targets, servers name declared pools, addresses are "IP:port", numbers are in range.
 */
std::variant<Deployment, LanguageError> applyStatements(const Deployment &base,
                                                        const Statements &statements);

/** Parses and applies @p text. */
std::variant<Deployment, LanguageError> applyText(const Deployment &base, const std::string &text);

/**
 * The deployment as declarations, one object a line, in a fixed order: equal deployments give
 * equal texts, and applying the text to an empty deployment gives an equal one.
 */
std::string declarationsOf(const Deployment &deployment);

/** Lines that differ, "+ ..." and "- ..." as in a unified diff. */
std::vector<std::string> differences(const Deployment &from, const Deployment &to);

/** "680ms", "5s", "2min" or "150us"; the largest unit that is exact. */
std::string durationText(Duration duration);

} // namespace indigoway
