// Runs in which servers name the rate of requests that they take from all entry
// hosts together, while hosts pause, restart and are isolated.
#define BOOST_TEST_MODULE server_limit_run
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>

#include "testing/load_model.h"
#include "testing/run_options.h"

namespace fuchsiaramp {

static constexpr Duration kNamedAt = std::chrono::seconds(2);
static constexpr Duration kEndsAt = std::chrono::seconds(24);
// The bound of the users' pages: it holds in each window of this length that
// begins this long after the server first named its limit.
static constexpr Duration kWindow = std::chrono::seconds(4);
static constexpr Duration kNoticePeriod = std::chrono::seconds(3);
static constexpr double kRateFactor = 1.5;
static constexpr double kSlack = 5.0; // requests

static const RequestRate kRates[] = { { 0.2 }, { 1.0 }, { 1.4 }, { 3.0 } };

static LoadOptions
FleetOf(std::size_t aHosts, std::size_t aServers, std::uint64_t aSeed)
{
  LoadOptions options;
  options.seed = aSeed;
  options.hosts = aHosts;
  options.servers = aServers;
  options.load = 0.5;
  return options;
}

// The most requests, from all hosts, in one window between aFrom and aTo.
static std::size_t
MostInWindow(const std::vector<LoadModel::Arrival>& aArrivals,
             TimePoint aFrom,
             TimePoint aTo)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aArrivals.size(); ++last) {
    if (aArrivals[last].at < aFrom || aArrivals[last].at >= aTo) {
      continue;
    }
    while (aArrivals[first].at < aFrom ||
           aArrivals[first].at + kWindow <= aArrivals[last].at) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

static std::size_t
CountBetween(const std::vector<LoadModel::Arrival>& aArrivals,
             TimePoint aFrom,
             TimePoint aTo)
{
  return static_cast<std::size_t>(
    std::count_if(aArrivals.begin(),
                  aArrivals.end(),
                  [&](const LoadModel::Arrival& aArrival) {
                    return aArrival.at >= aFrom && aArrival.at < aTo;
                  }));
}

// Servers 0 to 3 name kRates from kNamedAt to kEndsAt.
class LimitedFleet
{
public:
  explicit LimitedFleet(const LoadOptions& aOptions)
    : m_model(aOptions)
  {
    m_model.At(Duration(), [this] { m_start = m_model.Now(); });
    for (std::size_t i = 0; i < std::size(kRates); ++i) {
      m_model.At(kNamedAt, [this, i] { m_model.SetLimit(i, kRates[i]); });
      m_model.At(kEndsAt, [this, i] { m_model.SetLimit(i, std::nullopt); });
    }
  }

  void CheckBounds() const
  {
    for (std::size_t i = 0; i < std::size(kRates); ++i) {
      const double most =
        static_cast<double>(MostInWindow(m_model.ArrivalsAt(i),
                                         m_start + kNamedAt + kNoticePeriod,
                                         m_start + kEndsAt));
      BOOST_TEST_CONTEXT("limit " << kRates[i].perSecond)
      {
        BOOST_TEST(most <=
                   kRateFactor * kRates[i].perSecond * ToSeconds(kWindow) +
                     kSlack);
      }
    }
  }

  LoadModel m_model;
  TimePoint m_start;
};

static double
RateBetween(const LoadModel& aModel,
            std::size_t aServer,
            TimePoint aFrom,
            TimePoint aTo)
{
  return static_cast<double>(
           CountBetween(aModel.ArrivalsAt(aServer), aFrom, aTo)) /
         ToSeconds(aTo - aFrom);
}

BOOST_AUTO_TEST_CASE(TheSumOverAllHostsStaysWithinTheLimitThatAServerNames)
{
  for (const auto& [hosts, servers] :
       { std::pair{ 30, 36 }, std::pair{ 130, 240 } }) {
    LimitedFleet fleet(
      FleetOf(hosts, servers, SeedRangeFromEnvironment(1).first));
    fleet.m_model.Run(kEndsAt);
    BOOST_TEST_CONTEXT("hosts " << hosts)
    {
      fleet.CheckBounds();
    }
  }
}

// Each host of the limited servers' domains is disturbed in turn, overlapping.
BOOST_AUTO_TEST_CASE(TheLimitHoldsWhileHostsPauseRestartAndAreIsolated)
{
  const SeedRange seeds = SeedRangeFromEnvironment(2);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    const LoadOptions options = FleetOf(30, 36, seeds.first + i);
    LimitedFleet fleet(options);
    Random random(options.seed);
    for (int second = 4; second < 22; ++second) {
      const std::size_t host = random.Below(options.hosts);
      const Duration span = FromSeconds(0.5 + 6.0 * random.Unit());
      const std::uint64_t kind = random.Below(3);
      fleet.m_model.At(std::chrono::seconds(second),
                       [&fleet, host, span, kind] {
                         if (kind == 0) {
                           fleet.m_model.PauseHost(host, span);
                         } else if (kind == 1) {
                           fleet.m_model.RestartHost(host, span);
                         } else {
                           fleet.m_model.IsolateHost(host, span);
                         }
                       });
    }
    fleet.m_model.Run(kEndsAt);
    BOOST_TEST_CONTEXT("seed " << options.seed)
    {
      fleet.CheckBounds();
    }
  }
}

BOOST_AUTO_TEST_CASE(ALimitedServerGetsMostOfWhatItAsksFor)
{
  LimitedFleet fleet(FleetOf(30, 36, SeedRangeFromEnvironment(1).first));
  fleet.m_model.Run(kEndsAt);
  for (std::size_t i = 0; i < std::size(kRates); ++i) {
    BOOST_TEST_CONTEXT("limit " << kRates[i].perSecond)
    {
      BOOST_TEST(RateBetween(fleet.m_model,
                             i,
                             fleet.m_start + kNamedAt + kNoticePeriod,
                             fleet.m_start + kEndsAt) >=
                 0.6 * kRates[i].perSecond);
    }
  }
}

BOOST_AUTO_TEST_CASE(LoadReturnsStepByStepWhenTheLimitEnds)
{
  LimitedFleet fleet(FleetOf(30, 36, SeedRangeFromEnvironment(1).first));
  fleet.m_model.Run(kEndsAt + std::chrono::seconds(12));
  const TimePoint ends = fleet.m_start + kEndsAt;
  for (std::size_t i = 0; i < std::size(kRates); ++i) {
    const double usual =
      RateBetween(fleet.m_model, i, fleet.m_start, fleet.m_start + kNamedAt);
    BOOST_TEST_CONTEXT("limit " << kRates[i].perSecond << " usual " << usual)
    {
      BOOST_TEST(
        RateBetween(fleet.m_model, i, ends, ends + std::chrono::seconds(1)) <
        0.9 * usual);
      // The server that named the smallest limit is asked once in five seconds.
      BOOST_TEST(RateBetween(fleet.m_model,
                             i,
                             ends + std::chrono::seconds(10),
                             ends + std::chrono::seconds(14)) > 0.6 * usual);
    }
  }
}

// 36 servers take 36 of 240 requests per second.
BOOST_AUTO_TEST_CASE(WhenAllServersNameLimitsTheRestIsRefusedAtOnce)
{
  const LoadOptions options =
    FleetOf(30, 36, SeedRangeFromEnvironment(1).first);
  LoadModel model(options);
  model.At(Duration(), [&] {
    for (std::size_t i = 0; i < options.servers; ++i) {
      model.SetLimit(i, RequestRate{ 1.0 });
    }
  });
  const TimePoint start = model.Now();
  const LoadResult result = model.Run(std::chrono::seconds(15));
  BOOST_TEST(result.inTime >= 0.6 * 36 * 15);
  BOOST_TEST(result.late + result.failed < 0.02 * result.requests);
  BOOST_TEST(result.refusedAfterSeconds < 0.1 * result.refused);
  BOOST_TEST(result.retryAfterSeconds > 0.5 * 240.0 / 36.0 * result.refused);
  for (std::size_t i = 0; i < options.servers; ++i) {
    BOOST_TEST(MostInWindow(model.ArrivalsAt(i),
                            start + std::chrono::seconds(7),
                            start + std::chrono::seconds(20)) <= 11u);
  }
}

} // namespace fuchsiaramp
