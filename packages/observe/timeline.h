// Merges the event logs of all processes into one timeline.
//
//   Timeline timeline;
//   timeline.AddLog(text);
//   timeline.Sort();
//   std::cout << timeline.Text({ { "request", "17" } });
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsiaramp {

struct TimelineEvent
{
  std::string time; // wall clock of the host
  std::string host;
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t clock = 0;
  std::map<std::string, std::string> fields;
};

// Parses a line of key=value pairs and unquotes the values.
std::map<std::string, std::string>
ParseFields(const std::string& aLine);

class Timeline
{
public:
  // Adds the events of one log. Non-empty lines that are not events are skipped
  // and counted.
  void AddLog(const std::string& aText);
  // Sorts by causal clock, then host, incarnation and sequence: an event never
  // precedes one that may have caused it, regardless of the wall clocks.
  void Sort();

  // Returns the events that have all fields of the filter, one per line.
  std::string Text(const std::map<std::string, std::string>& aFilter) const;
  // Returns the same events as a self-contained HTML page with one column per
  // host.
  std::string Html(const std::map<std::string, std::string>& aFilter) const;

  const std::vector<TimelineEvent>& Events() const { return m_events; }
  std::size_t SkippedLines() const { return m_skippedLines; }

private:
  static bool Matches(const TimelineEvent& aEvent,
                      const std::map<std::string, std::string>& aFilter);

  std::vector<TimelineEvent> m_events;
  std::size_t m_skippedLines = 0;
};

} // namespace fuchsiaramp
