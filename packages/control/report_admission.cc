#include "control/report_admission.h"

#include <utility>

namespace fuchsiaramp {

using Record = wire::BackendServerRecord;

static ReportAdmission
Refuse(wire::CommandResult::Code aCode, std::string aReason)
{
  ReportAdmission admission;
  admission.code = aCode;
  admission.reason = std::move(aReason);
  return admission;
}

// Whether the table already holds the server of the report at its address.
static bool
IsRenewal(const Record* aExisting, const Record& aReport)
{
  return aExisting != nullptr && aExisting->state() != Record::GONE &&
         aExisting->incarnation() == aReport.incarnation() &&
         aExisting->service() == aReport.service() &&
         aExisting->address() == aReport.address();
}

ReportAdmission
AdmitReport(const Lists& aLists,
            const ServersState& aServers,
            const Record& aReport,
            bool aIsCurrent)
{
  ReportAdmission admission;
  if (aReport.state() == Record::GONE ||
      IsRenewal(aServers.Find(aReport.id()), aReport)) {
    return admission;
  }
  const bool isDefined = aLists.DefinesService(ServiceName(aReport.service()));
  if (!aIsCurrent && !isDefined) {
    return Refuse(wire::CommandResult::RESULT_UNKNOWN,
                  "whether the lists define the service is not known yet");
  }
  if (aLists.DefinesServices() && !isDefined) {
    return Refuse(wire::CommandResult::INVALID,
                  "the lists do not define the service");
  }
  const Record* holder = aServers.FindHolder(aReport.address());
  if (holder == nullptr || holder->id() == aReport.id()) {
    return admission;
  }
  // A record of an earlier build may be of a service that is not defined. It
  // holds no address.
  const bool holds = !aLists.DefinesServices() ||
                     aLists.DefinesService(ServiceName(holder->service()));
  if (holds && holder->incarnation() > aReport.incarnation()) {
    return Refuse(wire::CommandResult::INVALID,
                  "a server that started later holds the address");
  }
  admission.formerHolder = WithoutReports(*holder);
  return admission;
}

} // namespace fuchsiaramp
