// What randomised runs of a simulated fleet of entry hosts have in common.
//
//   class FaultyRun : public EntryRun { public: void Run(); };
//   PlaySeeds<FaultyRun>(60);
#pragma once

#include <boost/test/unit_test.hpp>

#include <stdexcept>
#include <string>
#include <utility>

#include "base/invariant.h"
#include "testing/entry_fleet.h"
#include "testing/run_options.h"

namespace fuchsiaramp {

class EntryRun
{
public:
  EntryRun(std::uint64_t aRandomSeed,
           Deployment aDeployment,
           FleetOptions aOptions)
    : m_random(aRandomSeed)
    , m_fleet(std::move(aDeployment), std::move(aOptions))
  {
    SetInvariantHandler(
      [](const std::string& aText) { throw std::logic_error(aText); });
  }

protected:
  static void Check(bool aHolds, const char* aText)
  {
    if (!aHolds) {
      throw std::logic_error(aText);
    }
  }

  void CheckResults() const
  {
    Check(m_fleet.Results().size() > 1000, "callers get responses");
    Check(m_fleet.DoubleRuns() == 0, "no key runs twice");
    Check(m_fleet.FalseNotRuns() == 0,
          "no key runs whose last outcome was not-run");
  }

  Random m_random;
  EntryFleet m_fleet;
};

template<class RunType>
void
PlaySeeds(std::uint64_t aDefaultCount)
{
  const SeedRange seeds = SeedRangeFromEnvironment(aDefaultCount);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    const std::uint64_t seed = seeds.first + i;
    try {
      RunType(seed).Run();
    } catch (const std::exception& error) {
      BOOST_ERROR("seed " << seed << ": " << error.what());
      return;
    }
  }
}

} // namespace fuchsiaramp
