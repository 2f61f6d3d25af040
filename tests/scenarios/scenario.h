// A line-based language for scenarios of entry hosts and backend servers.
//
// Each line holds one statement; '#' starts a comment. TIME is a duration such
// as 500ms or 3s.
//
//   fleet adzoa|calculos|small        must come first
//   seed N | load SHARE | keyed SHARE before the first run
//   network drop SHARE | duplicate SHARE | late SHARE
//   run TIME
//   server N fail SHARE | slow FACTOR | hang SHARE | well | crash | restart
//   server N leaving | mute           mute: sends no more announcements
//   host N kill | start
//   cut HOST SERVER                   requests from host to server are lost
//   cut HOST all                      requests from host to any server are lost
//   heal                              ends all cuts
//   silence                           makes all idle connections silent
//   poison RATE                       poison requests per second
//   control away | back
//   expect restricted N within TIME
//   expect nobody restricted
//   expect idle N after TIME          no new requests for two seconds then
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

// Parses and checks every statement. Errors become findings with their line.
std::vector<Statement>
ParseScenario(const std::string& aText, Findings& aFindings);

// Called for each event that an entry host records.
using ScenarioEventHook =
  std::function<void(TimePoint aAt, const HostId& aHost, const Event& aEvent)>;

// Runs a scenario that was parsed without findings. Expectations that fail
// become findings.
void
RunScenario(const std::vector<Statement>& aStatements,
            Findings& aFindings,
            const ScenarioEventHook& aOnEvent = {});

} // namespace fuchsiaramp
