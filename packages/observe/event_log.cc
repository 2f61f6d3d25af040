#include "observe/event_log.h"

#include <sstream>
#include <utility>

#include <log4cplus/spi/loggingevent.h>

namespace fuchsiaramp {

std::string
FormatField(const std::string& aKey, const std::string& aValue)
{
  const bool plain = !aValue.empty() &&
                     aValue.find_first_of(" =\"\\\n\r\t") == std::string::npos;
  if (plain) {
    return aKey + '=' + aValue;
  }
  std::string text = aKey + "=\"";
  for (char c : aValue) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += (c == '\n' || c == '\r' || c == '\t') ? ' ' : c;
  }
  return text + '"';
}

EventLog::EventLog(const HostId& aHost,
                   std::uint64_t aIncarnation,
                   const std::string& aLevel,
                   CausalClock& aClock,
                   std::function<TimePoint()> aNow,
                   LogOutput& aOutput)
  : m_layout("time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p %m%n")
  , m_level(log4cplus::getLogLevelManager().fromString(aLevel))
  , m_host(aHost.Value())
  , m_incarnation(aIncarnation)
  , m_clock(aClock)
  , m_now(std::move(aNow))
  , m_output(aOutput)
{
}

void
EventLog::Write(const Event& aEvent)
{
  const log4cplus::LogLevel level =
    aEvent.IsDebug() ? log4cplus::DEBUG_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
  if (level < m_level) {
    return;
  }
  const auto suppressed = m_rateLimiter.TryTake(aEvent.Name(), m_now());
  if (!suppressed) {
    return;
  }
  std::string line = "event=" + aEvent.Name();
  line += ' ' + FormatField("host", m_host);
  line += " incarnation=" + std::to_string(m_incarnation);
  line += " sequence=" + std::to_string(++m_sequence);
  line += " clock=" + std::to_string(m_clock.Next());
  for (const EventField& field : aEvent.Fields()) {
    line += ' ' + FormatField(field.key, field.value);
  }
  if (*suppressed > 0) {
    line += " left_out=" + std::to_string(*suppressed);
  }
  m_output.Flush();
  const std::uint64_t dropped = m_output.UnreportedBeforeNext();
  if (dropped > 0) {
    line += " dropped_lines=" + std::to_string(dropped);
  }
  std::ostringstream text;
  m_layout.formatAndAppend(text,
                           log4cplus::spi::InternalLoggingEvent(
                             "fuchsiaramp", level, line, __FILE__, __LINE__));
  m_output.Write(text.str(), dropped);
}

} // namespace fuchsiaramp
