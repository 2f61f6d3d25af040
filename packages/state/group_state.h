// The replicated state machine of one consensus group: the lists and the table
// of backend servers, or a ledger shard.
//
//   GroupState state(options);
//   wire::CommandResult result = state.Apply(command);
#pragma once

#include <cstddef>
#include <string>

#include "state/ledger.h"
#include "state/lists_state.h"
#include "state/servers_state.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class GroupState
{
public:
  explicit GroupState(LedgerOptions aOptions);

  wire::CommandResult Apply(const wire::Command& aCommand);
  // Applies a serialised Command, as the log stores it.
  wire::CommandResult ApplySerialised(const std::string& aCommand);

  // A serialised StateSnapshot; an empty string restores the initial state.
  std::string Snapshot() const;
  void Restore(const std::string& aSnapshot);

  // The number of texts that were not valid UTF-8, in all snapshots and
  // commands so far.
  std::size_t EscapedTexts() const { return m_escapedTexts; }

  const ListsState& ListsPart() const { return m_lists; }
  const Ledger& LedgerPart() const { return m_ledger; }
  const ServersState& ServersPart() const { return m_servers; }

private:
  ListsState m_lists;
  Ledger m_ledger;
  ServersState m_servers;
  std::int64_t m_time = 0; // largest leader time so far, microseconds
  std::size_t m_escapedTexts = 0;
};

} // namespace fuchsiaramp
