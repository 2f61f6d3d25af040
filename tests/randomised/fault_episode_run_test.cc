// What callers of at-most-once work lose to sick spells of servers, in the
// model of a service at the load of the users' calm days.
#define BOOST_TEST_MODULE fault_episode_run
#include <boost/test/unit_test.hpp>

#include "testing/fault_episode_model.h"
#include "testing/run_options.h"

namespace fuchsiaramp {

// A spell costs at most one request that cannot be sent again: the one that
// meets it first. Most spells should cost none, since others look first.
BOOST_AUTO_TEST_CASE(ASpellCostsLessThanOneRequestThatRunsOnce)
{
  const SeedRange seeds = SeedsOf(20);
  FaultEpisodeResult sum;
  double wellFailures = 0.0;
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    FaultEpisodeOptions options;
    options.seed = seeds.first + i;
    options.requestsPerSecond = 130.0;
    const FaultEpisodeResult result =
      FaultEpisodeModel(options).Play(std::chrono::seconds(60));
    sum.onceFailed += result.onceFailed;
    sum.onceRefused += result.onceRefused;
    sum.once += result.once;
    sum.repeatable += result.repeatable;
    sum.repeatableFailed += result.repeatableFailed;
    sum.spells += result.spells;
    wellFailures += options.wellFails * result.once;
  }
  BOOST_TEST(sum.onceFailed - wellFailures < sum.spells);
  // Nobody is refused while two thirds of the slots are free.
  BOOST_TEST(sum.onceRefused < 0.001 * sum.once);
  // Work that can be sent again is hardly ever lost.
  BOOST_TEST(sum.repeatableFailed < 0.01 * sum.repeatable);
}

} // namespace fuchsiaramp
