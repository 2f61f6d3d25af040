#define BOOST_TEST_MODULE metrics
#include <boost/test/unit_test.hpp>

#include <string>

#include "observe/metrics.h"

namespace fuchsiaramp {

static bool
HasLine(const std::string& aText, const std::string& aLine)
{
  return ('\n' + aText).find('\n' + aLine + '\n') != std::string::npos;
}

BOOST_AUTO_TEST_CASE(BucketsAreCumulativeAndIncludeTheirBound)
{
  Metrics metrics;
  LatencyMetric& latency = metrics.Latency("request_seconds");
  latency.Add(0.0004);
  latency.Add(0.1);
  latency.Add(0.2);
  latency.Add(99.0);
  const std::string text = metrics.Text();
  BOOST_TEST_CONTEXT(text)
  {
    const std::string name = "fuchsiaramp_request_seconds";
    BOOST_TEST(HasLine(text, name + "_bucket{le=\"0.001\"} 1"));
    BOOST_TEST(HasLine(text, name + "_bucket{le=\"0.05\"} 1"));
    BOOST_TEST(HasLine(text, name + "_bucket{le=\"0.1\"} 2"));
    BOOST_TEST(HasLine(text, name + "_bucket{le=\"0.25\"} 3"));
    BOOST_TEST(HasLine(text, name + "_bucket{le=\"30\"} 3"));
    BOOST_TEST(HasLine(text, name + "_bucket{le=\"+Inf\"} 4"));
    BOOST_TEST(HasLine(text, name + "_count 4"));
  }
}

BOOST_AUTO_TEST_CASE(GaugesAreReadByEachCallOfText)
{
  Metrics metrics;
  double value = 1.0;
  metrics.Gauge("lists_version", [&value] { return value; });
  value = 7.0;
  BOOST_TEST(HasLine(metrics.Text(), "fuchsiaramp_lists_version 7"));
}

} // namespace fuchsiaramp
