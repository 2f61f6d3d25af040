// Prints what callers get from a service whose servers fall sick now and then,
// by load, as the mean over seeds.
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
    options.requestsPerSecond = aLoad * 360.0; // 72 slots of 0.2 s
    const FaultEpisodeResult result =
      FaultEpisodeModel(options).Play(std::chrono::seconds(60));
    sum.once += result.once;
    sum.onceFailed += result.onceFailed;
    sum.onceRefused += result.onceRefused;
    sum.repeatable += result.repeatable;
    sum.repeatableFailed += result.repeatableFailed;
    sum.outside += result.outside;
    sum.spells += result.spells;
  }
  std::printf("load %.2f once_failed %.4f once_refused %.4f "
              "repeatable_failed %.4f outside %.3f lost_a_spell %.2f\n",
              aLoad,
              sum.onceFailed / sum.once,
              sum.onceRefused / sum.once,
              sum.repeatableFailed / sum.repeatable,
              sum.outside / (sum.once + sum.repeatable),
              (sum.onceFailed - 0.012 * sum.once) / sum.spells);
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
