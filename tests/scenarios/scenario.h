#pragma once

#include <string>

namespace indigoway::tests {

/**
 * Runs a scenario, one step a line, in virtual time with the real reducers and simulated engines,
 * store and network.
 * @return the first failure with its line number, or an empty string
 *
 *   nodes 4 | slots 2 | model "ATTRIBUTES"   the deployment; only before the first other step
 *   send model|service|once=KEY A to n0 [prompt 500] [output 20]
 *   wait 500ms | wait until CONDITION within 10s
 *   kill|freeze|thaw|start|leave node n1|scheduler|other|former
 *   kill|restart|freeze|thaw|break|stall|unstall|slow engine d0 [4]
 *   store away|back|drops 2
 *   cut n0 n1|store|peers
 *   heal
 *   caller A leaves
 *   command C on n0 "drain server d0"
 *   ignores-fencing d0
 *   version d0 1
 *   expect CONDITION
 *
 * "scheduler" is a node that schedules the model, "other" one that does not, and "former" the node
 * of the latest fault. A CONDITION is "A whole|streaming|in-doubt|overload|...", "idle d0",
 * "runs KEY 1", "revision 2" or another that ScenarioRunner::holds() knows; "not" negates it.
 */
std::string playScenario(const std::string &text);

} // namespace indigoway::tests
