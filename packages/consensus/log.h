// The part of a replicated log that is held in memory.
//
// Some entries before the snapshot may be retained, so that members that lag
// slightly can catch up without a snapshot transfer.
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
  // Index of the first entry in memory; LastIndex() + 1 if there is none.
  std::uint64_t FirstIndex() const;
  std::uint64_t LastIndex() const;
  std::uint64_t LastTerm() const;
  // Empty if the index is neither in memory nor the index of the snapshot.
  std::optional<std::uint64_t> TermAt(std::uint64_t aIndex) const;
  const wire::LogEntry& At(std::uint64_t aIndex) const;
  std::vector<wire::LogEntry> EntriesFrom(std::uint64_t aIndex) const;
  // The bytes of the entries in memory after aAfter up to aLast, including an
  // estimate of what each entry takes besides its command.
  std::uint64_t Bytes(std::uint64_t aAfter, std::uint64_t aLast) const;
  // The same of all entries in memory.
  std::uint64_t Bytes() const { return Bytes(FirstIndex() - 1, LastIndex()); }

  // The index of the entry must be LastIndex() + 1; without entries in memory,
  // it may be lower.
  void Append(wire::LogEntry aEntry);
  void TruncateFrom(std::uint64_t aIndex);
  // Records a snapshot at aIndex and drops entries before aKeepFrom.
  void Compact(std::uint64_t aIndex,
               std::uint64_t aTerm,
               std::uint64_t aKeepFrom);
  // Drops all entries; the log continues after the given snapshot.
  void Reset(std::uint64_t aIndex, std::uint64_t aTerm);

private:
  std::uint64_t m_snapshotIndex;
  std::uint64_t m_snapshotTerm;
  std::deque<wire::LogEntry> m_entries;
  // For each entry, the bytes of all entries appended up to it.
  std::deque<std::uint64_t> m_bytesUpTo;
  std::uint64_t m_bytesBefore = 0; // of the entries dropped at the front
};

} // namespace fuchsiaramp
