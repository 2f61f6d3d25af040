// Runs of a model of many small entry hosts in which most servers of a service
// fail a part of their requests. While requests are not served, sound servers
// must not be left without requests.
#define BOOST_TEST_MODULE sound_servers_run
#include <boost/test/unit_test.hpp>

#include "testing/fault_episode_model.h"

namespace fuchsiaramp {

// 7 of 24 servers are sound and the others fail four in ten requests. Many
// entry hosts with few requests each, whose retry budgets are mostly spent,
// must still find out that a server which they suspect is sound.
BOOST_AUTO_TEST_CASE(SoundServersAreNotLeftWithoutRequestsWhileOthersFail)
{
  static constexpr std::uint64_t kSeeds = 200;
  FaultEpisodeResult sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FaultEpisodeOptions options;
    options.seed = seed;
    options.hostsPerDomain = 5;
    options.serversPerDomain = 4;
    options.requestsPerSecond = 50.0;
    options.impairedServers = 17;
    options.impairedFailureRate = 0.4;
    const FaultEpisodeResult result =
      FaultEpisodeModel(options).Run(std::chrono::seconds(12));
    sum.neglectedMoments += result.neglectedMoments;
    sum.unservedMoments += result.unservedMoments;
  }
  BOOST_TEST_MESSAGE("neglected " << sum.neglectedMoments << " of "
                                  << sum.unservedMoments << " moments");
  BOOST_TEST(sum.neglectedMoments == 0u);
}

} // namespace fuchsiaramp
