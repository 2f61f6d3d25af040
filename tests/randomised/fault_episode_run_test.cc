// Bounds how many non-repeatable requests are lost to fault episodes of backend
// servers, at the load of a calm day in production.
#define BOOST_TEST_MODULE fault_episode_run
#include <boost/test/unit_test.hpp>

#include "testing/fault_episode_model.h"
#include "testing/run_options.h"

namespace fuchsiaramp {

// An episode should fail at most one non-repeatable request, the first one sent
// to the faulty server. Most episodes should fail none, because repeatable
// requests usually detect the fault first.
BOOST_AUTO_TEST_CASE(EpisodesFailFewerThanOneNonRepeatableRequestEach)
{
  const SeedRange seeds = SeedRangeFromEnvironment(20);
  FaultEpisodeResult sum;
  double healthyFailures = 0.0;
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    FaultEpisodeOptions options;
    options.seed = seeds.first + i;
    options.requestsPerSecond = 130.0;
    const FaultEpisodeResult result =
      FaultEpisodeModel(options).Run(std::chrono::seconds(60));
    sum.nonRepeatableFailed += result.nonRepeatableFailed;
    sum.nonRepeatableRefused += result.nonRepeatableRefused;
    sum.nonRepeatable += result.nonRepeatable;
    sum.repeatable += result.repeatable;
    sum.repeatableFailed += result.repeatableFailed;
    sum.episodes += result.episodes;
    healthyFailures += options.healthyFailureRate * result.nonRepeatable;
  }
  BOOST_TEST(sum.nonRepeatableFailed - healthyFailures < sum.episodes);
  // Requests are hardly ever refused while two thirds of the slots are free.
  BOOST_TEST(sum.nonRepeatableRefused < 0.001 * sum.nonRepeatable);
  // Repeatable requests hardly ever fail.
  BOOST_TEST(sum.repeatableFailed < 0.01 * sum.repeatable);
}

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
  BOOST_TEST(sum.neglectedMoments < 0.0025 * sum.unservedMoments);
}

} // namespace fuchsiaramp
