#include "disk/segment_log.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

#include "base/digest.h"
#include "base/error.h"
#include "wire/decode.h"

namespace fuchsiaramp {

// Record format: payload length (4 bytes), kind (1), header checksum (3),
// payload checksum (8), payload. Integers are little-endian.
static constexpr std::size_t kHeaderBytes = 16;
static constexpr std::uint64_t kHeaderSeed = 0x68656164;
static constexpr std::string_view kGenerationPrefix = "generation-";

static void
PutNumber(std::string& aOut, std::uint64_t aValue, int aBytes)
{
  for (int i = 0; i < aBytes; ++i) {
    aOut += static_cast<char>(aValue >> (8 * i));
  }
}

static std::uint64_t
GetNumber(std::string_view aData, int aBytes)
{
  std::uint64_t value = 0;
  for (int i = 0; i < aBytes; ++i) {
    value |= std::uint64_t{ static_cast<unsigned char>(aData[i]) } << (8 * i);
  }
  return value;
}

static std::uint64_t
HeaderChecksum(std::string_view aHeader)
{
  return Hash64(aHeader.substr(0, 5), kHeaderSeed) & 0xFFFFFF;
}

static std::string
SegmentName(std::uint64_t aGeneration)
{
  return "segment-" + std::to_string(aGeneration);
}

static std::string
SnapshotName(std::uint64_t aGeneration)
{
  return "snapshot-" + std::to_string(aGeneration);
}

// The name of an empty marker file identifies the current generation. It
// replaces the previous marker by a rename, after both files of the generation
// are synced.
static std::string
MarkerName(std::uint64_t aGeneration)
{
  return std::string(kGenerationPrefix) + std::to_string(aGeneration);
}

SegmentLog::SegmentLog(FileHooks aFiles,
                       Random aRandom,
                       std::uint64_t aMaxBytes)
  : m_files(std::move(aFiles))
  , m_random(aRandom)
  , m_maxBytes(aMaxBytes)
{
}

StorageHooks
SegmentLog::Hooks()
{
  StorageHooks hooks;
  hooks.append = [this](const wire::HardState& aHardState,
                        const std::vector<wire::LogEntry>& aEntries) {
    return Append(aHardState, aEntries);
  };
  hooks.saveSnapshot = [this](const wire::HardState& aHardState,
                              const wire::SnapshotMeta& aMeta,
                              const std::string& aSnapshot,
                              const std::vector<wire::LogEntry>& aRetained) {
    return SaveSnapshot(aHardState, aMeta, aSnapshot, aRetained);
  };
  return hooks;
}

void
SegmentLog::AppendRecord(std::string& aOut,
                         RecordKind aKind,
                         const std::string& aPayload)
{
  std::string header;
  PutNumber(header, aPayload.size(), 4);
  header += static_cast<char>(aKind);
  PutNumber(header, HeaderChecksum(header), 3);
  PutNumber(header, Hash64(aPayload), 8);
  aOut += header;
  aOut += aPayload;
}

std::error_code
SegmentLog::ReadRecord(std::string_view aData,
                       std::size_t& aOffset,
                       Record& aRecord,
                       bool& aAtEnd)
{
  aAtEnd = true;
  const std::string_view rest = aData.substr(aOffset);
  if (rest.size() < kHeaderBytes) {
    return {};
  }
  if (GetNumber(rest.substr(5), 3) != HeaderChecksum(rest)) {
    return ErrorCode::kCorruptLog;
  }
  const std::uint64_t length = GetNumber(rest, 4);
  if (rest.size() - kHeaderBytes < length) {
    return {};
  }
  aRecord.kind = static_cast<RecordKind>(rest[4]);
  aRecord.payload = rest.substr(kHeaderBytes, length);
  if (GetNumber(rest.substr(8), 8) != Hash64(aRecord.payload)) {
    return ErrorCode::kCorruptLog;
  }
  aOffset += kHeaderBytes + length;
  aAtEnd = false;
  return {};
}

std::error_code
SegmentLog::Open(StoredState& aStored)
{
  bool found = false;
  for (const std::string& name : m_files.list()) {
    if (name.compare(0, kGenerationPrefix.size(), kGenerationPrefix) == 0) {
      std::uint64_t generation = 0;
      std::from_chars(name.data() + kGenerationPrefix.size(),
                      name.data() + name.size(),
                      generation);
      m_generation = std::max(m_generation, generation);
      found = true;
    }
  }
  if (!found) {
    return InitializeDisk(aStored);
  }
  if (std::error_code error = ReadSnapshot(aStored)) {
    return error;
  }
  std::size_t validSize = 0;
  if (std::error_code error = ReadSegment(aStored, validSize)) {
    return error;
  }
  m_segmentBytes = validSize;
  if (std::error_code error =
        m_files.truncate(SegmentName(m_generation), validSize)) {
    return error;
  }
  return RemoveObsoleteFiles();
}

std::error_code
SegmentLog::InitializeDisk(StoredState& aStored)
{
  aStored = StoredState();
  aStored.hardState.set_disk_id(std::max<std::uint64_t>(m_random.Bits(), 1));
  return SaveSnapshot(aStored.hardState, aStored.snapshotMeta, "", {});
}

std::error_code
SegmentLog::ReadSnapshot(StoredState& aStored)
{
  std::string data;
  if (std::error_code error = m_files.read(SnapshotName(m_generation), data)) {
    return error;
  }
  std::size_t offset = 0;
  Record record;
  bool atEnd = false;
  while (true) {
    if (std::error_code error = ReadRecord(data, offset, record, atEnd)) {
      return error;
    }
    if (atEnd) {
      break;
    }
    if (record.kind == RecordKind::kSnapshotMeta) {
      if (!Decode(record.payload, aStored.snapshotMeta, m_escapedTexts)) {
        return ErrorCode::kCorruptLog;
      }
    } else if (record.kind == RecordKind::kSnapshotData) {
      aStored.snapshot += record.payload;
    }
  }
  // The file was synced before the marker of its generation was written, so a
  // truncated record is corruption.
  const bool complete = offset == data.size() && offset > 0;
  return complete ? std::error_code() : make_error_code(ErrorCode::kCorruptLog);
}

std::error_code
SegmentLog::ReadSegment(StoredState& aStored, std::size_t& aValidSize)
{
  std::string data;
  if (std::error_code error = m_files.read(SegmentName(m_generation), data)) {
    return error;
  }
  Record record;
  bool atEnd = false;
  while (true) {
    if (std::error_code error = ReadRecord(data, aValidSize, record, atEnd)) {
      return error;
    }
    if (atEnd) {
      break;
    }
    if (record.kind == RecordKind::kHardState) {
      if (!Decode(record.payload, aStored.hardState, m_escapedTexts)) {
        return ErrorCode::kCorruptLog;
      }
      continue;
    }
    wire::LogEntry entry;
    if (!Decode(record.payload, entry, m_escapedTexts)) {
      return ErrorCode::kCorruptLog;
    }
    while (!aStored.entries.empty() &&
           aStored.entries.back().index() >= entry.index()) {
      aStored.entries.pop_back();
    }
    aStored.entries.push_back(std::move(entry));
  }
  // The first record of a segment, a hard state, is synced before the marker is
  // written.
  return aStored.hardState.disk_id() != 0
           ? std::error_code()
           : make_error_code(ErrorCode::kCorruptLog);
}

std::error_code
SegmentLog::Append(const wire::HardState& aHardState,
                   const std::vector<wire::LogEntry>& aEntries)
{
  std::string data;
  for (const wire::LogEntry& entry : aEntries) {
    AppendRecord(data, RecordKind::kEntry, entry.SerializeAsString());
  }
  AppendRecord(data, RecordKind::kHardState, aHardState.SerializeAsString());
  if (m_segmentBytes + data.size() > m_maxBytes) {
    return ErrorCode::kDiskFull;
  }
  const std::string name = SegmentName(m_generation);
  if (std::error_code error = m_files.append(name, data)) {
    return error;
  }
  m_segmentBytes += data.size();
  return m_files.sync(name);
}

std::error_code
SegmentLog::SaveSnapshot(const wire::HardState& aHardState,
                         const wire::SnapshotMeta& aMeta,
                         const std::string& aSnapshot,
                         const std::vector<wire::LogEntry>& aRetained)
{
  static constexpr std::size_t kChunkBytes = 1 << 20;
  const std::uint64_t generation = m_generation + 1;
  std::string snapshot;
  AppendRecord(snapshot, RecordKind::kSnapshotMeta, aMeta.SerializeAsString());
  for (std::size_t at = 0; at < aSnapshot.size(); at += kChunkBytes) {
    AppendRecord(
      snapshot, RecordKind::kSnapshotData, aSnapshot.substr(at, kChunkBytes));
  }
  std::string segment;
  AppendRecord(segment, RecordKind::kHardState, aHardState.SerializeAsString());
  for (const wire::LogEntry& entry : aRetained) {
    AppendRecord(segment, RecordKind::kEntry, entry.SerializeAsString());
  }
  if (std::error_code error = WriteFile(SnapshotName(generation), snapshot)) {
    return error;
  }
  if (std::error_code error = WriteFile(SegmentName(generation), segment)) {
    return error;
  }
  if (std::error_code error = m_files.syncFolder()) {
    return error;
  }
  const std::string marker = MarkerName(generation);
  const std::string oldMarker = MarkerName(m_generation);
  std::error_code error;
  if (m_generation == 0) {
    error = m_files.append(marker, "");
  } else {
    error = m_files.rename(oldMarker, marker);
  }
  if (!error) {
    error = m_files.syncFolder();
  }
  if (error) {
    return error;
  }
  m_generation = generation;
  m_segmentBytes = segment.size();
  return RemoveObsoleteFiles();
}

std::error_code
SegmentLog::WriteFile(const std::string& aName, const std::string& aData)
{
  // A file of this name can only be left over from an interrupted save.
  if (std::error_code error = m_files.truncate(aName, 0)) {
    return error;
  }
  if (std::error_code error = m_files.append(aName, aData)) {
    return error;
  }
  return m_files.sync(aName);
}

std::error_code
SegmentLog::RemoveObsoleteFiles()
{
  for (const std::string& name : m_files.list()) {
    const bool current = name == SegmentName(m_generation) ||
                         name == SnapshotName(m_generation) ||
                         name == MarkerName(m_generation);
    if (current) {
      continue;
    }
    if (std::error_code error = m_files.remove(name)) {
      return error;
    }
  }
  return {};
}

} // namespace fuchsiaramp
