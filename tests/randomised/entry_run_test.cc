// Randomised runs of entry hosts, fake backend servers and callers.
//
// Each run draws faults of servers, hosts, the network and the control host
// from its seed. It checks that the invariants in the code hold, that no key
// runs twice, that no key runs whose last outcome was not-run, and that no host
// restricts more servers than the floor allows.
#define BOOST_TEST_MODULE entry_run

#include <cmath>

#include "entry_run.h"

namespace fuchsiaramp {

class FaultyServersRun : public EntryRun
{
public:
  explicit FaultyServersRun(std::uint64_t aSeed)
    : EntryRun(aSeed * 31 + 7, SmallDeployment(), Options(aSeed))
  {
  }

  void Run()
  {
    m_fleet.Start();
    m_fleet.Run(std::chrono::seconds(10));
    for (int i = 0; i < 100; ++i) {
      if (m_random.Chance(0.5)) {
        InjectFault();
      }
      m_fleet.Run(std::chrono::milliseconds(300));
      CheckFloor();
    }
    CheckResults();
  }

private:
  static Deployment SmallDeployment()
  {
    Deployment deployment = AdzoaProfile();
    deployment.servers = 12;
    deployment.entryHosts = 6;
    return deployment;
  }

  static FleetOptions Options(std::uint64_t aSeed)
  {
    FleetOptions options;
    options.seed = aSeed;
    options.keyedShare = 0.5;
    return options;
  }

  void CheckFloor() const
  {
    const double servers = static_cast<double>(m_fleet.ServerCount());
    const auto maxRestricted = static_cast<std::size_t>(
      servers - std::ceil(SmallDeployment().routing.floor * servers));
    for (std::size_t host = 0; host < m_fleet.HostCount(); ++host) {
      std::size_t restricted = 0;
      for (std::size_t i = 0; i < m_fleet.ServerCount(); ++i) {
        restricted += m_fleet.IsRestricted(host, i) ? 1 : 0;
      }
      Check(restricted <= maxRestricted, "ejection leaves the floor in use");
    }
  }

  void InjectFault()
  {
    const std::size_t server = m_random.Below(m_fleet.ServerCount());
    const std::size_t host = m_random.Below(m_fleet.HostCount());
    ServerFaults faults;
    switch (m_random.Below(12)) {
      case 0:
        faults.failureRate = m_random.Unit();
        m_fleet.Server(server).SetFaults(faults);
        break;
      case 1:
        faults.latencyFactor = 1.0 + 20.0 * m_random.Unit();
        m_fleet.Server(server).SetFaults(faults);
        break;
      case 2:
        faults.hangRate = m_random.Unit();
        m_fleet.Server(server).SetFaults(faults);
        break;
      case 3:
        for (std::size_t i = 0; i < m_fleet.ServerCount(); ++i) {
          if (!m_fleet.Server(i).Faults().down) {
            m_fleet.Server(i).SetFaults({});
          }
        }
        break;
      case 4:
        m_fleet.Server(server).Crash();
        break;
      case 5:
        m_fleet.Server(server).Restart();
        break;
      case 6:
        m_fleet.KillHost(host);
        break;
      case 7:
        m_fleet.KillHost(host);
        m_fleet.StartHost(host);
        break;
      case 8:
        m_fleet.CutPath(host, server);
        break;
      case 9:
        m_fleet.HealPaths();
        m_fleet.Network().HealAll();
        m_fleet.SetControlReachable(true);
        break;
      case 10:
        m_fleet.Network().Cut(m_fleet.Host(host), HostId("control-1"));
        m_fleet.SetControlReachable(m_random.Chance(0.8));
        break;
      default:
        InjectNetworkFaults();
        break;
    }
  }

  void InjectNetworkFaults()
  {
    FakeNetworkOptions options = m_fleet.Network().Options();
    options.drop = m_random.Chance(0.5) ? 0.0 : 0.1;
    options.duplicate = m_random.Chance(0.5) ? 0.0 : 0.1;
    options.late = m_random.Chance(0.5) ? 0.0 : 0.05;
    m_fleet.Network().SetOptions(options);
    if (m_random.Chance(0.3)) {
      m_fleet.SilenceConnections();
    }
    m_fleet.SetPoison(m_random.Chance(0.2) ? 0.5 : 0.0);
  }
};

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderFaults)
{
  PlaySeeds<FaultyServersRun>(60);
}

} // namespace fuchsiaramp
