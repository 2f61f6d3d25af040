// Writes events as lines of key=value pairs through log4cplus.
//
// Each line has the host, its incarnation, a sequence number and the causal
// clock, from which the timeline of all processes is built. The rate of lines
// for each event name is limited; the field "left_out" of the next line gives
// the number of suppressed lines.
//
//   EventLog log(host, incarnation, "INFO", clock, MonotonicNow);
//   log.Write(Event("leader_elected").With("term", 7));
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

#include "base/event.h"
#include "base/ids.h"
#include "base/time.h"
#include "observe/causal_clock.h"
#include "observe/log_rate_limiter.h"

namespace fuchsiaramp {

// Returns "key=value", with the value in quotes where necessary.
std::string
FormatField(const std::string& aKey, const std::string& aValue);

class EventLog
{
public:
  // aLevel: DEBUG, INFO, WARN or ERROR. Lines are written to standard
  // output.
  EventLog(const HostId& aHost,
           std::uint64_t aIncarnation,
           const std::string& aLevel,
           CausalClock& aClock,
           std::function<TimePoint()> aNow);

  void Write(const Event& aEvent);

private:
  log4cplus::Initializer m_initializer;
  log4cplus::Logger m_logger;
  std::string m_host;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;
  CausalClock& m_clock;
  std::function<TimePoint()> m_now;
  LogRateLimiter m_rateLimiter{ LogRateLimiterOptions() };
};

} // namespace fuchsiaramp
