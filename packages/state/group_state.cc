#include "state/group_state.h"

#include <algorithm>

#include "base/invariant.h"
#include "wire/decode.h"

namespace fuchsiaramp {

GroupState::GroupState(LedgerOptions aOptions)
  : m_ledger(aOptions)
{
}

wire::CommandResult
GroupState::Apply(const wire::Command& aCommand)
{
  m_time = std::max(m_time, aCommand.leader_time_us());
  switch (aCommand.body_case()) {
    case wire::Command::kPutLists:
      return m_lists.Put(aCommand.put_lists(), m_time);
    case wire::Command::kClaim:
      return m_ledger.Claim(aCommand.claim(), m_time);
    case wire::Command::kFinish:
      return m_ledger.Finish(aCommand.finish(), m_time);
    case wire::Command::kServer:
      return m_servers.Report(aCommand.server());
    case wire::Command::BODY_NOT_SET:
      break;
  }
  return wire::CommandResult();
}

wire::CommandResult
GroupState::ApplySerialised(const std::string& aCommand)
{
  wire::Command command;
  if (!Decode(aCommand, command, m_escapedTexts)) {
    wire::CommandResult result;
    result.set_code(wire::CommandResult::INVALID);
    result.set_text("the command cannot be decoded");
    return result;
  }
  return Apply(command);
}

std::string
GroupState::Snapshot() const
{
  wire::StateSnapshot snapshot;
  m_lists.Save(snapshot);
  m_ledger.Save(snapshot);
  m_servers.Save(snapshot);
  snapshot.set_time_us(m_time);
  return snapshot.SerializeAsString();
}

void
GroupState::Restore(const std::string& aSnapshot)
{
  wire::StateSnapshot snapshot;
  CheckInvariant(Decode(aSnapshot, snapshot, m_escapedTexts),
                 "a snapshot that passed its checksum can be decoded");
  m_escapedTexts += m_lists.Restore(snapshot);
  m_ledger.Restore(snapshot);
  m_servers.Restore(snapshot);
  m_time = snapshot.time_us();
}

} // namespace fuchsiaramp
