// Scenarios of entry hosts and backend servers in a small line language.
//
// One statement a line, '#' starts a comment. Times are such as 500ms or 3s.
//
//   fleet adzoa|calculos|small        must come first
//   seed N | load SHARE | keyed SHARE before the first run
//   network drop SHARE | duplicate SHARE | late SHARE
//   run TIME
//   server N fail SHARE | slow FACTOR | hang SHARE | well | crash | restart
//   server N leaving | mute           mute: its announcements are lost
//   host N kill | start
//   cut HOST SERVER                   requests of the host to the server vanish
//   cut HOST all                      the same for all servers
//   heal
//   silence                           all idle connections go silent
//   poison RATE                       a second
//   control away | back
//   expect restricted N within TIME
//   expect nobody restricted
//   expect idle N after TIME          then no new work for two seconds
//   expect answered SHARE             of the requests since the last statement
//                                     of this kind, at least
//   expect double-runs N
//   expect false-not-runs N
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/event.h"
#include "base/findings.h"
#include "base/ids.h"
#include "base/time.h"

namespace fuchsiaramp {

struct Statement
{
  int line = 0;
  std::vector<std::string> words;
};

// Checks every statement; problems become findings with their line.
std::vector<Statement>
ParseScenario(const std::string& aText, Findings& aFindings);

// Called for each event that an entry host records.
using ScenarioEventHook =
  std::function<void(TimePoint aAt, const HostId& aHost, const Event& aEvent)>;

// Runs a scenario without findings; expectations that fail become findings.
void
RunScenario(const std::vector<Statement>& aStatements,
            Findings& aFindings,
            const ScenarioEventHook& aOnEvent = {});

} // namespace fuchsiaramp
