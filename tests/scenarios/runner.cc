// Runs one scenario file. The exit code is 0 when every expectation holds. With
// --events it prints the events that entry hosts record, one a line.
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "scenario.h"

namespace fuchsiaramp {

static void
PrintEvent(TimePoint aAt, const HostId& aHost, const Event& aEvent)
{
  std::cout << "seconds=" << ToSeconds(aAt.time_since_epoch())
            << " host=" << aHost << " event=" << aEvent.Name();
  for (const EventField& field : aEvent.Fields()) {
    std::cout << ' ' << field.key << '=' << field.value;
  }
  std::cout << '\n';
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  const bool events = aCount == 3 && std::string(aArguments[2]) == "--events";
  if (aCount != 2 && !events) {
    std::cerr << "usage: scenario_runner FILE [--events]\n";
    return 2;
  }
  std::ifstream file(aArguments[1]);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  fuchsiaramp::Findings findings(aArguments[1]);
  const auto statements = fuchsiaramp::ParseScenario(text, findings);
  fuchsiaramp::ScenarioEventHook onEvent;
  if (events) {
    onEvent = fuchsiaramp::PrintEvent;
  }
  if (findings.IsEmpty()) {
    fuchsiaramp::RunScenario(statements, findings, onEvent);
  }
  std::cerr << findings.Text();
  return findings.IsEmpty() && !statements.empty() ? 0 : 1;
}
