// Randomised runs of entry hosts whose queues are short and often full.
//
// Each run draws bursts of load, crashes, servers that shed, hosts that are cut
// off, that leave or are killed, and callers that give up, from its seed. It
// checks that the invariants in the code hold, that nothing that may run once
// runs twice, and that nothing ran that was answered with not-run.
#define BOOST_TEST_MODULE full_queue_run
#include "entry_run.h"

namespace fuchsiaramp {

class FullQueueRun : public EntryRun
{
public:
  explicit FullQueueRun(std::uint64_t aSeed)
    : EntryRun(aSeed * 37 + 11, SmallDeployment(aSeed), Options(aSeed))
  {
  }

  void Run()
  {
    m_fleet.Start();
    m_fleet.Run(std::chrono::seconds(8));
    for (int i = 0; i < kSteps; ++i) {
      InjectFault();
      m_fleet.Run(std::chrono::milliseconds(200));
    }
    CheckResults();
  }

private:
  static constexpr int kSteps = 100;

  static Deployment SmallDeployment(std::uint64_t aSeed)
  {
    Deployment deployment = AdzoaProfile();
    deployment.servers = 6;
    deployment.entryHosts = 4;
    deployment.meanServiceSeconds = 0.05;
    deployment.routing.queueTimeout = std::chrono::seconds(2);
    deployment.routing.sharesOutcomes = aSeed % 2 == 0;
    deployment.routing.retryBudget = 0.5;
    return deployment;
  }

  static FleetOptions Options(std::uint64_t aSeed)
  {
    FleetOptions options;
    options.seed = aSeed;
    options.keyedShare = 0.5;
    options.openShare = 0.7;
    options.giveUpShare = 0.1;
    options.queueCapacity = 12;
    options.gracePeriod = std::chrono::seconds(3);
    return options;
  }

  void InjectFault()
  {
    const std::size_t server = m_random.Below(m_fleet.ServerCount());
    const std::size_t host = m_random.Below(m_fleet.HostCount());
    ServerFaults faults;
    switch (m_random.Below(12)) {
      case 0:
      case 1:
        m_fleet.SetLoad(0.3 + 2.5 * m_random.Unit());
        break;
      case 2:
      case 3:
        m_fleet.Server(server).Crash();
        break;
      case 4:
      case 5:
        for (std::size_t i = 0; i < m_fleet.ServerCount(); ++i) {
          m_fleet.Server(i).Restart();
        }
        break;
      case 6:
        faults.shedRate = m_random.Unit();
        m_fleet.Server(server).SetFaults(faults);
        break;
      case 7:
        faults.hangRate = m_random.Unit();
        m_fleet.Server(server).SetFaults(faults);
        break;
      case 8:
        m_fleet.CutOffHost(host);
        break;
      case 9:
        m_fleet.HealPaths();
        m_fleet.SetControlReachable(m_random.Chance(0.8));
        break;
      case 10:
        m_fleet.LeaveHost(host);
        break;
      default:
        m_fleet.KillHost(host);
        m_fleet.StartHost(host);
        break;
    }
  }
};

BOOST_AUTO_TEST_CASE(InvariantsHoldWhileQueuesAreFull)
{
  PlaySeeds<FullQueueRun>(40);
}

} // namespace fuchsiaramp
