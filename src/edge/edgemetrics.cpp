#include "edgemetrics.h"

#include "dispatch/openrequests.h"

#include <boost/histogram.hpp>

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace indigoway {

namespace {

namespace bh = boost::histogram;

// Six logarithmic buckets per decade.
constexpr unsigned BucketCount = 30;
constexpr double MinSeconds = 1e-3;
constexpr double MaxSeconds = 100;

/** Bounds the cardinality of the series by organisation and outcome. */
constexpr std::size_t MaxOrganisationSeries = 10'000;

/** Bounds the number of series by priority; less urgent ones count as the last. */
constexpr std::uint32_t MaxPriorityLabel = 7;

/** Escapes a label value for the text format. */
std::string escapedLabelValue(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '\n') {
            escaped += "\\n";
        } else {
            escaped += c == '"' || c == '\\' ? std::string("\\") + c : std::string(1, c);
        }
    }
    return escaped;
}

auto makeHistogram()
{
    using Axis = bh::axis::regular<double, bh::axis::transform::log>;
    return bh::make_histogram(Axis(BucketCount, MinSeconds, MaxSeconds));
}

const char *sortLabel(bool isGeneration)
{
    return isGeneration ? "generation" : "plain";
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** A latency histogram in seconds with the sum that Prometheus expects beside the buckets. */
struct LatencyHistogram
{
    decltype(makeHistogram()) buckets = makeHistogram();
    double sum = 0;

    void add(Duration value)
    {
        buckets(secondsOf(value));
        sum += secondsOf(value);
    }

    std::string text(const std::string &name, bool isGeneration) const
    {
        const std::string labels = fmt::format("sort=\"{}\"", sortLabel(isGeneration));
        std::string text;
        double count = 0;
        for (auto &&bin : bh::indexed(buckets, bh::coverage::all)) {
            count += *bin;
            if (bin.index() >= 0 && static_cast<unsigned>(bin.index()) < BucketCount) {
                text += fmt::format("indigoway_{}_bucket{{{},le=\"{:.4g}\"}} {}\n", name, labels,
                                    bin.bin().upper(), count);
            }
        }
        return text
            + fmt::format("indigoway_{0}_bucket{{{1},le=\"+Inf\"}} {2}\nindigoway_{0}_sum{{{1}}} "
                          "{3}\nindigoway_{0}_count{{{1}}} {2}\n",
                          name, labels, count, sum);
    }
};

/** Appends one member of the organisations' load. */
void appendGauge(std::string &text, const char *name,
                 const std::vector<EdgeMetrics::OrganisationLoad> &organisations,
                 std::uint64_t EdgeMetrics::OrganisationLoad::*value)
{
    if (organisations.empty()) {
        return;
    }
    text += fmt::format("# TYPE indigoway_{} gauge\n", name);
    for (const EdgeMetrics::OrganisationLoad &load : organisations) {
        text += fmt::format("indigoway_{}{{service=\"{}\",organisation=\"{}\"}} {}\n", name,
                            escapedLabelValue(load.service.text()),
                            escapedLabelValue(load.organisation.text()), load.*value);
    }
}

} // namespace

struct EdgeMetrics::Histograms
{
    // Index 0: plain requests; 1: generations.
    std::array<LatencyHistogram, 2> firstAnswer;
    std::array<LatencyHistogram, 2> total;
};

EdgeMetrics::EdgeMetrics()
    : m_histograms(std::make_unique<Histograms>())
{ }

EdgeMetrics::~EdgeMetrics() = default;

void EdgeMetrics::add(const dispatch::RequestEnded &ended)
{
    ++m_requests[{ended.isGeneration, ended.outcome}];
    if (!ended.organisation.isEmpty()) {
        const std::pair key {ended.organisation, ended.outcome};
        const bool hasRoom = m_organisations.size() < MaxOrganisationSeries;
        ++m_organisations[hasRoom || m_organisations.contains(key)
                              ? key
                              : std::pair {OrganisationName("(others)"), ended.outcome}];
    }
    if (ended.quotaUnits > 0) {
        m_quotaUnits[{std::min(ended.priority, MaxPriorityLabel),
                      ended.outcome == dispatch::RequestOutcome::OverQuota}] += ended.quotaUnits;
    }
    const std::size_t sort = ended.isGeneration ? 1 : 0;
    if (ended.timeToFirstAnswer.count() > 0) {
        m_histograms->firstAnswer[sort].add(ended.timeToFirstAnswer);
    }
    m_histograms->total[sort].add(ended.totalTime);
}

std::string
EdgeMetrics::prometheusText(const std::vector<std::pair<std::string, std::uint64_t>> &gauges,
                            const std::vector<ServerGauge> &serverGauges) const
{
    std::string text = "# TYPE indigoway_requests_total counter\n";
    for (const auto &[key, count] : m_requests) {
        text += fmt::format("indigoway_requests_total{{sort=\"{}\",outcome=\"{}\"}} {}\n",
                            sortLabel(key.first), dispatch::nameOf(key.second), count);
    }
    text += "# TYPE indigoway_organisation_requests_total counter\n";
    for (const auto &[key, count] : m_organisations) {
        text += fmt::format(
            "indigoway_organisation_requests_total{{organisation=\"{}\",outcome=\"{}\"}} {}\n",
            escapedLabelValue(key.first.text()), dispatch::nameOf(key.second), count);
    }
    if (!m_quotaUnits.empty()) {
        text += "# TYPE indigoway_quota_units_total counter\n";
    }
    for (const auto &[key, units] : m_quotaUnits) {
        text += fmt::format("indigoway_quota_units_total{{priority=\"{}\",outcome=\"{}\"}} {}\n",
                            key.first, key.second ? "refused" : "used", units);
    }
    text += "# TYPE indigoway_decisions_total counter\n";
    for (const auto &[kind, count] : m_decisions) {
        text += fmt::format("indigoway_decisions_total{{kind=\"{}\"}} {}\n", kind, count);
    }
    for (const auto &[name, value] : gauges) {
        text += fmt::format("# TYPE indigoway_{0} gauge\nindigoway_{0} {1}\n", name, value);
    }
    std::string lastName;
    for (const ServerGauge &gauge : serverGauges) {
        if (std::exchange(lastName, gauge.name) != gauge.name) {
            text += fmt::format("# TYPE indigoway_{} gauge\n", gauge.name);
        }
        text += fmt::format("indigoway_{}{{server=\"{}\"}} {}\n", gauge.name,
                            escapedLabelValue(gauge.server), gauge.value);
    }
    text += "# TYPE indigoway_first_answer_seconds histogram\n";
    for (const bool isGeneration : {false, true}) {
        text += m_histograms->firstAnswer[isGeneration ? 1 : 0].text("first_answer_seconds",
                                                                     isGeneration);
    }
    text += "# TYPE indigoway_request_seconds histogram\n";
    for (const bool isGeneration : {false, true}) {
        text += m_histograms->total[isGeneration ? 1 : 0].text("request_seconds", isGeneration);
    }
    return text;
}

std::string EdgeMetrics::organisationLoadText(const std::vector<OrganisationLoad> &organisations)
{
    std::string text;
    appendGauge(text, "scheduler_organisation_waiting", organisations, &OrganisationLoad::waiting);
    appendGauge(text, "scheduler_organisation_usage_permille", organisations,
                &OrganisationLoad::usagePermille);
    return text;
}

} // namespace indigoway
