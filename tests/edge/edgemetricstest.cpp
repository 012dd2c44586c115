#include "edge/edgemetrics.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::dispatch;

class EdgeMetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EdgeMetricsTest);
    CPPUNIT_TEST(countsRequestsByOutcome);
    CPPUNIT_TEST(formatsLoadOfOrganisations);
    CPPUNIT_TEST(countsByOrganisationUpToALimit);
    CPPUNIT_TEST(countsQuotaUnitsByPriority);
    CPPUNIT_TEST(histogramBucketsAreCumulative);
    CPPUNIT_TEST(formatsGaugesOfServers);
    CPPUNIT_TEST_SUITE_END();

public:
    void countsRequestsByOutcome()
    {
        EdgeMetrics metrics;
        RequestEnded ended;
        ended.isGeneration = true;
        metrics.add(ended);
        metrics.add(ended);
        ended.outcome = RequestOutcome::Rejected;
        metrics.add(ended);
        metrics.add(LogDecision {"retry", "c1", "why"});
        const std::string text = metrics.prometheusText({{"requests_open", 7}});
        expect(text, "indigoway_requests_total{sort=\"generation\",outcome=\"served\"} 2\n");
        expect(text, "indigoway_requests_total{sort=\"generation\",outcome=\"rejected\"} 1\n");
        expect(text, "indigoway_decisions_total{kind=\"retry\"} 1\n");
        expect(text, "indigoway_requests_open 7\n");
        CPPUNIT_ASSERT(EdgeMetrics::organisationLoadText({}).empty());
    }

    void formatsLoadOfOrganisations()
    {
        const std::string text = EdgeMetrics::organisationLoadText(
            {{ServiceName("llm"), OrganisationName("a\"b"), 12, 250}});
        expect(text,
               "indigoway_scheduler_organisation_waiting{service=\"llm\",organisation=\"a\\\"b\"} "
               "12\n");
        expect(text, "# TYPE indigoway_scheduler_organisation_usage_permille gauge\n");
        expect(text, "organisation=\"a\\\"b\"} 250\n");
    }

    void countsByOrganisationUpToALimit()
    {
        EdgeMetrics metrics;
        RequestEnded ended;
        ended.outcome = RequestOutcome::OverQuota;
        ended.organisation = OrganisationName("a \"b\"");
        metrics.add(ended);
        expect(metrics.prometheusText({}),
               "indigoway_organisation_requests_total{organisation=\"a "
               "\\\"b\\\"\",outcome=\"over_quota\"} 1\n");
        for (int i = 0; i < 12'000; ++i) {
            ended.organisation = OrganisationName(std::to_string(i));
            metrics.add(ended);
        }
        expect(metrics.prometheusText({}),
               "organisation=\"(others)\",outcome=\"over_quota\"} 2001\n");
    }

    // Guards against a type line for each server, which makes the text invalid.
    void formatsGaugesOfServers()
    {
        const std::string text = EdgeMetrics().prometheusText(
            {}, {{"plain_server_held", "a@1", 3}, {"plain_server_held", "b@1", 4.5}});
        expect(text,
               "# TYPE indigoway_plain_server_held gauge\n"
               "indigoway_plain_server_held{server=\"a@1\"} 3\n"
               "indigoway_plain_server_held{server=\"b@1\"} 4.5\n");
    }

    // Guards against units whose priority or refusal does not show.
    void countsQuotaUnitsByPriority()
    {
        EdgeMetrics metrics;
        RequestEnded ended;
        metrics.add(ended);
        CPPUNIT_ASSERT(metrics.prometheusText({}).find("quota_units") == std::string::npos);
        ended.quotaUnits = 1500;
        ended.priority = 2;
        metrics.add(ended);
        ended.outcome = RequestOutcome::OverQuota;
        ended.priority = 900;
        metrics.add(ended);
        metrics.add(ended);
        const std::string text = metrics.prometheusText({});
        expect(text, "indigoway_quota_units_total{priority=\"2\",outcome=\"used\"} 1500\n");
        expect(text, "indigoway_quota_units_total{priority=\"7\",outcome=\"refused\"} 3000\n");
    }

    void histogramBucketsAreCumulative()
    {
        EdgeMetrics metrics;
        for (const int milliseconds : {0, 5, 50, 500, 200'000}) {
            RequestEnded ended;
            ended.totalTime = std::chrono::milliseconds(milliseconds);
            ended.timeToFirstAnswer = ended.totalTime;
            metrics.add(ended);
        }
        const std::string text = metrics.prometheusText({});
        expect(text, "indigoway_request_seconds_count{sort=\"plain\"} 5\n");
        expect(text, "indigoway_request_seconds_bucket{sort=\"plain\",le=\"+Inf\"} 5\n");
        expect(text, "indigoway_request_seconds_bucket{sort=\"plain\",le=\"100\"} 4\n");
        expect(text, "indigoway_first_answer_seconds_count{sort=\"plain\"} 4\n");
    }

private:
    static void expect(const std::string &text, const std::string &line)
    {
        CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeMetricsTest);
