#pragma once

#include <indigoway/ids.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace indigoway::crashes {

/**
 * Returns the addresses of the nodes that get a message about crashes from this one, chosen at
 * random. Each node passes on what is news to it, so that the message reaches all nodes within a
 * few round trips and without the store, though some nodes are dead and some datagrams are lost.
 */
std::vector<std::string> spreadTargets(const std::map<NodeName, std::string> &addresses,
                                       std::mt19937_64 &random);

} // namespace indigoway::crashes
