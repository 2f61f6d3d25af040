#define BOOST_TEST_MODULE servers_state
#include <boost/test/unit_test.hpp>

#include "state/servers_state.h"

namespace fuchsiaramp {

using Record = wire::BackendServerRecord;

// A report of server "s" of service "profile".
static Record
Report(std::uint64_t aIncarnation,
       std::uint64_t aSequence,
       Record::State aState = Record::UP)
{
  Record record;
  record.set_id("s");
  record.set_service("profile");
  record.set_address("10.0.0.1:80");
  record.set_slots(2);
  record.set_incarnation(aIncarnation);
  record.set_revision(aSequence);
  record.set_state(aState);
  record.set_watcher("control-1");
  return record;
}

static Record
Deregistration(std::uint64_t aIncarnation)
{
  Record record;
  record.set_id("s");
  record.set_incarnation(aIncarnation);
  record.set_state(Record::GONE);
  return record;
}

BOOST_AUTO_TEST_CASE(RenewalDoesNotChangeTheTable)
{
  ServersState servers;
  BOOST_TEST(servers.WouldChange(Report(1, 1)));
  servers.Report(Report(1, 1));
  const std::uint64_t version = servers.Version();
  BOOST_TEST(!servers.WouldChange(Report(1, 2)));
  servers.Report(Report(1, 2));
  BOOST_TEST(servers.Version() == version);
}

BOOST_AUTO_TEST_CASE(AReportToAnotherControlHostIsNoChangeForFollowers)
{
  ServersState servers;
  servers.Report(Report(1, 1));
  const std::uint64_t version = servers.Version();
  Record moved = Report(1, 2);
  moved.set_watcher("control-2");
  servers.Report(moved);
  BOOST_TEST(servers.Find("s")->watcher() == "control-2");
  BOOST_TEST(servers.Version() > version);
  BOOST_TEST(servers.FollowerVersion() == version);
  BOOST_TEST(servers.Since(version).servers_size() == 0);
  BOOST_TEST(servers.Since(version).to_version() == servers.Version());
  servers.Report(Report(1, 3, Record::LEAVING));
  BOOST_TEST(servers.FollowerVersion() == servers.Version());
  BOOST_TEST(servers.Since(version).servers_size() == 1);
  // A follower that has nothing yet gets all.
  BOOST_TEST(servers.Since(0).servers_size() == 1);
}

BOOST_AUTO_TEST_CASE(LeavingIsFinalWithinAnIncarnation)
{
  ServersState servers;
  servers.Report(Report(1, 1));
  servers.Report(Report(1, 2, Record::LEAVING));
  servers.Report(Report(1, 3));
  BOOST_TEST(servers.Find("s")->state() == Record::LEAVING);
  servers.Report(Report(2, 1));
  BOOST_TEST(servers.Find("s")->state() == Record::UP);
}

BOOST_AUTO_TEST_CASE(LateReportDoesNotRestoreAServer)
{
  ServersState servers;
  servers.Report(Report(1, 5));
  servers.Report(Deregistration(1));
  BOOST_TEST(servers.Find("s")->state() == Record::GONE);
  servers.Report(Report(1, 6));
  BOOST_TEST(servers.Find("s")->state() == Record::GONE);
  servers.Report(Report(2, 1));
  servers.Report(Deregistration(1));
  servers.Report(Report(1, 7));
  BOOST_TEST(servers.Find("s")->state() == Record::UP);
  BOOST_TEST(servers.Find("s")->incarnation() == 2u);
}

BOOST_AUTO_TEST_CASE(ExpiredServerReturnsWithItsNextReport)
{
  ServersState servers;
  servers.Report(Report(1, 1));
  Record expired = *servers.Find("s");
  expired.set_state(Record::GONE);
  expired.set_lapsed(true);
  servers.Report(expired);
  BOOST_TEST(servers.Find("s")->state() == Record::GONE);
  servers.Report(Report(1, 2));
  BOOST_TEST(servers.Find("s")->state() == Record::UP);
}

BOOST_AUTO_TEST_CASE(OnlyTheCurrentWatcherExpiresAServer)
{
  ServersState servers;
  servers.Report(Report(1, 1));
  Record expired = *servers.Find("s");
  Record moved = Report(1, 2);
  moved.set_watcher("control-2");
  servers.Report(moved);
  expired.set_state(Record::GONE);
  expired.set_lapsed(true);
  servers.Report(expired);
  BOOST_TEST(servers.Find("s")->state() == Record::UP);
}

BOOST_AUTO_TEST_CASE(AddressBelongsToTheMostRecentlyStartedServer)
{
  ServersState servers;
  servers.Report(Report(5, 1));
  Record next = Report(9, 1);
  next.set_id("t");
  servers.Report(next);
  BOOST_TEST(servers.Find("s")->state() == Record::GONE);
  BOOST_TEST(servers.Find("t")->state() == Record::UP);
  // A late report of the former holder after a network partition.
  servers.Report(Report(5, 2));
  BOOST_TEST(servers.Find("s")->state() == Record::GONE);
  BOOST_TEST(servers.Find("t")->state() == Record::UP);
}

BOOST_AUTO_TEST_CASE(FollowersReceiveChangedRecords)
{
  ServersState servers;
  servers.Report(Report(1, 1));
  const std::uint64_t seen = servers.Version();
  BOOST_TEST(servers.Since(seen).servers_size() == 0);
  servers.Report(Report(1, 2, Record::LEAVING));
  const wire::ServersDelta delta = servers.Since(seen);
  BOOST_REQUIRE(delta.servers_size() == 1);
  BOOST_TEST(!delta.full());
  BOOST_TEST(delta.servers(0).state() == Record::LEAVING);
  BOOST_TEST(servers.Since(0).full());
}

// A follower may switch to a member that was restored from a snapshot. It must
// receive at least the records that changed since its version.
BOOST_AUTO_TEST_CASE(RestoredTableReturnsAllMissedChanges)
{
  ServersState servers;
  for (std::uint64_t i = 1; i < 6; ++i) {
    Record record = Report(i, 1);
    record.set_id("s" + std::to_string(i % 3));
    record.set_address("10.0.0." + std::to_string(i % 3) + ":80");
    servers.Report(record);
  }
  wire::StateSnapshot snapshot;
  servers.Save(snapshot);
  ServersState restored;
  restored.Restore(snapshot);
  BOOST_TEST(restored.Version() == servers.Version());
  for (std::uint64_t version = 1; version < servers.Version(); ++version) {
    BOOST_TEST(restored.Since(version).servers_size() >=
               servers.Since(version).servers_size());
  }
}

} // namespace fuchsiaramp
