// The durable log of one consensus member: a snapshot file and one segment of
// checksummed records, replaced together when a snapshot is saved.
//
// A truncated record at the end of the segment was never synced and is dropped.
// Any other record with a checksum mismatch is corrupt: Open fails, and the
// host must restart with an empty folder, as a new member.
//
//   SegmentLog log(files, random, maxBytes);
//   StoredState stored;
//   if (std::error_code error = log.Open(stored)) { ... }
//   StorageHooks storage = log.Hooks();
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

#include "base/random.h"
#include "consensus/storage.h"
#include "disk/files.h"

namespace fuchsiaramp {

class SegmentLog
{
public:
  // aRandom generates the id of a new disk. Appends that would grow the segment
  // beyond aMaxBytes fail.
  SegmentLog(FileHooks aFiles, Random aRandom, std::uint64_t aMaxBytes);

  std::error_code Open(StoredState& aStored);
  // The hooks must not outlive this object.
  StorageHooks Hooks();
  // Texts that Open read and that were not valid UTF-8.
  std::size_t EscapedTexts() const { return m_escapedTexts; }

private:
  enum class RecordKind : unsigned char
  {
    kHardState = 1,
    kEntry = 2,
    kSnapshotMeta = 3,
    kSnapshotData = 4,
  };

  struct Record
  {
    RecordKind kind = RecordKind::kEntry;
    std::string_view payload;
  };

  static void AppendRecord(std::string& aOut,
                           RecordKind aKind,
                           const std::string& aPayload);
  // Reads the record at aOffset and advances aOffset. At the end of the data or
  // at a truncated record, leaves aOffset unchanged and sets aAtEnd.
  static std::error_code ReadRecord(std::string_view aData,
                                    std::size_t& aOffset,
                                    Record& aRecord,
                                    bool& aAtEnd);

  std::error_code ReadSnapshot(StoredState& aStored);
  std::error_code ReadSegment(StoredState& aStored, std::size_t& aValidSize);
  std::error_code InitializeDisk(StoredState& aStored);
  std::error_code Append(const wire::HardState& aHardState,
                         const std::vector<wire::LogEntry>& aEntries);
  std::error_code SaveSnapshot(const wire::HardState& aHardState,
                               const wire::SnapshotMeta& aMeta,
                               const std::string& aSnapshot,
                               const std::vector<wire::LogEntry>& aRetained);
  std::error_code WriteFile(const std::string& aName, const std::string& aData);
  std::error_code RemoveObsoleteFiles();

  FileHooks m_files;
  Random m_random;
  std::uint64_t m_maxBytes;
  std::uint64_t m_generation = 0; // number in the names of the current files
  std::uint64_t m_segmentBytes = 0;
  std::size_t m_escapedTexts = 0;
};

} // namespace fuchsiaramp
