#define BOOST_TEST_MODULE control_shutdown
#include <boost/test/unit_test.hpp>

#include "control/control_shutdown.h"

namespace fuchsiaramp {

static constexpr Duration kGrace = std::chrono::seconds(6);
static constexpr Duration kSoon = std::chrono::milliseconds(200);

// A host that was told to stop at m_now.
class Stop
{
public:
  Stop() { m_shutdown.Begin(m_now, m_now); }

  void Update(const ControlHeldWork& aHeld, Duration aLater)
  {
    m_now += aLater;
    m_shutdown.Update(aHeld, m_now);
  }

  TimePoint m_now = TimePoint() + std::chrono::seconds(10);
  ControlShutdown m_shutdown{ kGrace };
};

BOOST_AUTO_TEST_CASE(AnIdleHostEndsOnceItsLastMessagesHaveLeft)
{
  Stop stop;
  stop.Update({}, Duration());
  BOOST_TEST(stop.m_shutdown.IsClosed());
  BOOST_TEST(!stop.m_shutdown.MayExit());
  stop.Update({}, kSoon);
  BOOST_TEST(stop.m_shutdown.MayExit());
}

BOOST_AUTO_TEST_CASE(AHostWithARequestInHandDoesNotEnd)
{
  Stop stop;
  stop.Update({ .requests = 1 }, kSoon);
  stop.Update({ .requests = 1 }, kSoon * 10);
  BOOST_TEST(!stop.m_shutdown.IsClosed());
  BOOST_TEST(!stop.m_shutdown.MayExit());
  // A request that arrives on an open connection starts the wait again.
  stop.Update({ .connections = 1 }, kSoon);
  BOOST_TEST(stop.m_shutdown.IsClosed());
  stop.Update({ .connections = 1 }, kSoon);
  BOOST_TEST(!stop.m_shutdown.MayExit());
  stop.Update({ .commands = 1 }, kSoon);
  stop.Update({}, Duration());
  BOOST_TEST(!stop.m_shutdown.MayExit());
  stop.Update({}, kSoon);
  BOOST_TEST(stop.m_shutdown.MayExit());
}

BOOST_AUTO_TEST_CASE(ALeaderWaitsForItsSuccessorForALimitedTime)
{
  Stop stop;
  stop.Update({ .ledGroups = 1 }, kSoon);
  BOOST_TEST(!stop.m_shutdown.IsClosed());
  stop.Update({ .ledGroups = 1 }, kSoon * 10);
  BOOST_TEST(stop.m_shutdown.IsClosed());
  stop.Update({ .ledGroups = 1 }, kSoon);
  BOOST_TEST(stop.m_shutdown.MayExit());
}

BOOST_AUTO_TEST_CASE(WorkWithoutAnOutcomeIsGivenUpAndTheHostEndsInTime)
{
  Stop stop;
  const ControlHeldWork held{
    .commands = 1, .requests = 1, .connections = 1, .ledGroups = 1
  };
  const TimePoint killedAt = stop.m_now + kGrace;
  bool gaveUp = false;
  while (!stop.m_shutdown.MayExit() && stop.m_now < killedAt) {
    stop.Update(held, std::chrono::milliseconds(20));
    gaveUp = gaveUp || stop.m_shutdown.GivesUp(stop.m_now);
    BOOST_TEST((gaveUp || !stop.m_shutdown.MayExit()));
  }
  BOOST_TEST(gaveUp);
  BOOST_TEST((stop.m_now < killedAt));
}

BOOST_AUTO_TEST_CASE(AHostThatLearnsLateOfItsStopEndsInTime)
{
  static constexpr Duration kLate = std::chrono::seconds(3);
  TimePoint now = TimePoint() + std::chrono::seconds(10);
  const TimePoint killedAt = now - kLate + kGrace;
  ControlShutdown shutdown(kGrace);
  shutdown.Begin(now, now - kLate);
  while (!shutdown.MayExit() && now < killedAt) {
    now += std::chrono::milliseconds(20);
    shutdown.Update({ .requests = 1 }, now);
  }
  BOOST_TEST((now < killedAt));
}

} // namespace fuchsiaramp
