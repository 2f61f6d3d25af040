// Durable storage of one member, as hooks that an adapter fills in.
#pragma once

#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "wire/messages.h"

namespace fuchsiaramp {

// What storage held when the process started. A blank disk has a hard state
// with a disk id and no cluster id.
struct StoredState
{
  wire::HardState hardState;
  wire::SnapshotMeta snapshotMeta;
  std::string snapshot;
  std::vector<wire::LogEntry> entries;
};

// Both hooks return only after the data is synced. An error is final: the
// member stops, since what is on disk is no longer known.
struct StorageHooks
{
  // Entries replace stored ones from the first entry's index on.
  std::function<std::error_code(const wire::HardState& aHardState,
                                const std::vector<wire::LogEntry>& aEntries)>
    append;
  // Replaces the snapshot and the whole log by aKept.
  std::function<std::error_code(const wire::HardState& aHardState,
                                const wire::SnapshotMeta& aMeta,
                                const std::string& aSnapshot,
                                const std::vector<wire::LogEntry>& aKept)>
    saveSnapshot;
};

} // namespace fuchsiaramp
