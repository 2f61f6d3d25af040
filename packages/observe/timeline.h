// Merges event logs of all processes into one time line.
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

// One logged event.
struct TimelineEvent
{
  std::string time; // the host's own wall clock
  std::string host;
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t clock = 0;
  std::map<std::string, std::string> fields;
};

// Splits a line of key=value pairs, undoing quotes.
std::map<std::string, std::string>
ParseFields(const std::string& aLine);

class Timeline
{
public:
  // Adds the events of one log; other lines are counted and left out.
  void AddLog(const std::string& aText);
  // Orders by causal clock, then host and sequence: an event never comes
  // before one that may have caused it, whatever the wall clocks say.
  void Sort();

  // The events that have all the given fields, one a line.
  std::string Text(const std::map<std::string, std::string>& aFilter) const;
  // The same as a self-contained page, one column a host.
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
