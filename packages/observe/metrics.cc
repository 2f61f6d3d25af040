#include "observe/metrics.h"

#include <array>
#include <fstream>
#include <sstream>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

namespace fuchsiaramp {

namespace acc = boost::accumulators;

static constexpr std::array<double, 3> kQuantiles = { 0.5, 0.9, 0.99 };
static constexpr char kPrefix[] = "fuchsiaramp_";

LatencyMetric::LatencyMetric()
  : m_values(acc::extended_p_square_probabilities = kQuantiles)
{
}

std::string
LatencyMetric::Text(const std::string& aName) const
{
  std::ostringstream text;
  const std::size_t count = acc::count(m_values);
  text << kPrefix << aName << "_count " << count << '\n';
  if (count == 0) {
    return text.str();
  }
  for (double quantile : kQuantiles) {
    text << kPrefix << aName << "{quantile=\"" << quantile << "\"} "
         << acc::quantile(m_values, acc::quantile_probability = quantile)
         << '\n';
  }
  text << kPrefix << aName << "_mean " << acc::mean(m_values) << '\n';
  text << kPrefix << aName << "_max " << acc::max(m_values) << '\n';
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
