#include "partcrashspread.h"

#include <algorithm>
#include <iterator>

namespace indigoway::crashes {

namespace {

/** On average one node in 3,000 is missed; the store reaches it. */
constexpr std::ptrdiff_t Targets = 8;

} // namespace

std::vector<std::string> spreadTargets(const std::map<NodeName, std::string> &addresses,
                                       std::mt19937_64 &random)
{
    std::vector<std::pair<NodeName, std::string>> sample;
    std::ranges::sample(addresses, std::back_inserter(sample), Targets, random);
    std::vector<std::string> targets;
    targets.reserve(sample.size());
    for (auto &[node, address] : sample) {
        targets.push_back(std::move(address));
    }
    return targets;
}

} // namespace indigoway::crashes
