#define BOOST_TEST_MODULE route_check
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <limits>

#include "state/route_check.h"

namespace fuchsiaramp {

static wire::Route
SplitRoute(double aFirst, double aSecond)
{
  wire::Route route;
  route.set_timeout_us(4'000'000);
  route.set_latency_objective_us(1'200'000);
  route.add_split()->set_weight(aFirst);
  route.add_split()->set_weight(aSecond);
  return route;
}

BOOST_AUTO_TEST_CASE(WeightsMustBeFiniteAndAddUpToMoreThanZero)
{
  BOOST_TEST(FindProblem(SplitRoute(90, 10)) == "");
  BOOST_TEST(FindProblem(SplitRoute(0, 1e-3)) == "");
  BOOST_TEST(FindProblem(SplitRoute(0, 0)) != "");
  BOOST_TEST(FindProblem(SplitRoute(2, -1)) != "");
  BOOST_TEST(FindProblem(SplitRoute(1, NAN)) != "");
  BOOST_TEST(FindProblem(SplitRoute(1, INFINITY)) != "");
  BOOST_TEST(FindProblem(SplitRoute(1, 1e308)) != "");
}

BOOST_AUTO_TEST_CASE(SpansMustBeAddableToATimePoint)
{
  const std::int64_t odd[] = { std::numeric_limits<std::int64_t>::max(),
                               std::numeric_limits<std::int64_t>::min(),
                               kMaxSpanUs + 1,
                               -1 };
  for (const std::int64_t span : odd) {
    wire::Route route = SplitRoute(1, 1);
    route.set_timeout_us(span);
    BOOST_TEST(FindProblem(route) != "", span);
    route = SplitRoute(1, 1);
    route.set_latency_objective_us(span);
    BOOST_TEST(FindProblem(route) != "", span);
  }
}

} // namespace fuchsiaramp
