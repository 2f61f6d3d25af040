// Runs one scenario file: exit code 0 when every expectation holds.
#include <fstream>
#include <iostream>
#include <iterator>

#include "scenario.h"

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: scenario_runner FILE\n";
    return 2;
  }
  std::ifstream file(aArguments[1]);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  fuchsiaramp::Findings findings(aArguments[1]);
  const auto statements = fuchsiaramp::ParseScenario(text, findings);
  if (findings.IsEmpty()) {
    fuchsiaramp::RunScenario(statements, findings);
  }
  std::cerr << findings.Text();
  return findings.IsEmpty() && !statements.empty() ? 0 : 1;
}
