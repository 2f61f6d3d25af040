#include "observe/event_log.h"

#include <memory>
#include <utility>

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

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
                   std::function<TimePoint()> aNow)
  : m_logger(log4cplus::Logger::getInstance("fuchsiaramp"))
  , m_host(aHost.Value())
  , m_incarnation(aIncarnation)
  , m_clock(aClock)
  , m_now(std::move(aNow))
{
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(false, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p %m%n"));
  m_logger.removeAllAppenders();
  m_logger.addAppender(appender);
  m_logger.setLogLevel(log4cplus::getLogLevelManager().fromString(aLevel));
}

void
EventLog::Write(const Event& aEvent)
{
  const log4cplus::LogLevel level =
    aEvent.IsDebug() ? log4cplus::DEBUG_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
  if (!m_logger.isEnabledFor(level)) {
    return;
  }
  const auto leftOut = m_budget.TryTake(aEvent.Name(), m_now());
  if (!leftOut) {
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
  if (*leftOut > 0) {
    line += " left_out=" + std::to_string(*leftOut);
  }
  m_logger.log(level, line);
}

} // namespace fuchsiaramp
