// Cost of a log line: writes lines of the size of a daemon's to standard output
// and prints the time of one to standard error.
//
//   build/bench/log_bench [LINES] | cat >/dev/null
#include <cstdlib>
#include <iostream>

#include "net/monotonic.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

namespace fuchsiaramp {

static void
MeasureLines(int aLines)
{
  CausalClock clock;
  // Each line is a second after the one before, so that none is suppressed.
  TimePoint now = MonotonicNow();
  EventLog log(HostId("entry-1"), 1, "INFO", clock, [&now] {
    now += std::chrono::seconds(1);
    return now;
  });
  const TimePoint start = MonotonicNow();
  const double cpuSeconds = ProcessCpuSeconds();
  for (int i = 0; i < aLines; ++i) {
    log.Write(Event("attempt_failed")
                .With("request", i)
                .With("server", "i-9c79a97cb7")
                .With("error", "connection reset by peer")
                .With("elapsed_ms", 12));
  }
  const double seconds = ToSeconds(MonotonicNow() - start);
  std::cerr << "us_per_line=" << seconds * 1e6 / aLines << " cpu_us_per_line="
            << (ProcessCpuSeconds() - cpuSeconds) * 1e6 / aLines
            << " dropped=" << log.Dropped() << '\n';
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  static constexpr int kLines = 200'000;
  fuchsiaramp::MeasureLines(aCount > 1 ? std::atoi(aArguments[1]) : kLines);
}
