// Finds backend servers that run although the table says that their start has
// ended.
//
// A deregistration that names no start ends all starts before a certain time.
// Where clocks differ, a server that starts again under its id may report an
// earlier time. Unlike late reports of a server that has ended, its reports go
// on, and they are numbered anew.
//
//   LateStarts starts;
//   if (starts.IsRunning(report, now)) { ... accept it as a new start ... }
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class LateStarts
{
public:
  // Records a report of a start that has ended. Returns whether its server is
  // taken to be running.
  bool IsRunning(const wire::BackendServerRecord& aReport, TimePoint aNow);

private:
  struct Start
  {
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    TimePoint firstAt;
    TimePoint lastAt;
  };

  void RemoveSilent(TimePoint aNow);

  std::map<std::string, Start> m_starts; // by server id
};

} // namespace fuchsiaramp
