// Randomised runs in which a request crashes each server that runs it, and
// comes again at any host. Few of its sends may reach servers once three have
// crashed, and requests beside it must be served.
#define BOOST_TEST_MODULE poison_run

#include "entry_run.h"

namespace fuchsiaramp {

class PoisonRun : public EntryRun
{
public:
  explicit PoisonRun(std::uint64_t aSeed)
    : EntryRun(aSeed * 41 + 3, TestDeployment(aSeed), Options(aSeed))
  {
  }

  void Run()
  {
    m_fleet.Start();
    m_fleet.Run(std::chrono::seconds(10));
    m_fleet.TakeResults();
    m_fleet.SetPoison(0.2 + 2.0 * m_random.Unit());
    m_fleet.Run(std::chrono::seconds(45));
    const std::vector<TimePoint>& runs = m_fleet.PoisonRuns();
    Check(runs.size() >= 3, "poison requests reach servers");
    int late = 0;
    for (const TimePoint run : runs) {
      late += run > runs[2] + kSpreadTime ? 1 : 0;
    }
    Check(late <= kMaxLateRuns, "a poison request is stopped");
    std::size_t answered = 0;
    std::size_t proper = 0;
    for (const RequestResult& result : m_fleet.Results()) {
      proper += result.poison ? 0 : 1;
      answered +=
        !result.poison && result.outcome == CallerOutcome::kAnswered ? 1 : 0;
    }
    Check(answered * 100 > proper * 98, "proper requests are served");
    CheckResults();
  }

private:
  static constexpr Duration kSpreadTime = std::chrono::seconds(3);
  static constexpr int kMaxLateRuns = 3;

  static Deployment TestDeployment(std::uint64_t aSeed)
  {
    Deployment deployment = AdzoaProfile();
    deployment.meanServiceSeconds = 0.1;
    deployment.routing.sharesOutcomes = aSeed % 2 == 0;
    return deployment;
  }

  static FleetOptions Options(std::uint64_t aSeed)
  {
    FleetOptions options;
    options.seed = aSeed;
    options.load = 0.3;
    options.crashesAreSilent = true;
    return options;
  }
};

BOOST_AUTO_TEST_CASE(APoisonRequestIsStopped)
{
  PlaySeeds<PoisonRun>(8);
}

} // namespace fuchsiaramp
