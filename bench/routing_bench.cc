// Measures routing under gray failures: production entry hosts compared with
// two baseline policies, on the same seeds, for both deployments.
//
//   routing_bench [--seeds N] [--only SCENARIO] [--threads N]
//
// Columns:
// - detection time: until a faulty server gets less than a tenth of its fair
//   share for a second, or the end of the run; median and 99th percentile
// - false ejections per hour: any host stops regular requests to a healthy
//   server
// - requests accepted by faulty servers
// - goodput: successful requests per second
// - p99 of the latency without the service time
// - requests per second with the outcome not-run, and unknown
// - samples in which a host restricted more servers than the floor allows
// - keys that ran twice
// All but the detection time are means over seeds, with the half-width of the
// 95 % confidence interval.
#include <algorithm>
#include <atomic>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

#include <tclap/CmdLine.h>

#include "baseline_entry.h"
#include "testing/entry_fleet.h"

namespace fuchsiaramp {

static constexpr Duration kWarmUp = std::chrono::seconds(15);
static constexpr Duration kFaultTime = std::chrono::seconds(40);
static constexpr Duration kSampleInterval = std::chrono::milliseconds(100);

struct Scenario
{
  std::string name;
  double load = 0.5;
  // Applies the fault and returns the servers that are faulty from then on.
  std::function<std::set<std::size_t>(EntryFleet&)> apply;
  // Called before every sample, with the time since the fault.
  std::function<void(EntryFleet&, Duration)> onSample;
  // Whether the detection time of the faulty servers is measured.
  bool measuresDetection = true;
};

struct RunResult
{
  double detection = -1.0; // seconds; negative: not measured
  double falseEjections = 0.0;
  double faultyServed = 0.0;
  double goodput = 0.0;
  double addedP99 = 0.0; // milliseconds
  double refused = 0.0;  // not-run per second
  double unknown = 0.0;  // per second
  double floorViolations = 0.0;
  double doubleRuns = 0.0;
};

static ServerFaults
Failing(double aShare)
{
  ServerFaults faults;
  faults.failureRate = aShare;
  return faults;
}

static ServerFaults
Slow(double aFactor)
{
  ServerFaults faults;
  faults.latencyFactor = aFactor;
  return faults;
}

static ServerFaults
Hanging()
{
  ServerFaults faults;
  faults.hangRate = 1.0;
  return faults;
}

static std::set<std::size_t>
InjectFault(EntryFleet& aFleet, std::size_t aCount, const ServerFaults& aFaults)
{
  std::set<std::size_t> faulty;
  for (std::size_t i = 0; i < aCount; ++i) {
    // Spreads the faulty servers over the failure domains.
    const std::size_t index = (i * 7 + 2) % aFleet.ServerCount();
    aFleet.Server(index).SetFaults(aFaults);
    faulty.insert(index);
  }
  return faulty;
}

static std::vector<Scenario>
Scenarios()
{
  std::vector<Scenario> list;
  list.push_back({ "clean",
                   0.5,
                   [](EntryFleet&) { return std::set<std::size_t>(); },
                   nullptr,
                   false });
  const auto gray = [&](const std::string& aName,
                        std::size_t aCount,
                        const ServerFaults& aFaults) {
    list.push_back({ aName,
                     0.5,
                     [aCount, aFaults](EntryFleet& aFleet) {
                       const std::size_t count =
                         aCount == 0 ? aFleet.ServerCount() / 2 : aCount;
                       return InjectFault(aFleet, count, aFaults);
                     },
                     nullptr,
                     true });
  };
  for (const double rate : { 1.0, 0.3, 0.1 }) {
    const std::string percent = std::to_string(int(rate * 100)) + "%";
    gray("1-fails-" + percent, 1, Failing(rate));
    gray("3-fail-" + percent, 3, Failing(rate));
    gray("half-fail-" + percent, 0, Failing(rate));
  }
  gray("1-slow-5x", 1, Slow(5.0));
  gray("3-slow-5x", 3, Slow(5.0));
  gray("1-slow-20x", 1, Slow(20.0));
  gray("half-slow-20x", 0, Slow(20.0));
  gray("1-hangs", 1, Hanging());
  Scenario flapping{ "flapping",
                     0.5,
                     [](EntryFleet& aFleet) {
                       return InjectFault(aFleet, 1, Failing(1.0));
                     },
                     [](EntryFleet& aFleet, Duration aSince) {
                       const bool bad =
                         static_cast<int>(ToSeconds(aSince) / 4) % 2 == 0;
                       aFleet.Server(2).SetFaults(Failing(bad ? 1.0 : 0.0));
                     },
                     false };
  list.push_back(flapping);
  for (const double load : { 0.8, 1.2, 2.0 }) {
    std::string name = std::to_string(load).substr(0, 3);
    list.push_back({ "load-" + name,
                     0.5,
                     [load](EntryFleet& aFleet) {
                       aFleet.SetLoad(load);
                       return std::set<std::size_t>();
                     },
                     nullptr,
                     false });
  }
  list.push_back({ "cold-third",
                   0.5,
                   [](EntryFleet& aFleet) {
                     for (std::size_t i = 0; i < aFleet.ServerCount(); i += 3) {
                       aFleet.Server(i).Crash();
                       aFleet.Server(i).Restart();
                     }
                     return std::set<std::size_t>();
                   },
                   nullptr,
                   false });
  list.push_back({ "one-bad-path",
                   0.5,
                   [](EntryFleet& aFleet) {
                     aFleet.CutPath(3, 5);
                     return std::set<std::size_t>();
                   },
                   nullptr,
                   false });
  list.push_back({ "host-cut-off",
                   0.5,
                   [](EntryFleet& aFleet) {
                     for (std::size_t i = 0; i < aFleet.ServerCount(); ++i) {
                       aFleet.CutPath(3, i);
                     }
                     return std::set<std::size_t>();
                   },
                   nullptr,
                   false });
  list.push_back(
    { "region-cut-one-way",
      0.5,
      [](EntryFleet& aFleet) {
        for (std::size_t host = 0; host < aFleet.HostCount(); ++host) {
          for (std::size_t i = 0; i < aFleet.ServerCount(); ++i) {
            const bool cut = aFleet.RegionOfHost(host) == Region("r0") &&
                             aFleet.Server(i).Options().region == Region("r1");
            if (cut) {
              aFleet.CutPath(host, i);
            }
          }
          for (std::size_t other = 0; other < aFleet.HostCount(); ++other) {
            const bool cut = aFleet.RegionOfHost(host) == Region("r0") &&
                             aFleet.RegionOfHost(other) == Region("r1");
            if (cut) {
              aFleet.Network().Cut(aFleet.Host(host), aFleet.Host(other));
            }
          }
        }
        return std::set<std::size_t>();
      },
      nullptr,
      false });
  list.push_back({ "poison",
                   0.5,
                   [](EntryFleet& aFleet) {
                     aFleet.SetPoison(0.1);
                     return std::set<std::size_t>();
                   },
                   nullptr,
                   false });
  list.push_back({ "silent-connections",
                   0.5,
                   [](EntryFleet& aFleet) {
                     aFleet.SilenceConnections();
                     return std::set<std::size_t>();
                   },
                   nullptr,
                   false });
  return list;
}

// Observes restrictions and traffic during a run.
class Observer
{
public:
  Observer(EntryFleet& aFleet, std::set<std::size_t> aFaulty, double aFloor)
    : m_fleet(aFleet)
    , m_faulty(std::move(aFaulty))
    , m_floor(aFloor)
    , m_restricted(aFleet.ServerCount(), false)
    , m_served(aFleet.ServerCount(), 0)
  {
    for (std::size_t i = 0; i < m_fleet.ServerCount(); ++i) {
      m_served[i] = m_fleet.Server(i).AcceptedRequests();
    }
  }

  // Restrictions of a server that is down, for instance after a poison request,
  // are not counted as false ejections.
  void Sample(double aFairPerSample, RunResult& aResult)
  {
    for (std::size_t i = 0; i < m_fleet.ServerCount(); ++i) {
      const bool restricted = m_fleet.RestrictingHosts(i) > 0;
      const bool healthy =
        m_faulty.count(i) == 0 && !m_fleet.Server(i).Faults().down;
      if (restricted && !m_restricted[i] && healthy) {
        aResult.falseEjections += 1.0;
      }
      m_restricted[i] = restricted;
    }
    CheckFloor(aResult);
    for (std::size_t server : m_faulty) {
      const std::uint64_t served = m_fleet.Server(server).AcceptedRequests();
      const auto accepted = static_cast<double>(served - m_served[server]);
      m_served[server] = served;
      m_samples[server].push_back(accepted);
      aResult.faultyServed += accepted;
    }
    m_fairPerSample = aFairPerSample;
  }

  // Returns the mean detection time of the faulty servers: the first time from
  // which a server gets less than a tenth of its fair share for a second.
  double Detection() const
  {
    double sum = 0.0;
    const std::size_t window = 10;
    for (const auto& [server, samples] : m_samples) {
      std::size_t first = samples.size();
      for (std::size_t i = 0; i + window <= samples.size(); ++i) {
        double served = 0.0;
        for (std::size_t j = i; j < i + window; ++j) {
          served += samples[j];
        }
        if (served < 0.1 * m_fairPerSample * static_cast<double>(window)) {
          first = i;
          break;
        }
      }
      sum += static_cast<double>(first) * ToSeconds(kSampleInterval);
    }
    return m_samples.empty() ? -1.0
                             : sum / static_cast<double>(m_samples.size());
  }

private:
  void CheckFloor(RunResult& aResult) const
  {
    std::size_t maxRestricted = 0;
    for (std::size_t host = 0; host < m_fleet.HostCount(); ++host) {
      std::size_t restricted = 0;
      for (std::size_t i = 0; i < m_fleet.ServerCount(); ++i) {
        restricted += m_fleet.IsRestricted(host, i) ? 1 : 0;
      }
      maxRestricted = std::max(maxRestricted, restricted);
    }
    const std::size_t inUse = m_fleet.ServerCount() - maxRestricted;
    if (static_cast<double>(inUse) + 1e-9 <
        std::ceil(m_floor * static_cast<double>(m_fleet.ServerCount()))) {
      aResult.floorViolations += 1.0;
    }
  }

  EntryFleet& m_fleet;
  std::set<std::size_t> m_faulty;
  double m_floor;
  double m_fairPerSample = 0.0;
  std::vector<bool> m_restricted;
  std::vector<std::uint64_t> m_served;
  std::map<std::size_t, std::vector<double>> m_samples;
};

static RunResult
RunOnce(const Deployment& aDeployment,
        const Scenario& aScenario,
        const DriverFactory& aFactory,
        std::uint64_t aSeed)
{
  FleetOptions options;
  options.seed = aSeed;
  options.factory = aFactory;
  options.load = aScenario.load;
  EntryFleet fleet(aDeployment, options);
  fleet.Start();
  fleet.Run(kWarmUp);
  fleet.TakeResults();
  RunResult result;
  const std::set<std::size_t> faulty = aScenario.apply(fleet);
  Observer observer(fleet, faulty, aDeployment.routing.floor);
  const double fairPerSample = 0.5 * aDeployment.slots /
                               aDeployment.meanServiceSeconds *
                               ToSeconds(kSampleInterval);
  for (Duration since{}; since < kFaultTime; since += kSampleInterval) {
    if (aScenario.onSample) {
      aScenario.onSample(fleet, since);
    }
    fleet.Run(kSampleInterval);
    observer.Sample(fairPerSample, result);
  }
  const double seconds = ToSeconds(kFaultTime);
  std::vector<double> addedMs;
  for (const RequestResult& request : fleet.Results()) {
    if (request.poison) {
      continue;
    }
    switch (request.outcome) {
      case CallerOutcome::kAnswered:
        result.goodput += 1.0 / seconds;
        addedMs.push_back(ToSeconds(request.addedLatency) * 1e3);
        break;
      case CallerOutcome::kNotRun:
        result.refused += 1.0 / seconds;
        break;
      case CallerOutcome::kUnknown:
        result.unknown += 1.0 / seconds;
        break;
    }
  }
  std::sort(addedMs.begin(), addedMs.end());
  if (!addedMs.empty()) {
    result.addedP99 = addedMs[addedMs.size() * 99 / 100];
  }
  result.detection = aScenario.measuresDetection ? observer.Detection() : -1.0;
  result.falseEjections *= 3600.0 / seconds;
  result.doubleRuns = static_cast<double>(fleet.DoubleRuns());
  return result;
}

struct Summary
{
  double mean = 0.0;
  double interval = 0.0; // half-width, 95 %
};

static Summary
Summarize(const std::vector<RunResult>& aRuns, double RunResult::*aField)
{
  double sum = 0.0;
  double squares = 0.0;
  for (const RunResult& run : aRuns) {
    sum += run.*aField;
    squares += (run.*aField) * (run.*aField);
  }
  const auto count = static_cast<double>(aRuns.size());
  const double mean = sum / count;
  const double variance =
    count > 1 ? std::max(0.0, (squares - count * mean * mean) / (count - 1))
              : 0.0;
  return { mean, 1.96 * std::sqrt(variance / count) };
}

static double
DetectionQuantile(const std::vector<RunResult>& aRuns, double aShare)
{
  std::vector<double> values;
  values.reserve(aRuns.size());
  for (const RunResult& run : aRuns) {
    values.push_back(run.detection);
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
    std::lround(aShare * static_cast<double>(values.size() - 1)))];
}

static void
PrintRow(const std::string& aPolicy, const std::vector<RunResult>& aRuns)
{
  const auto cell = [&](double RunResult::*aField) {
    const Summary summary = Summarize(aRuns, aField);
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << summary.mean << "+-"
         << summary.interval;
    std::cout << std::setw(15) << text.str();
  };
  std::cout << "  " << std::left << std::setw(14) << aPolicy << std::right;
  std::ostringstream detection;
  if (aRuns[0].detection >= 0.0) {
    detection << std::fixed << std::setprecision(1)
              << DetectionQuantile(aRuns, 0.5) << "/"
              << DetectionQuantile(aRuns, 0.99);
  } else {
    detection << "-";
  }
  std::cout << std::setw(11) << detection.str();
  cell(&RunResult::falseEjections);
  cell(&RunResult::faultyServed);
  cell(&RunResult::goodput);
  cell(&RunResult::addedP99);
  cell(&RunResult::refused);
  cell(&RunResult::unknown);
  cell(&RunResult::floorViolations);
  cell(&RunResult::doubleRuns);
  std::cout << std::endl;
}

static std::vector<RunResult>
RunSeeds(const Deployment& aDeployment,
         const Scenario& aScenario,
         const DriverFactory& aFactory,
         std::uint64_t aSeeds,
         unsigned aThreads)
{
  std::vector<RunResult> runs(aSeeds);
  std::atomic<std::uint64_t> next{ 0 };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < aThreads; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed < aSeeds; seed = next++) {
        runs[seed] = RunOnce(aDeployment, aScenario, aFactory, seed + 1);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return runs;
}

static void
RunAll(std::uint64_t aSeeds,
       const std::string& aOnly,
       const std::string& aDeployment,
       bool aBaselines,
       unsigned aThreads)
{
  for (const Deployment& deployment : { AdzoaProfile(), CalculosCalc() }) {
    if (!aDeployment.empty() && deployment.name != aDeployment) {
      continue;
    }
    std::cout
      << deployment.name << ", " << aSeeds << " seeds\n"
      << "                detect p50/99   false/h"
         "      faulty served    goodput/s      added p99 ms"
         "   not-run/s      unknown/s      floor viol.    double runs\n";
    for (const Scenario& scenario : Scenarios()) {
      if (!aOnly.empty() &&
          ("," + aOnly + ",").find("," + scenario.name + ",") ==
            std::string::npos) {
        continue;
      }
      std::cout << scenario.name << std::endl;
      PrintRow("fuchsiaramp",
               RunSeeds(deployment, scenario, MakeEntryNode, aSeeds, aThreads));
      if (!aBaselines) {
        continue;
      }
      PrintRow(
        "5-consecutive",
        RunSeeds(deployment,
                 scenario,
                 MakeBaseline(BaselinePolicy::kConsecutiveFailures, deployment),
                 aSeeds,
                 aThreads));
      PrintRow(
        "success-rate",
        RunSeeds(deployment,
                 scenario,
                 MakeBaseline(BaselinePolicy::kFixedSuccessRate, deployment),
                 aSeeds,
                 aThreads));
    }
  }
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  TCLAP::CmdLine line("Measures routing under gray failure.");
  TCLAP::ValueArg<std::uint64_t> seeds(
    "", "seeds", "Number of seeds.", false, 20, "N", line);
  TCLAP::ValueArg<std::string> only(
    "", "only", "Scenarios, separated by commas.", false, "", "NAME", line);
  TCLAP::ValueArg<std::string> deployment(
    "", "deployment", "Name of the only deployment.", false, "", "NAME", line);
  TCLAP::SwitchArg alone("", "alone", "Omit the baselines.", line);
  TCLAP::ValueArg<unsigned> threads(
    "", "threads", "Number of threads.", false, 8, "N", line);
  line.parse(aCount, aArguments);
  fuchsiaramp::RunAll(seeds.getValue(),
                      only.getValue(),
                      deployment.getValue(),
                      !alone.getValue(),
                      threads.getValue());
  return 0;
}
