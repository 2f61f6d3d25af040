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

} // namespace fuchsiaramp
