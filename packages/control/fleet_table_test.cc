#define BOOST_TEST_MODULE fleet_table
#include <boost/test/unit_test.hpp>

#include "control/fleet_table.h"

namespace fuchsiaramp {

static const TimePoint kStart = FromMicros(1'000'000);

static const Region kNorth("north");

static wire::HostRecord
Host(const std::string& aName, const std::string& aRegion)
{
  wire::HostRecord record;
  record.set_host(aName);
  record.set_region(aRegion);
  record.set_failure_domain(aRegion + "-a");
  record.set_incarnation(1);
  return record;
}

BOOST_AUTO_TEST_CASE(HostsOfEachRegionAreListedAndAllAreCounted)
{
  FleetTable table;
  table.Heard(Host("a", "north"), kStart);
  wire::FleetView other;
  *other.add_hosts() = Host("b", "north");
  *other.add_hosts() = Host("c", "south");
  other.set_digest(7);
  other.set_whole(true);
  BOOST_TEST(!table.HeardView(HostId("control-2"), other, kStart));
  BOOST_TEST(table.Near(kNorth).size() == 2u);
  BOOST_TEST(table.Near(Region("south")).size() == 1u);
  BOOST_TEST(table.DomainSizes() == std::vector<std::size_t>({ 2, 1 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(OnlyChangesAreToldInFull)
{
  FleetTable table;
  table.Heard(Host("a", "north"), kStart);
  BOOST_TEST(table.TakeNews(kStart)->whole());
  table.Heard(Host("a", "north"), kStart + std::chrono::seconds(1));
  BOOST_TEST(!table.TakeNews(kStart + std::chrono::seconds(1)));
  const auto refresh = table.TakeNews(kStart + std::chrono::seconds(6));
  BOOST_REQUIRE(refresh.has_value());
  BOOST_TEST(!refresh->whole());
  BOOST_TEST(refresh->hosts_size() == 0);
}

BOOST_AUTO_TEST_CASE(AMissedChangeIsAskedFor)
{
  FleetTable sender;
  FleetTable receiver;
  sender.Heard(Host("a", "north"), kStart);
  sender.TakeNews(kStart); // lost
  const TimePoint later = kStart + std::chrono::milliseconds(1000);
  const auto refresh = sender.TakeNews(later + std::chrono::seconds(6));
  const HostId from("control-1");
  BOOST_TEST(receiver.HeardView(from, *refresh, later));
  BOOST_TEST(!receiver.HeardView(from, sender.OwnView(), later));
  BOOST_TEST(receiver.Near(kNorth).size() == 1u);
}

BOOST_AUTO_TEST_CASE(SilentHostsAndViewsAreForgotten)
{
  FleetTable table;
  table.Heard(Host("a", "north"), kStart);
  wire::FleetView other;
  *other.add_hosts() = Host("b", "north");
  other.set_digest(7);
  other.set_whole(true);
  table.HeardView(HostId("control-2"), other, kStart);
  table.Tick(kStart + std::chrono::seconds(3));
  BOOST_TEST(table.Near(kNorth).size() == 1u);
  table.Tick(kStart + std::chrono::seconds(13));
  BOOST_TEST(table.DomainSizes().empty());
}

BOOST_AUTO_TEST_CASE(ALeavingHostIsNotListedAsAliveByAnOlderView)
{
  FleetTable table;
  wire::FleetView other;
  *other.add_hosts() = Host("a", "north");
  other.set_digest(7);
  other.set_whole(true);
  table.HeardView(HostId("control-2"), other, kStart);
  wire::HostRecord leaving = Host("a", "north");
  leaving.set_state(wire::HostRecord::LEAVING);
  table.Heard(leaving, kStart);
  BOOST_REQUIRE(table.Near(kNorth).size() == 1u);
  BOOST_TEST(table.Near(kNorth)[0].state() == wire::HostRecord::LEAVING);
  // Only that news is urgent.
  BOOST_TEST(table.LeavingVersion() == table.Version());
  table.Heard(Host("b", "north"), kStart);
  BOOST_TEST(table.LeavingVersion() < table.Version());
}

} // namespace fuchsiaramp
