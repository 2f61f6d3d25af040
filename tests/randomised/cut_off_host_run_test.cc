// Runs in which entry hosts lose their connections to all backend servers while
// callers still reach them. Callers of these hosts must be served about as
// often as those of the others, and no key may run twice.
#define BOOST_TEST_MODULE cut_off_host_run
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "testing/entry_fleet.h"
#include "testing/run_options.h"

namespace fuchsiaramp {

static Deployment
SmallDeployment()
{
  Deployment deployment = AdzoaProfile();
  deployment.servers = 24;
  deployment.entryHosts = 10;
  return deployment;
}

static constexpr std::size_t kCutOffHosts = 6;

// Shares of requests answered, of callers of hosts that are cut off and of the
// others.
struct Served
{
  double cutOff = 0.0;
  double others = 0.0;
};

static Served
ShareAnswered(const std::vector<RequestResult>& aResults)
{
  double asked[2] = { 0.0, 0.0 };
  double answered[2] = { 0.0, 0.0 };
  for (const RequestResult& result : aResults) {
    const std::size_t group = result.host < kCutOffHosts ? 0 : 1;
    asked[group] += 1.0;
    answered[group] += result.outcome == CallerOutcome::kAnswered ? 1.0 : 0.0;
  }
  return { answered[0] / std::max(asked[0], 1.0),
           answered[1] / std::max(asked[1], 1.0) };
}

// All servers are sound in these runs.
static std::size_t
RestrictedServers(const EntryFleet& aFleet)
{
  std::size_t restricted = 0;
  for (std::size_t server = 0; server < aFleet.ServerCount(); ++server) {
    restricted += aFleet.RestrictingHosts(server) == 0 ? 0 : 1;
  }
  return restricted;
}

BOOST_AUTO_TEST_CASE(CallersOfHostsThatAreCutOffAreServedByOthers)
{
  const SeedRange seeds = SeedRangeFromEnvironment(3);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    FleetOptions options;
    options.seed = seeds.first + i;
    options.load = 0.3;
    options.keyedShare = 0.5;
    EntryFleet fleet(SmallDeployment(), options);
    fleet.Start();
    fleet.Run(std::chrono::seconds(10));
    for (std::size_t host = 0; host < kCutOffHosts; ++host) {
      fleet.CutOffHost(host);
    }
    // Until the hosts know, and until what they had started has ended.
    fleet.Run(std::chrono::seconds(4));
    fleet.TakeResults();
    fleet.Run(std::chrono::seconds(8));
    const Served cut = ShareAnswered(fleet.TakeResults());
    BOOST_TEST(cut.cutOff >= cut.others * 2.0 / 3.0);
    BOOST_TEST(cut.others > 0.9);
    BOOST_TEST(RestrictedServers(fleet) == 0u);
    fleet.HealPaths();
    fleet.Run(std::chrono::seconds(3));
    fleet.TakeResults();
    fleet.Run(std::chrono::seconds(4));
    BOOST_TEST(ShareAnswered(fleet.TakeResults()).cutOff > 0.95);
    BOOST_TEST(fleet.DoubleRuns() == 0u);
    BOOST_TEST(fleet.FalseNotRuns() == 0u);
  }
}

// Peers without a queue refused requests that no host could serve within the
// latency objective.
BOOST_AUTO_TEST_CASE(IdlePeersServeRequestsOfAServiceSlowerThanItsObjective)
{
  const SeedRange seeds = SeedRangeFromEnvironment(3);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    Deployment deployment = SmallDeployment();
    deployment.meanServiceSeconds = 1.0;
    FleetOptions options;
    options.seed = seeds.first + i;
    options.load = 0.2;
    options.openShare = 1.0;
    EntryFleet fleet(deployment, options);
    fleet.Start();
    fleet.Run(std::chrono::seconds(10));
    for (std::size_t host = 0; host < kCutOffHosts; ++host) {
      fleet.CutOffHost(host);
    }
    fleet.Run(std::chrono::seconds(8));
    fleet.TakeResults();
    fleet.Run(std::chrono::seconds(8));
    const Served cut = ShareAnswered(fleet.TakeResults());
    BOOST_TEST(cut.cutOff >= cut.others * 2.0 / 3.0);
    BOOST_TEST(cut.others > 0.9);
    BOOST_TEST(fleet.DoubleRuns() == 0u);
    BOOST_TEST(fleet.FalseNotRuns() == 0u);
  }
}

BOOST_AUTO_TEST_CASE(AFleetThatIsCutOffWholeRecovers)
{
  FleetOptions options;
  options.load = 0.3;
  EntryFleet fleet(SmallDeployment(), options);
  fleet.Start();
  fleet.Run(std::chrono::seconds(10));
  for (std::size_t host = 0; host < fleet.HostCount(); ++host) {
    fleet.CutOffHost(host);
  }
  fleet.Run(std::chrono::seconds(10));
  fleet.HealPaths();
  fleet.Run(std::chrono::seconds(3));
  fleet.TakeResults();
  fleet.Run(std::chrono::seconds(4));
  BOOST_TEST(ShareAnswered(fleet.TakeResults()).cutOff > 0.95);
  BOOST_TEST(fleet.DoubleRuns() == 0u);
}

} // namespace fuchsiaramp
