// Metrics of one process in the Prometheus text format ("name{label} value"
// lines).
//
//   metrics.Latency("request_seconds").Add(0.012);
//   std::string text = metrics.Text();
#pragma once

#include <functional>
#include <map>
#include <string>
#include <tuple>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

namespace fuchsiaramp {

// Histogram of a duration in seconds, since the start of the process.
class LatencyMetric
{
public:
  LatencyMetric();
  void Add(double aSeconds);
  // Returns the lines "NAME_bucket{le="BOUND"}", "NAME_sum" and "NAME_count".
  // Buckets are cumulative: each counts all values up to its bound, inclusive.
  std::string Text(const std::string& aName) const;

private:
  using Axis = boost::histogram::axis::variable<>;

  boost::histogram::histogram<std::tuple<Axis>> m_buckets;
  boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum>>
    m_values;
};

class Metrics
{
public:
  LatencyMetric& Latency(const std::string& aName);
  // Registers a gauge. aValue is called by each call of Text().
  void Gauge(const std::string& aName, std::function<double()> aValue);
  std::string Text() const;

private:
  std::map<std::string, LatencyMetric> m_latencies;
  std::map<std::string, std::function<double()>> m_gauges;
};

// CPU time (user and system) and resident set size of this process.
double
ProcessCpuSeconds();
double
ProcessResidentBytes();

} // namespace fuchsiaramp
