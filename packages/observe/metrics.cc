#include "observe/metrics.h"

#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>
#include <utility>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

namespace fuchsiaramp {

namespace acc = boost::accumulators;

// Upper bounds of the buckets in seconds, from a request that is refused
// immediately to one that takes as long as callers wait.
static const std::vector<double> kUpperBoundsSeconds = {
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
  0.25,  0.5,    1.0,   2.5,  5.0,   10.0, 30.0
};
static constexpr char kPrefix[] = "fuchsiaramp_";

// A bucket of Boost.Histogram includes its lower bound and excludes its upper
// bound, so each edge is the next double after the inclusive upper bound.
static std::vector<double>
BucketEdges()
{
  std::vector<double> edges = { 0.0 };
  for (const double bound : kUpperBoundsSeconds) {
    edges.push_back(
      std::nextafter(bound, std::numeric_limits<double>::infinity()));
  }
  return edges;
}

LatencyMetric::LatencyMetric()
  : m_buckets(boost::histogram::make_histogram(Axis(BucketEdges())))
{
}

void
LatencyMetric::Add(double aSeconds)
{
  m_buckets(aSeconds);
  m_values(aSeconds);
}

std::string
LatencyMetric::Text(const std::string& aName) const
{
  std::ostringstream text;
  const auto line = [&](const std::string& aSuffix, double aValue) {
    text << kPrefix << aName << aSuffix << ' ' << aValue << '\n';
  };
  double cumulative = 0.0;
  for (std::size_t i = 0; i < kUpperBoundsSeconds.size(); ++i) {
    cumulative += m_buckets.at(static_cast<int>(i));
    std::ostringstream bound;
    bound << kUpperBoundsSeconds[i];
    line("_bucket{le=\"" + bound.str() + "\"}", cumulative);
  }
  const auto count = static_cast<double>(acc::count(m_values));
  line("_bucket{le=\"+Inf\"}", count);
  line("_sum", acc::sum(m_values));
  line("_count", count);
  return text.str();
}

LatencyMetric&
Metrics::Latency(const std::string& aName)
{
  return m_latencies[aName];
}

void
Metrics::Gauge(const std::string& aName, std::function<double()> aValue)
{
  m_gauges[aName] = std::move(aValue);
}

std::string
Metrics::Text() const
{
  std::ostringstream text;
  text.precision(12);
  for (const auto& [name, value] : m_gauges) {
    text << kPrefix << name << ' ' << value() << '\n';
  }
  for (const auto& [name, latency] : m_latencies) {
    text << latency.Text(name);
  }
  return text.str();
}

double
ProcessCpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double
ProcessResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  double pages = 0.0;
  double resident = 0.0;
  file >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace fuchsiaramp
