#include "consensus/log.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace fuchsiaramp {

static constexpr std::uint64_t kEntryOverheadBytes = 96;

Log::Log(std::uint64_t aSnapshotIndex,
         std::uint64_t aSnapshotTerm,
         const std::vector<wire::LogEntry>& aEntries)
  : m_snapshotIndex(aSnapshotIndex)
  , m_snapshotTerm(aSnapshotTerm)
{
  for (const wire::LogEntry& entry : aEntries) {
    Append(entry);
  }
}

std::uint64_t
Log::FirstIndex() const
{
  return m_entries.empty() ? m_snapshotIndex + 1 : m_entries.front().index();
}

std::uint64_t
Log::LastIndex() const
{
  return m_entries.empty() ? m_snapshotIndex : m_entries.back().index();
}

std::uint64_t
Log::LastTerm() const
{
  return m_entries.empty() ? m_snapshotTerm : m_entries.back().term();
}

std::optional<std::uint64_t>
Log::TermAt(std::uint64_t aIndex) const
{
  if (aIndex == m_snapshotIndex) {
    return m_snapshotTerm;
  }
  if (m_entries.empty() || aIndex < FirstIndex() || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).term();
}

const wire::LogEntry&
Log::At(std::uint64_t aIndex) const
{
  CheckInvariant(aIndex >= FirstIndex() && aIndex <= LastIndex(),
                 "the index of an entry that is read is within the log");
  return m_entries[aIndex - FirstIndex()];
}

std::vector<wire::LogEntry>
Log::EntriesFrom(std::uint64_t aIndex) const
{
  std::vector<wire::LogEntry> entries;
  const std::uint64_t first = std::max(aIndex, FirstIndex());
  for (std::uint64_t i = first; i <= LastIndex(); ++i) {
    entries.push_back(At(i));
  }
  return entries;
}

std::uint64_t
Log::Bytes(std::uint64_t aAfter, std::uint64_t aLast) const
{
  const auto upTo = [this](std::uint64_t aIndex) {
    return m_entries.empty() || aIndex < FirstIndex()
             ? m_bytesBefore
             : m_bytesUpTo[std::min(aIndex, LastIndex()) - FirstIndex()];
  };
  return aLast > aAfter ? upTo(aLast) - upTo(aAfter) : 0;
}

void
Log::Append(wire::LogEntry aEntry)
{
  CheckInvariant(m_entries.empty() ? aEntry.index() <= m_snapshotIndex + 1
                                   : aEntry.index() == LastIndex() + 1,
                 "log entries have consecutive indices");
  m_bytesUpTo.push_back(
    (m_entries.empty() ? m_bytesBefore : m_bytesUpTo.back()) +
    aEntry.command().size() + kEntryOverheadBytes);
  m_entries.push_back(std::move(aEntry));
}

void
Log::TruncateFrom(std::uint64_t aIndex)
{
  CheckInvariant(aIndex > m_snapshotIndex,
                 "entries covered by a snapshot are never truncated");
  while (!m_entries.empty() && m_entries.back().index() >= aIndex) {
    m_entries.pop_back();
    m_bytesUpTo.pop_back();
  }
}

void
Log::Compact(std::uint64_t aIndex, std::uint64_t aTerm, std::uint64_t aKeepFrom)
{
  m_snapshotIndex = aIndex;
  m_snapshotTerm = aTerm;
  const std::uint64_t keepFrom = std::min(aKeepFrom, aIndex + 1);
  while (!m_entries.empty() && m_entries.front().index() < keepFrom) {
    m_entries.pop_front();
    m_bytesBefore = m_bytesUpTo.front();
    m_bytesUpTo.pop_front();
  }
}

void
Log::Reset(std::uint64_t aIndex, std::uint64_t aTerm)
{
  m_entries.clear();
  m_bytesUpTo.clear();
  m_bytesBefore = 0;
  m_snapshotIndex = aIndex;
  m_snapshotTerm = aTerm;
}

} // namespace fuchsiaramp
