#pragma once

#include "language/statement.h"

#include <indigoway/deployment.h>

#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/**
 * Applies all of @p statements to @p base and validates the result: pools refer to declared
 * targets, servers to declared pools, addresses are "IP:port", and numbers are in range.
 * @return the new deployment, or the first error
 */
std::variant<Deployment, LanguageError> applyStatements(const Deployment &base,
                                                        const Statements &statements);

/** Parses @p text and applies its statements to @p base. */
std::variant<Deployment, LanguageError> applyText(const Deployment &base, const std::string &text);

/**
 * Returns @p deployment as declarations, one object a line, in a fixed order. Equal deployments
 * give equal texts, and applying the text to an empty deployment gives an equal deployment.
 */
std::string declarationsOf(const Deployment &deployment);

/** Returns the declarations that differ, as "+ ..." and "- ..." lines. */
std::vector<std::string> differences(const Deployment &from, const Deployment &to);

/** Returns, for example, "680ms", "5s" or "2min": in the largest unit that is exact. */
std::string durationText(Duration duration);

} // namespace indigoway
