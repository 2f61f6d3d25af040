#define BOOST_TEST_MODULE stop_signal
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

#include "net/monotonic.h"
#include "net/stop_signal.h"

namespace fuchsiaramp {

static constexpr auto kBusyFor = std::chrono::milliseconds(300);

BOOST_AUTO_TEST_CASE(ASignalThatArrivesWhileTheLoopIsBusyKeepsItsTime)
{
  for (const int signal : { SIGTERM, SIGINT }) {
    boost::asio::io_context io;
    std::optional<TimePoint> arrivedAt;
    const StopSignal stop(io, [&](TimePoint aArrivedAt) {
      BOOST_TEST(!arrivedAt.has_value());
      arrivedAt = aArrivedAt;
    });
    const TimePoint before = MonotonicNow();
    std::raise(signal);
    const TimePoint after = MonotonicNow();
    std::this_thread::sleep_for(kBusyFor);
    std::raise(SIGTERM);
    io.run();
    BOOST_REQUIRE(arrivedAt.has_value());
    BOOST_TEST((*arrivedAt >= before - std::chrono::microseconds(1)));
    BOOST_TEST((*arrivedAt <= after));
  }
}

BOOST_AUTO_TEST_CASE(WithoutASignalNothingStops)
{
  boost::asio::io_context io;
  bool stopped = false;
  const StopSignal stop(io, [&](TimePoint) { stopped = true; });
  io.run_for(std::chrono::milliseconds(50));
  BOOST_TEST(!stopped);
}

} // namespace fuchsiaramp
