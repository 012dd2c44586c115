#pragma once

#include "fakes/world.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace indigoway::bench {

/** A class of requests in an experiment. */
struct RequestClass
{
    std::string name;
    double share = 1;
    double promptMean = 400; ///< Tokens; drawn from a log-normal distribution.
    double outputMean = 40;
    Duration firstToken = std::chrono::milliseconds(680);
    bool isLong = false;
};

/** One of the users' deployments, in numbers. */
struct ExperimentDeployment
{
    std::string name;
    int prefills = 8;
    int decodes = 12;
    fakes::FakeEngineSettings engine;
    Duration betweenTokens = std::chrono::milliseconds(52);
    std::vector<RequestClass> classes;

    /** Requests a second at which prefill or decode is full, whichever comes first. */
    double capacity() const;
};

ExperimentDeployment listaViva();
ExperimentDeployment kopje();

enum class Scenario {
    Steady,
    Burst,
    Straggler,
    DecodeDeath,
    NodeDeath,    ///< Of the node that schedules the model's cell.
    NodeFreeze,   ///< The same, which then wakes.
    LostMessages, ///< One call in a hundred between nodes, and one in a hundred doubled.
    StoreAway,
    Backlog,
};

const char *scenarioName(Scenario scenario);

/** Who decides. */
struct Policy
{
    std::string name;
    std::size_t nodes = 8;
    PlacementMode mode = PlacementMode::Scheduled;
    LocalPolicy local = LocalPolicy::PowerOfTwo;
    bool seesAll = false; ///< One decider without delay or lag: the bound.
    LatePolicy late = LatePolicy::Finish;
};

/** What one run gave. */
struct RunResult
{
    double goodput = 0;                      ///< Share of the cohort that met both targets.
    double wasted = 0;                       ///< Share of prefilled tokens that were never decoded.
    std::map<std::string, double> goodputOf; ///< Per class.
    double finished = 0;                     ///< Share that got its whole answer, late or not.
    std::uint64_t requests = 0;
};

/**
 * Plays one scenario in virtual time. Arrivals and sizes follow from @p seed alone, so that all
 * policies see the same (common random numbers, as in the paper's section 07).
 */
RunResult runExperiment(const ExperimentDeployment &deployment, Scenario scenario, double load,
                        const Policy &policy, std::uint64_t seed);

} // namespace indigoway::bench
