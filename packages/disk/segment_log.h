// The durable log of one consensus member: a snapshot file and one segment of
// checksummed records, replaced together when a snapshot is saved.
//
// A record that was cut short at the end of the segment was never synced and is
// dropped. Any other record whose checksum does not match is corruption: Open
// fails, and the host has to come back with an empty folder as a new member.
//
//   SegmentLog log(files, random);
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
  // aRandom gives the id of a new disk.
  // aMaxBytes: appends fail beyond this size of the segment.
  SegmentLog(FileHooks aFiles, Random aRandom, std::uint64_t aMaxBytes);

  std::error_code Open(StoredState& aStored);
  // Valid while this object lives.
  StorageHooks Hooks();

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
  // Reads the record at aOffset and advances it. At the end of the data or at
  // a record that was cut short, aOffset stays and aAtEnd is set.
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
                               const std::vector<wire::LogEntry>& aKept);
  std::error_code WriteFile(const std::string& aName, const std::string& aData);
  std::error_code RemoveOtherFiles();

  FileHooks m_files;
  Random m_random;
  std::uint64_t m_maxBytes;
  std::uint64_t m_generation = 0; // names the current pair of files
  std::uint64_t m_segmentBytes = 0;
};

} // namespace fuchsiaramp
