// The entries of a replicated log that are held in memory.
//
// Entries before the snapshot may be kept for members that lag a little.
//
//   Log log(meta.index(), meta.term(), entries);
//   log.Append(entry);
//   std::optional<std::uint64_t> term = log.TermAt(log.LastIndex());
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "wire/messages.h"

namespace fuchsiaramp {

class Log
{
public:
  Log(std::uint64_t aSnapshotIndex,
      std::uint64_t aSnapshotTerm,
      const std::vector<wire::LogEntry>& aEntries);

  std::uint64_t SnapshotIndex() const { return m_snapshotIndex; }
  std::uint64_t SnapshotTerm() const { return m_snapshotTerm; }
  // Index of the first entry held; LastIndex() + 1 when none is.
  std::uint64_t FirstIndex() const;
  std::uint64_t LastIndex() const;
  std::uint64_t LastTerm() const;
  // Empty when the term of the index is not known here.
  std::optional<std::uint64_t> TermAt(std::uint64_t aIndex) const;
  const wire::LogEntry& At(std::uint64_t aIndex) const;
  std::vector<wire::LogEntry> From(std::uint64_t aIndex) const;

  // The entry must follow the last one.
  void Append(wire::LogEntry aEntry);
  void TruncateFrom(std::uint64_t aIndex);
  // Records a snapshot at aIndex and drops entries before aKeepFrom.
  void Compact(std::uint64_t aIndex,
               std::uint64_t aTerm,
               std::uint64_t aKeepFrom);
  // Drops everything in favour of a snapshot received from the leader.
  void Reset(std::uint64_t aIndex, std::uint64_t aTerm);

private:
  std::uint64_t m_snapshotIndex;
  std::uint64_t m_snapshotTerm;
  std::deque<wire::LogEntry> m_entries;
};

} // namespace fuchsiaramp
