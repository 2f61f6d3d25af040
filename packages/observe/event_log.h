// Writes events as lines of key=value pairs, laid out by log4cplus.
//
// Each line has the host, its incarnation, a sequence number and the causal
// clock, from which the timeline of all processes is built. The rate of lines
// for each event name is limited; the field "left_out" of the next line gives
// the number of suppressed lines. Writing never waits for the reader of the
// lines: while it doesn't keep up, lines are kept up to a limit and then
// dropped, and the field "dropped_lines" of the next line gives their number.
//
//   EventLog log(host, incarnation, "INFO", clock, MonotonicNow);
//   log.Write(Event("leader_elected").With("term", 7));
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loglevel.h>

#include "base/event.h"
#include "base/ids.h"
#include "base/time.h"
#include "observe/causal_clock.h"
#include "observe/log_output.h"
#include "observe/log_rate_limiter.h"

namespace fuchsiaramp {

// Returns "key=value", with the value in quotes where necessary.
std::string
FormatField(const std::string& aKey, const std::string& aValue);

class EventLog
{
public:
  // aLevel: DEBUG, INFO, WARN or ERROR.
  EventLog(const HostId& aHost,
           std::uint64_t aIncarnation,
           const std::string& aLevel,
           CausalClock& aClock,
           std::function<TimePoint()> aNow,
           LogOutput& aOutput = StandardOutput());

  void Write(const Event& aEvent);

  // Writes kept lines, as many as their reader takes now. To be called often.
  void Flush() { m_output.Flush(); }

  // Lines dropped since the start.
  std::uint64_t Dropped() const { return m_output.Dropped(); }

private:
  log4cplus::Initializer m_initializer;
  log4cplus::PatternLayout m_layout;
  log4cplus::LogLevel m_level;
  std::string m_host;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;
  CausalClock& m_clock;
  std::function<TimePoint()> m_now;
  LogOutput& m_output;
  LogRateLimiter m_rateLimiter{ LogRateLimiterOptions() };
};

} // namespace fuchsiaramp
