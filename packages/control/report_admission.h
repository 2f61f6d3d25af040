// Decides at the leader whether a report that a backend server sent about
// itself is logged.
//
// A report may come from another program: it may name a service that no lists
// define, or the address of a server that runs. The table of servers lets the
// latest start hold an address, so that such a report would end the server that
// runs there. The decision is taken before the report is logged, so that all
// members, also those of earlier builds, apply the same commands.
//
//   const ReportAdmission admission = AdmitReport(lists, servers, report,
//   true); if (admission.code == wire::CommandResult::OK) { ... log it ... }
#pragma once

#include <optional>
#include <string>

#include "state/lists.h"
#include "state/servers_state.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct ReportAdmission
{
  // OK if the report is to be logged.
  wire::CommandResult::Code code = wire::CommandResult::OK;
  std::string reason; // why it is not
  // Logged before the report if present. Ends the server that held the address
  // so that its reports bring it back once the new holder has gone.
  std::optional<wire::BackendServerRecord> formerHolder = {};
};

// aIsCurrent: whether aLists and aServers hold all that was acknowledged.
ReportAdmission
AdmitReport(const Lists& aLists,
            const ServersState& aServers,
            const wire::BackendServerRecord& aReport,
            bool aIsCurrent);

} // namespace fuchsiaramp
