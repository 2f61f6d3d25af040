// Measures routing under gray failure: the shipped entry hosts next to two
// plain baselines, on the same seeds, for both deployments.
//
//   routing_bench [--seeds N] [--only SCENARIO] [--threads N]
//
// Columns: detection time (from the fault until the server gets under a tenth
// of its fair share for a second; the run's end when it never does), false
// ejections (a healthy server kept from regular work by any host), requests
// served by sick servers, good answers a second, added latency p99 (without the
// service time), refusals, floor violations, double runs. Each is the mean over
// seeds with the half-width of its 95 % confidence interval.
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
static constexpr Duration kFaulty = std::chrono::seconds(40);
static constexpr Duration kSample = std::chrono::milliseconds(100);

struct Scenario
{
  std::string name;
  double load = 0.5;
  // Applies the fault; returns the servers that are sick from then on.
  std::function<std::set<std::size_t>(EntryFleet&)> apply;
  // Called every sample after the fault, with the time since.
  std::function<void(EntryFleet&, Duration)> during;
  // Servers are judged sick for detection time.
  bool measuresDetection = true;
};

struct RunResult
{
  double detection = -1.0; // seconds; negative: not measured
  double falseEjections = 0.0;
  double sickServed = 0.0;
  double goodput = 0.0;
  double addedP99 = 0.0; // milliseconds
  double refused = 0.0;  // not-run a second
  double unknown = 0.0;  // unknown a second
  double floorViolations = 0.0;
  double doubleRuns = 0.0;
};

static ServerFaults
Failing(double aShare)
{
  ServerFaults faults;
  faults.fail = aShare;
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
  faults.hang = 1.0;
  return faults;
}

static std::set<std::size_t>
Sicken(EntryFleet& aFleet, std::size_t aCount, const ServerFaults& aFaults)
{
  std::set<std::size_t> sick;
  for (std::size_t i = 0; i < aCount; ++i) {
    // Spread over the failure domains.
    const std::size_t index = (i * 7 + 2) % aFleet.ServerCount();
    aFleet.Server(index).SetFaults(aFaults);
    sick.insert(index);
  }
  return sick;
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
                       return Sicken(aFleet, count, aFaults);
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
                       return Sicken(aFleet, 1, Failing(1.0));
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

// Follows restrictions and traffic during a run.
class Observer
{
public:
  Observer(EntryFleet& aFleet, std::set<std::size_t> aSick, double aFloor)
    : m_fleet(aFleet)
    , m_sick(std::move(aSick))
    , m_floor(aFloor)
    , m_restricted(aFleet.ServerCount(), false)
    , m_served(aFleet.ServerCount(), 0)
  {
    for (std::size_t i = 0; i < m_fleet.ServerCount(); ++i) {
      m_served[i] = m_fleet.Server(i).Served();
    }
  }

  // A server that crashed under a poison request is out of use rightly.
  void Sample(double aFairPerSample, RunResult& aResult)
  {
    for (std::size_t i = 0; i < m_fleet.ServerCount(); ++i) {
      const bool restricted = m_fleet.RestrictedBy(i) > 0;
      const bool healthy =
        m_sick.count(i) == 0 && !m_fleet.Server(i).Faults().down;
      if (restricted && !m_restricted[i] && healthy) {
        aResult.falseEjections += 1.0;
      }
      m_restricted[i] = restricted;
    }
    CheckFloor(aResult);
    for (std::size_t server : m_sick) {
      const std::uint64_t served = m_fleet.Server(server).Served();
      const auto added = static_cast<double>(served - m_served[server]);
      m_served[server] = served;
      m_samples[server].push_back(added);
      aResult.sickServed += added;
    }
    m_fair = aFairPerSample;
  }

  // Over the sick servers, the mean of the first time from which a second of
  // samples stays under a tenth of the fair share.
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
        if (served < 0.1 * m_fair * static_cast<double>(window)) {
          first = i;
          break;
        }
      }
      sum += static_cast<double>(first) * ToSeconds(kSample);
    }
    return m_samples.empty() ? -1.0
                             : sum / static_cast<double>(m_samples.size());
  }

private:
  void CheckFloor(RunResult& aResult) const
  {
    std::size_t worst = 0;
    for (std::size_t host = 0; host < m_fleet.HostCount(); ++host) {
      std::size_t out = 0;
      for (std::size_t i = 0; i < m_fleet.ServerCount(); ++i) {
        out += m_fleet.IsRestricted(host, i) ? 1 : 0;
      }
      worst = std::max(worst, out);
    }
    const std::size_t kept = m_fleet.ServerCount() - worst;
    if (static_cast<double>(kept) + 1e-9 <
        std::ceil(m_floor * static_cast<double>(m_fleet.ServerCount()))) {
      aResult.floorViolations += 1.0;
    }
  }

  EntryFleet& m_fleet;
  std::set<std::size_t> m_sick;
  double m_floor;
  double m_fair = 0.0;
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
  fleet.TakeAnswers();
  RunResult result;
  const std::set<std::size_t> sick = aScenario.apply(fleet);
  Observer observer(fleet, sick, aDeployment.routing.floor);
  const double fair = 0.5 * aDeployment.slots / aDeployment.meanServiceSeconds *
                      ToSeconds(kSample);
  for (Duration since{}; since < kFaulty; since += kSample) {
    if (aScenario.during) {
      aScenario.during(fleet, since);
    }
    fleet.Run(kSample);
    observer.Sample(fair, result);
  }
  const double seconds = ToSeconds(kFaulty);
  std::vector<double> added;
  for (const FleetAnswer& answer : fleet.Answers()) {
    if (answer.poison) {
      continue;
    }
    switch (answer.outcome) {
      case CallerOutcome::kAnswered:
        result.goodput += 1.0 / seconds;
        added.push_back(ToSeconds(answer.added) * 1e3);
        break;
      case CallerOutcome::kNotRun:
        result.refused += 1.0 / seconds;
        break;
      case CallerOutcome::kUnknown:
        result.unknown += 1.0 / seconds;
        break;
    }
  }
  std::sort(added.begin(), added.end());
  if (!added.empty()) {
    result.addedP99 = added[added.size() * 99 / 100];
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
QuantileOf(const std::vector<RunResult>& aRuns, double aShare)
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
    detection << std::fixed << std::setprecision(1) << QuantileOf(aRuns, 0.5)
              << "/" << QuantileOf(aRuns, 0.99);
  } else {
    detection << "-";
  }
  std::cout << std::setw(11) << detection.str();
  cell(&RunResult::falseEjections);
  cell(&RunResult::sickServed);
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
         "        sick served    goodput/s      added p99 ms"
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
    "", "seeds", "Seeds.", false, 20, "N", line);
  TCLAP::ValueArg<std::string> only(
    "", "only", "Scenarios, separated by commas.", false, "", "NAME", line);
  TCLAP::ValueArg<std::string> deployment(
    "", "deployment", "One deployment.", false, "", "NAME", line);
  TCLAP::SwitchArg alone("", "alone", "Without the baselines.", line);
  TCLAP::ValueArg<unsigned> threads(
    "", "threads", "Threads.", false, 8, "N", line);
  line.parse(aCount, aArguments);
  fuchsiaramp::RunAll(seeds.getValue(),
                      only.getValue(),
                      deployment.getValue(),
                      !alone.getValue(),
                      threads.getValue());
  return 0;
}
