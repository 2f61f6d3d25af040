#define BOOST_TEST_MODULE pull_queue
#include <boost/test/unit_test.hpp>

#include "control/pull_queue.h"

namespace fuchsiaramp {

static wire::ListsPull
Pull(std::uint64_t aId, const std::string& aRelayFor = "")
{
  wire::ListsPull pull;
  pull.set_pull_id(aId);
  pull.set_relay_for(aRelayFor);
  return pull;
}

BOOST_AUTO_TEST_CASE(TakesTheHostThatHasWaitedLongest)
{
  PullQueue queue;
  queue.Add(HostId("b"), Pull(7));
  queue.Add(HostId("a"), Pull(1));
  BOOST_TEST(queue.Take()->from == HostId("b"));
  BOOST_TEST(queue.Take()->from == HostId("a"));
  BOOST_TEST(!queue.Take());
}

// Hosts that asked again while a control host was slow kept it slow.
BOOST_AUTO_TEST_CASE(AnswersOnlyTheLatestPullOfAHost)
{
  PullQueue queue;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.Add(HostId("a"), Pull(id));
    queue.Add(HostId("b"), Pull(id));
  }
  BOOST_TEST(queue.Size() == 2);
  const auto waiting = queue.Take();
  BOOST_TEST(waiting->from == HostId("a"));
  BOOST_TEST(waiting->pull.pull_id() == 100);
}

BOOST_AUTO_TEST_CASE(KeepsTheLatestOfPullsThatOvertookEachOther)
{
  PullQueue queue;
  queue.Add(HostId("a"), Pull(9));
  queue.Add(HostId("a"), Pull(8));
  BOOST_TEST(queue.Take()->pull.pull_id() == 9);
}

BOOST_AUTO_TEST_CASE(KeepsRelayedPullsApart)
{
  PullQueue queue;
  queue.Add(HostId("a"), Pull(1));
  queue.Add(HostId("a"), Pull(2, "c"));
  queue.Add(HostId("a"), Pull(3, "d"));
  BOOST_TEST(queue.Size() == 3);
}

} // namespace fuchsiaramp
