#define BOOST_TEST_MODULE retry_budget
#include <boost/test/unit_test.hpp>

#include <vector>

#include "routing/retry_budget.h"

namespace fuchsiaramp {

BOOST_AUTO_TEST_CASE(TokensAreEarnedByRequestsUpToAMost)
{
  RetryBudget budget({ 0.5, 2.0, 0.0 });
  BOOST_TEST(!budget.TryRetry());
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest();
  }
  BOOST_TEST(budget.TryRetry());
  BOOST_TEST(budget.TryRetry());
  BOOST_TEST(!budget.TryRetry());
}

// One budget for all hosts: a share of all requests and a slack, whatever the
// hosts do apart from each other.
BOOST_AUTO_TEST_CASE(HostsThatShareABudgetStayWithinItTogether)
{
  constexpr int kHosts = 12;
  constexpr double kShare = 0.2;
  constexpr double kSlack = 64.0;
  std::vector<RetryBudget> hosts(kHosts,
                                 RetryBudget({ kShare, kSlack / kHosts, 0.0 }));
  // A quiet window in which tokens are saved up, then one of many retries.
  int retries = 0;
  int requests = 0;
  for (int window = 0; window < 2; ++window) {
    for (int i = 0; i < 1200; ++i) {
      RetryBudget& host = hosts[static_cast<std::size_t>(i % kHosts)];
      host.OnRequest();
      requests += window;
      while (window == 1 && host.TryRetry()) {
        ++retries;
      }
    }
  }
  BOOST_TEST(retries <= kShare * requests + kSlack);
  BOOST_TEST(retries >= kShare * requests);
}

} // namespace fuchsiaramp
