#define BOOST_TEST_MODULE segment_log
#include <boost/test/unit_test.hpp>

#include "base/error.h"
#include "disk/fake_files.h"
#include "disk/segment_log.h"

namespace fuchsiaramp {

static constexpr std::uint64_t kMaxBytes = 1 << 20;

static wire::LogEntry
Entry(std::uint64_t aIndex, std::uint64_t aTerm)
{
  wire::LogEntry entry;
  entry.set_index(aIndex);
  entry.set_term(aTerm);
  entry.set_command("command " + std::to_string(aIndex));
  return entry;
}

BOOST_AUTO_TEST_CASE(SyncedRecordsSurviveACrash)
{
  Random random(1);
  for (int round = 0; round < 200; ++round) {
    FakeFiles disk;
    StoredState stored;
    SegmentLog log(disk.Hooks(), random, kMaxBytes);
    BOOST_REQUIRE(!log.Open(stored));
    const std::uint64_t diskId = stored.hardState.disk_id();
    stored.hardState.set_term(3);
    BOOST_REQUIRE(
      !log.Hooks().append(stored.hardState, { Entry(1, 1), Entry(2, 1) }));
    BOOST_REQUIRE(!log.Hooks().append(stored.hardState, { Entry(2, 3) }));
    // An append without a sync.
    disk.Hooks().append("segment-1", "torn write of an entry record");
    disk.Crash(random);
    SegmentLog reopened(disk.Hooks(), random, kMaxBytes);
    StoredState recovered;
    const std::error_code error = reopened.Open(recovered);
    if (error) {
      // A torn write at least as long as a header is indistinguishable from
      // corruption.
      BOOST_TEST(error == ErrorCode::kCorruptLog);
      continue;
    }
    BOOST_TEST(recovered.hardState.disk_id() == diskId);
    BOOST_TEST(recovered.hardState.term() == 3u);
    BOOST_REQUIRE(recovered.entries.size() == 2u);
    BOOST_TEST(recovered.entries[1].term() == 3u);
  }
}

BOOST_AUTO_TEST_CASE(HostsWhoseNameIsNotUtf8AreReadAgain)
{
  FakeFiles disk;
  Random random(4);
  StoredState stored;
  SegmentLog log(disk.Hooks(), random, kMaxBytes);
  BOOST_REQUIRE(!log.Open(stored));
  stored.hardState.set_term(3);
  stored.hardState.set_voted_for("a\xff");
  wire::LogEntry entry = Entry(4, 1);
  entry.mutable_configuration()->add_members()->set_host("a\xff");
  entry.mutable_configuration()->add_members()->set_host("b");
  wire::SnapshotMeta meta;
  *meta.mutable_configuration() = entry.configuration();
  meta.set_index(3);
  BOOST_REQUIRE(
    !log.Hooks().saveSnapshot(stored.hardState, meta, "state", { entry }));
  SegmentLog reopened(disk.Hooks(), random, kMaxBytes);
  StoredState recovered;
  BOOST_REQUIRE(!reopened.Open(recovered));
  BOOST_TEST(recovered.hardState.term() == 3u);
  BOOST_TEST(recovered.hardState.disk_id() == stored.hardState.disk_id());
  BOOST_TEST(recovered.snapshotMeta.index() == 3u);
  BOOST_TEST(recovered.snapshotMeta.configuration().members_size() == 2);
  BOOST_REQUIRE(recovered.entries.size() == 1u);
  BOOST_TEST(recovered.entries[0].configuration().members(1).host() == "b");
  BOOST_TEST(reopened.EscapedTexts() == 3u);
}

BOOST_AUTO_TEST_CASE(SnapshotReplacesTheLogAtomically)
{
  FakeFiles disk;
  Random random(2);
  StoredState stored;
  SegmentLog log(disk.Hooks(), random, kMaxBytes);
  BOOST_REQUIRE(!log.Open(stored));
  log.Hooks().append(stored.hardState, { Entry(1, 1), Entry(2, 1) });
  wire::SnapshotMeta meta;
  meta.set_index(1);
  meta.set_term(1);
  log.Hooks().saveSnapshot(stored.hardState, meta, "state", { Entry(2, 1) });
  disk.Crash(random);
  SegmentLog reopened(disk.Hooks(), random, kMaxBytes);
  StoredState recovered;
  BOOST_REQUIRE(!reopened.Open(recovered));
  BOOST_TEST(recovered.snapshot == "state");
  BOOST_TEST(recovered.snapshotMeta.index() == 1u);
  BOOST_TEST(recovered.entries.size() == 1u);
}

BOOST_AUTO_TEST_CASE(DetectsEveryFlippedBitOfSyncedData)
{
  Random random(3);
  for (int round = 0; round < 500; ++round) {
    FakeFiles disk;
    StoredState stored;
    SegmentLog log(disk.Hooks(), random, kMaxBytes);
    BOOST_REQUIRE(!log.Open(stored));
    log.Hooks().append(stored.hardState, { Entry(1, 1), Entry(2, 1) });
    BOOST_REQUIRE(disk.FlipBit(random));
    SegmentLog reopened(disk.Hooks(), random, kMaxBytes);
    StoredState recovered;
    BOOST_TEST(reopened.Open(recovered) == ErrorCode::kCorruptLog);
  }
}

BOOST_AUTO_TEST_CASE(ReportsFailedSyncAndFullDisk)
{
  FakeFiles disk;
  StoredState stored;
  SegmentLog log(disk.Hooks(), Random(4), 300);
  BOOST_REQUIRE(!log.Open(stored));
  std::error_code error;
  std::uint64_t index = 1;
  while (!error) {
    error = log.Hooks().append(stored.hardState, { Entry(index++, 1) });
  }
  BOOST_TEST(error == ErrorCode::kDiskFull);
  SegmentLog other(disk.Hooks(), Random(4), kMaxBytes);
  BOOST_REQUIRE(!other.Open(stored));
  disk.FailSyncs();
  BOOST_TEST(other.Hooks().append(stored.hardState, {}) ==
             ErrorCode::kSyncFailed);
}

} // namespace fuchsiaramp
