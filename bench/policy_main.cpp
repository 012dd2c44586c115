#include "experiment.h"

#include "settings/flagset.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>

ABSL_FLAG(std::uint32_t, seeds, 10, "Seeds per row.");
ABSL_FLAG(std::uint32_t, first_seed, 1, "The first of the seeds.");
ABSL_FLAG(std::uint32_t, threads, 8, "Runs at a time.");
ABSL_FLAG(std::string, csv, "", "File that the rows are also written to.");
ABSL_FLAG(std::string, only, "", "Only rows whose name contains this.");
ABSL_FLAG(bool, baselines, true, "Whether the baselines are run too.");

namespace {

using namespace indigoway;
using namespace indigoway::bench;

struct Row
{
    ExperimentDeployment deployment;
    Scenario scenario = Scenario::Steady;
    double load = 1;
    Policy policy;
    std::vector<RunResult> results;

    std::string name() const
    {
        char text[128];
        std::snprintf(text, sizeof text, "%s %s %.1f %s", deployment.name.c_str(),
                      scenarioName(scenario), load, policy.name.c_str());
        return text;
    }
};

struct Spread
{
    double median = 0;
    double least = 0;
    double most = 0;
};

template <typename Member>
Spread spreadOf(const std::vector<RunResult> &results, Member member)
{
    std::vector<double> values;
    values.reserve(results.size());
    for (const RunResult &result : results) {
        values.push_back(member(result));
    }
    std::sort(values.begin(), values.end());
    const double median = (values[(values.size() - 1) / 2] + values[values.size() / 2]) / 2;
    return {median, values.front(), values.back()};
}

Spread goodputOf(const Row &row)
{
    return spreadOf(row.results, [](const RunResult &result) { return result.goodput; });
}

Spread wastedOf(const Row &row)
{
    return spreadOf(row.results, [](const RunResult &result) { return result.wasted; });
}

std::vector<Policy> policies(bool withBaselines)
{
    std::vector<Policy> all;
    Policy bound;
    bound.name = "bound";
    bound.nodes = 1;
    bound.seesAll = true;
    all.push_back(bound);
    Policy refusingBound = bound;
    refusingBound.name = "bound-refuse";
    refusingBound.late = LatePolicy::Refuse;
    all.push_back(refusingBound);
    Policy granted;
    granted.name = "indigoway";
    all.push_back(granted);
    Policy refusing = granted;
    refusing.name = "indigoway-refuse";
    refusing.late = LatePolicy::Refuse;
    all.push_back(refusing);
    if (!withBaselines) {
        return all;
    }
    for (const auto &[name, policy] :
         {std::pair("round-robin", LocalPolicy::RoundRobin),
          std::pair("least-outstanding", LocalPolicy::LeastOutstanding),
          std::pair("ewma-latency", LocalPolicy::EwmaLatency),
          std::pair("power-of-two", LocalPolicy::PowerOfTwo)}) {
        Policy baseline;
        baseline.name = name;
        baseline.mode = PlacementMode::Local;
        baseline.local = policy;
        all.push_back(baseline);
    }
    return all;
}

std::vector<Row> allRows()
{
    std::vector<Row> rows;
    const std::string only = absl::GetFlag(FLAGS_only);
    const auto add = [&](const ExperimentDeployment &deployment, Scenario scenario, double load) {
        for (const Policy &policy : policies(absl::GetFlag(FLAGS_baselines))) {
            Row row {deployment, scenario, load, policy, {}};
            if (row.name().find(only) != std::string::npos) {
                row.results.resize(absl::GetFlag(FLAGS_seeds));
                rows.push_back(std::move(row));
            }
        }
    };
    for (const ExperimentDeployment &deployment : {listaViva(), kopje()}) {
        for (const double load : {0.7, 0.9, 1.1, 1.3}) {
            add(deployment, Scenario::Steady, load);
        }
        for (const Scenario scenario :
             {Scenario::Burst, Scenario::Straggler, Scenario::DecodeDeath, Scenario::NodeDeath,
              Scenario::NodeFreeze, Scenario::LostMessages, Scenario::StoreAway,
              Scenario::Backlog}) {
            add(deployment, scenario, 0.7);
        }
    }
    return rows;
}

void runAll(std::vector<Row> &rows)
{
    const std::size_t seeds = absl::GetFlag(FLAGS_seeds);
    std::atomic<std::size_t> next {0};
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < absl::GetFlag(FLAGS_threads); ++i) {
        threads.emplace_back([&] {
            for (std::size_t job = next++; job < rows.size() * seeds; job = next++) {
                Row &row = rows[job / seeds];
                row.results[job % seeds] =
                    runExperiment(row.deployment, row.scenario, row.load, row.policy,
                                  job % seeds + absl::GetFlag(FLAGS_first_seed));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

const Row *boundOf(const std::vector<Row> &rows, const Row &row)
{
    const auto it = std::find_if(rows.begin(), rows.end(), [&](const Row &other) {
        return other.policy.seesAll && other.policy.late == row.policy.late
            && other.deployment.name == row.deployment.name && other.scenario == row.scenario
            && other.load == row.load;
    });
    return it == rows.end() ? nullptr : &*it;
}

double ofBound(const std::vector<Row> &rows, const Row &row)
{
    const Row *bound = boundOf(rows, row);
    return bound ? goodputOf(row).median / std::max(1e-9, goodputOf(*bound).median) : 0;
}

void print(const std::vector<Row> &rows, std::FILE *out, bool isCsv)
{
    std::fprintf(out,
                 isCsv ? "deployment,scenario,load,policy,goodput,goodput_least,goodput_most,"
                         "of_bound,wasted,wasted_least,wasted_most,finished,short,long\n"
                       : "%-11s%-13s%-5s%-19s%-22s%-9s%-23s%-9s%s\n",
                 "deployment", "scenario", "load", "policy", "goodput", "of bound", "wasted %",
                 "finished", "goodput per class");
    for (const Row &row : rows) {
        const Spread goodput = goodputOf(row);
        const Spread wasted = wastedOf(row);
        const double finished =
            spreadOf(row.results, [](const RunResult &result) { return result.finished; }).median;
        std::vector<double> ofClass;
        std::string classes;
        for (const RequestClass &kind : row.deployment.classes) {
            const double value = spreadOf(row.results, [&](const RunResult &result) {
                                     const auto it = result.goodputOf.find(kind.name);
                                     return it == result.goodputOf.end() ? 0.0 : it->second;
                                 }).median;
            char text[64];
            std::snprintf(text, sizeof text, "%s %.3f  ", kind.name.c_str(), value);
            classes += text;
            ofClass.push_back(value);
        }
        std::fprintf(out,
                     isCsv ? "%s,%s,%.1f,%s,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f\n"
                           : "%-11s%-13s%-5.1f%-19s%.3f [%.3f, %.3f]  %-9.3f%.2f [%.2f, %.2f]   "
                             "   %-9.3f",
                     row.deployment.name.c_str(), scenarioName(row.scenario), row.load,
                     row.policy.name.c_str(), goodput.median, goodput.least, goodput.most,
                     ofBound(rows, row), wasted.median * 100, wasted.least * 100, wasted.most * 100,
                     finished, ofClass.back(), ofClass.front());
        if (!isCsv) {
            std::fprintf(out, "%s\n", classes.c_str());
        }
    }
}

/** At 1.1 of capacity, steady; of the two deployments the worse counts. */
void printHeadline(const std::vector<Row> &rows)
{
    struct Worst
    {
        double ofBound = 2;
        double wasted = 0;
    };
    std::map<std::string, Worst> worst;
    for (const Row &row : rows) {
        if (row.scenario == Scenario::Steady && row.load == 1.1) {
            Worst &one = worst[row.policy.name];
            one.ofBound = std::min(one.ofBound, ofBound(rows, row));
            one.wasted = std::max(one.wasted, wastedOf(row).median);
        }
    }
    std::string best;
    for (const auto &[name, one] : worst) {
        const bool isBaseline = !name.starts_with("bound") && !name.starts_with("indigoway");
        if (isBaseline && (best.empty() || one.ofBound > worst[best].ofBound)) {
            best = name;
        }
    }
    if (!worst.contains("indigoway") || best.empty()) {
        return;
    }
    std::printf("headline: goodput_of_bound=%.3f wasted_prefill=%.4f best_baseline=%s "
                "best_baseline_goodput_of_bound=%.3f best_baseline_wasted_prefill=%.4f\n",
                worst["indigoway"].ofBound, worst["indigoway"].wasted, best.c_str(),
                worst[best].ofBound, worst[best].wasted);
}

} // namespace

int main(int argc, char **argv)
{
    parseOrExit({"indigoway-policy: goodput and wasted prefill of placement policies, the real "
                 "reducers over fakes in virtual time.",
                 {"seeds", "first_seed", "threads", "csv", "only", "baselines"}},
                argc, argv);
    std::vector<Row> rows = allRows();
    runAll(rows);
    print(rows, stdout, false);
    const std::string csv = absl::GetFlag(FLAGS_csv);
    if (!csv.empty()) {
        std::FILE *file = std::fopen(csv.c_str(), "w");
        if (!file) {
            std::fprintf(stderr, "cannot write %s\n", csv.c_str());
            return 1;
        }
        print(rows, file, true);
        std::fclose(file);
    }
    printHeadline(rows);
    return 0;
}
