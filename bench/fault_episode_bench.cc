// Prints the request outcomes of a service whose servers have fault episodes,
// by load, averaged over seeds.
#include <cstdio>

#include "testing/fault_episode_model.h"

namespace fuchsiaramp {

static void
PrintLoad(double aLoad)
{
  static constexpr std::uint64_t kSeeds = 30;
  FaultEpisodeResult sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FaultEpisodeOptions options;
    options.seed = seed;
    options.requestsPerSecond = aLoad * 360.0; // 72 slots, 0.2 s a request
    const FaultEpisodeResult result =
      FaultEpisodeModel(options).Run(std::chrono::seconds(60));
    sum.nonRepeatable += result.nonRepeatable;
    sum.nonRepeatableFailed += result.nonRepeatableFailed;
    sum.nonRepeatableRefused += result.nonRepeatableRefused;
    sum.repeatable += result.repeatable;
    sum.repeatableFailed += result.repeatableFailed;
    sum.outsideDomain += result.outsideDomain;
    sum.episodes += result.episodes;
  }
  std::printf("load %.2f once_failed %.4f once_refused %.4f "
              "repeatable_failed %.4f outside %.3f lost_per_episode %.2f\n",
              aLoad,
              sum.nonRepeatableFailed / sum.nonRepeatable,
              sum.nonRepeatableRefused / sum.nonRepeatable,
              sum.repeatableFailed / sum.repeatable,
              sum.outsideDomain / (sum.nonRepeatable + sum.repeatable),
              (sum.nonRepeatableFailed - 0.012 * sum.nonRepeatable) /
                sum.episodes);
}

} // namespace fuchsiaramp

int
main()
{
  for (const double load : { 0.25, 0.36, 0.5, 0.7 }) {
    fuchsiaramp::PrintLoad(load);
  }
  return 0;
}
