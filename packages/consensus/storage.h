// Interface to the durable storage of one member.
#pragma once

#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "wire/messages.h"

namespace fuchsiaramp {

// Contents of the storage at process start. With an empty disk, the hard state
// has a disk id but no cluster id.
struct StoredState
{
  wire::HardState hardState;
  wire::SnapshotMeta snapshotMeta;
  std::string snapshot;
  std::vector<wire::LogEntry> entries;
};

// Both hooks return only after the data is synced. Errors are fatal: the member
// stops, since the contents of the disk are unknown after a failed write.
struct StorageHooks
{
  // Replaces all stored entries from the index of the first new entry on.
  std::function<std::error_code(const wire::HardState& aHardState,
                                const std::vector<wire::LogEntry>& aEntries)>
    append;
  // Replaces the snapshot, and the whole log with aRetained.
  std::function<std::error_code(const wire::HardState& aHardState,
                                const wire::SnapshotMeta& aMeta,
                                const std::string& aSnapshot,
                                const std::vector<wire::LogEntry>& aRetained)>
    saveSnapshot;
};

} // namespace fuchsiaramp
