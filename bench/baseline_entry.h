// Entry hosts with plain outlier detection, to compare with: each host judges
// by its own requests alone, with least outstanding of two choices, one retry
// and no shared evidence. They know all servers from the start.
#pragma once

#include "testing/entry_fleet.h"

namespace fuchsiaramp {

enum class BaselinePolicy
{
  kConsecutiveFailures, // five in a row eject
  kFixedSuccessRate,    // under 85 % in the last ten seconds ejects
};

DriverFactory
MakeBaseline(BaselinePolicy aPolicy, const Deployment& aDeployment);

} // namespace fuchsiaramp
