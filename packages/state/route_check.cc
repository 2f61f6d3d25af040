#include "state/route_check.h"

#include <cmath>

namespace fuchsiaramp {

static std::string
FindSplitProblem(const wire::Route& aRoute)
{
  double sum = 0.0;
  for (const wire::ServiceShare& share : aRoute.split()) {
    if (share.weight() < 0.0) {
      return "a weight must not be below 0";
    }
    if (!std::isfinite(share.weight()) || share.weight() > kMaxWeight) {
      return "a weight must be at most 1e12";
    }
    sum += share.weight();
  }
  return aRoute.split().empty() || sum > 0.0
           ? ""
           : "the weights of the split add up to 0";
}

std::string
FindProblem(const wire::Route& aRoute)
{
  if (aRoute.timeout_us() <= 0) {
    return "the timeout must be above 0";
  }
  if (aRoute.timeout_us() > kMaxSpanUs) {
    return "the timeout must be at most 9e12 ms";
  }
  if (aRoute.latency_objective_us() < 0 ||
      aRoute.latency_objective_us() > kMaxSpanUs) {
    return "the latency objective must be 0 to 9e12 ms";
  }
  return FindSplitProblem(aRoute);
}

} // namespace fuchsiaramp
