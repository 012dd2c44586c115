#pragma once

#include <string>

namespace indigoway::tests {

/**
 * Plays a scenario: steps, one a line, in virtual time over the real reducers and the fakes.
 * Returns what went wrong with its line, or nothing.
 *
 *   nodes 4                          the world; before the first step
 *   send model A to n0 prompt 500 output 20      (service, once KEY; "refuse" late policy in
 * `model`) wait 500ms | wait until A is whole|refused|decoding|prefilling|queued within 10s
 *   kill|freeze|thaw|start|leave node n1 | scheduler          the node that schedules the model
 *   kill|restart|freeze|thaw|break|stall|unstall|slow engine d0 [4]
 *   store away|back|drops 2          cut n0 n1, cut n0 store, heal
 *   caller A leaves
 *   command C on n0 "drain server d0"
 *   expect A whole|refused overload|in-doubt|done|not-executed ...
 */
std::string playScenario(const std::string &text);

} // namespace indigoway::tests
