// Decides when a control host acknowledges what backend servers report about
// themselves.
//
// The table of this host may lag behind the log: after a start, as a new
// leader, or as a follower. So a report is acknowledged only if the log holds
// it, or if the table shows that a newer one does, in a state that is current
// as far as the report needs it.
//
// A deregistration that names no incarnation ends the current one, and all that
// started before the time that it names. The host that receives it names the
// incarnation before the command is logged, and names another if the command
// was outdated when it was applied. The command is thus the same for all
// members that apply it, and ends nothing else when it is sent again. It is
// stored also for a server that is not known, whose first report may be on its
// way.
//
//   ServerReports reports(hooks);
//   reports.Accept(record, deadline, now, [](bool durable) {});
//   reports.Poll(now);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/time.h"
#include "control/late_starts.h"
#include "state/servers_state.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct ServerReportsHooks
{
  // aCode is empty if the outcome is unknown at the deadline.
  using DoneHook =
    std::function<void(std::optional<wire::CommandResult::Code> aCode)>;

  std::function<const ServersState&()> table;
  // The latest time for which all commands acknowledged until then are applied
  // to the table.
  std::function<TimePoint(TimePoint aNow)> currentAsOf;
  // Logs a report. May call aDone at once.
  std::function<void(const wire::BackendServerRecord& aRecord,
                     TimePoint aDeadline,
                     TimePoint aNow,
                     DoneHook aDone)>
    submit;
};

class ServerReports
{
public:
  using ReplyHook = std::function<void(bool aDurable)>;

  // aMaxAge: how old the state may be in which a heartbeat changes nothing.
  ServerReports(ServerReportsHooks aHooks, Duration aMaxAge);

  // Calls aReply with true once the report or a newer one is durable, or with
  // false if this is not confirmed by aDeadline.
  void Accept(const wire::BackendServerRecord& aRecord,
              TimePoint aDeadline,
              TimePoint aNow,
              ReplyHook aReply);
  // Continues the reports that wait for the table, or for their deadline.
  void Poll(TimePoint aNow);
  // Replies to all reports that they are not confirmed.
  void GiveUp();
  // The number of reports without a reply.
  std::size_t PendingCount() const { return m_pending.size(); }

private:
  struct Pending
  {
    wire::BackendServerRecord record;
    TimePoint deadline;
    // The table decides about the report once it is current as of this time;
    // kNever until the next Poll() if it was outdated when it was applied.
    TimePoint currentFrom;
    bool submitted = false;
    ReplyHook reply;
  };

  wire::BackendServerRecord WithCurrentStart(
    const wire::BackendServerRecord& aRecord,
    TimePoint aNow);
  wire::BackendServerRecord Resolved(
    const wire::BackendServerRecord& aRecord) const;
  void Continue(std::uint64_t aId, TimePoint aNow);
  void OnResult(std::uint64_t aId,
                std::optional<wire::CommandResult::Code> aCode);
  void Finish(std::uint64_t aId, bool aDurable);

  ServerReportsHooks m_hooks;
  Duration m_maxAge;
  std::map<std::uint64_t, Pending> m_pending;
  std::uint64_t m_nextId = 1;
  LateStarts m_lateStarts;
};

} // namespace fuchsiaramp
