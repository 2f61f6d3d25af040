// Metrics of one process in the common text format of "name{label} value"
// lines.
//
//   metrics.Latency("request_seconds").Add(0.012);
//   std::string text = metrics.Text();
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <sstream>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace fuchsiaramp {

// Distribution of one measured quantity since the start, in seconds.
class LatencyMetric
{
public:
  LatencyMetric();
  void Add(double aSeconds) { m_values(aSeconds); }
  std::string Text(const std::string& aName) const;

private:
  boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
      boost::accumulators::tag::count,
      boost::accumulators::tag::mean,
      boost::accumulators::tag::max,
      boost::accumulators::tag::extended_p_square_quantile>>
    m_values;
};

class Metrics
{
public:
  LatencyMetric& Latency(const std::string& aName);
  // A value that is read when the text is made.
  void Gauge(const std::string& aName, std::function<double()> aValue);
  std::string Text() const;

private:
  std::map<std::string, LatencyMetric> m_latencies;
  std::map<std::string, std::function<double()>> m_gauges;
};

// Processor seconds and resident bytes of this process.
double
ProcessCpuSeconds();
double
ProcessResidentBytes();

} // namespace fuchsiaramp
