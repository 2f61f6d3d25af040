// Baseline entry hosts with plain outlier detection. Each host uses only the
// outcomes of its own requests, chooses the server with fewer outstanding
// requests of two random ones, and retries within a token budget. Hosts know
// all servers from the start.
#pragma once

#include "testing/entry_fleet.h"

namespace fuchsiaramp {

enum class BaselinePolicy
{
  kConsecutiveFailures, // five consecutive failures eject a server
  kFixedSuccessRate,    // a rate under 85 % over ten seconds ejects it
};

DriverFactory
MakeBaseline(BaselinePolicy aPolicy, const Deployment& aDeployment);

} // namespace fuchsiaramp
