#define BOOST_TEST_MODULE fleet_table
#include <boost/test/unit_test.hpp>

#include "control/fleet_table.h"

namespace fuchsiaramp {

static const TimePoint kStart = FromMicros(1'000'000);

// Changes of kStart are merged by then.
static const TimePoint kMerged = kStart + std::chrono::milliseconds(100);

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

BOOST_AUTO_TEST_CASE(HostsAreListedByRegionAndCountedByFailureDomain)
{
  FleetTable table;
  table.UpdateHost(Host("a", "north"), kStart);
  wire::FleetView other;
  *other.add_hosts() = Host("b", "north");
  *other.add_hosts() = Host("c", "south");
  other.set_digest(7);
  other.set_whole(true);
  BOOST_TEST(!table.UpdateView(HostId("control-2"), other, kStart));
  table.Tick(kMerged);
  BOOST_TEST(table.HostsInRegion(kNorth).size() == 2u);
  BOOST_TEST(table.HostsInRegion(Region("south")).size() == 1u);
  BOOST_TEST(table.DomainSizes() == std::vector<std::size_t>({ 2, 1 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(OnlyChangesAreSent)
{
  FleetTable table;
  table.UpdateHost(Host("a", "north"), kStart);
  BOOST_TEST(table.TakeUpdate(kStart)->hosts_size() == 1);
  table.UpdateHost(Host("a", "north"), kStart + std::chrono::seconds(1));
  BOOST_TEST(!table.TakeUpdate(kStart + std::chrono::seconds(1)));
  const auto refresh = table.TakeUpdate(kStart + std::chrono::seconds(6));
  BOOST_REQUIRE(refresh.has_value());
  BOOST_TEST(!refresh->whole());
  BOOST_TEST(refresh->hosts_size() == 0);
}

BOOST_AUTO_TEST_CASE(AHundredHostsThatJoinTogetherAreSentOnceAndMergedOnce)
{
  FleetTable sender;
  FleetTable receiver;
  const HostId from("control-1");
  std::size_t updates = 0;
  std::size_t records = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = kStart + std::chrono::milliseconds(i);
    sender.UpdateHost(Host(std::to_string(i), "north"), now);
    if (const auto update = sender.TakeUpdate(now)) {
      ++updates;
      records += static_cast<std::size_t>(update->hosts_size());
      BOOST_TEST(!receiver.UpdateView(from, *update, now));
    }
  }
  const TimePoint later = kStart + std::chrono::milliseconds(300);
  const auto update = sender.TakeUpdate(later);
  BOOST_REQUIRE(update.has_value());
  records += static_cast<std::size_t>(update->hosts_size());
  BOOST_TEST(updates == 1u);
  BOOST_TEST(records == 100u);
  BOOST_TEST(!receiver.UpdateView(from, *update, later));
  receiver.Tick(later);
  BOOST_TEST(receiver.HostsInRegion(kNorth).size() == 100u);
  BOOST_TEST(receiver.Version() <= 3u);
}

BOOST_AUTO_TEST_CASE(AChangeOfAViewThatWasMissedIsNotApplied)
{
  FleetTable sender;
  FleetTable receiver;
  const HostId from("control-1");
  sender.UpdateHost(Host("a", "north"), kStart);
  receiver.UpdateView(from, *sender.TakeUpdate(kStart), kStart);
  const TimePoint second = kStart + std::chrono::seconds(1);
  sender.UpdateHost(Host("b", "north"), second);
  sender.TakeUpdate(second); // lost
  const TimePoint third = kStart + std::chrono::milliseconds(1500);
  sender.UpdateHost(Host("c", "north"), third);
  BOOST_TEST(receiver.UpdateView(from, *sender.TakeUpdate(third), third));
  BOOST_TEST(!receiver.UpdateView(from, sender.OwnView(), third));
  receiver.Tick(third + std::chrono::milliseconds(100));
  BOOST_TEST(receiver.HostsInRegion(kNorth).size() == 3u);
}

BOOST_AUTO_TEST_CASE(AMissedChangeIsRequested)
{
  FleetTable sender;
  FleetTable receiver;
  sender.UpdateHost(Host("a", "north"), kStart);
  sender.TakeUpdate(kStart); // lost
  const TimePoint later = kStart + std::chrono::milliseconds(1000);
  const auto refresh = sender.TakeUpdate(later + std::chrono::seconds(6));
  const HostId from("control-1");
  BOOST_TEST(receiver.UpdateView(from, *refresh, later));
  BOOST_TEST(!receiver.UpdateView(from, sender.OwnView(), later));
  BOOST_TEST(receiver.HostsInRegion(kNorth).size() == 1u);
}

BOOST_AUTO_TEST_CASE(AHostThatIsOffTogetherWithItsControlHostIsSoonForgotten)
{
  FleetTable table;
  wire::FleetView view;
  *view.add_hosts() = Host("b", "north");
  view.set_digest(7);
  view.set_whole(true);
  table.UpdateView(HostId("control-2"), view, kStart);
  table.Tick(kStart + std::chrono::seconds(6));
  BOOST_TEST(table.HostsInRegion(kNorth).empty());
}

BOOST_AUTO_TEST_CASE(AViewOutlivesOneMissedRefresh)
{
  FleetTable sender;
  FleetTable receiver;
  const HostId from("control-2");
  sender.UpdateHost(Host("b", "north"), kStart);
  receiver.UpdateView(from, *sender.TakeUpdate(kStart), kStart);
  int refreshes = 0;
  for (int i = 1; i <= 200; ++i) {
    const TimePoint now = kStart + std::chrono::milliseconds(100) * i;
    const auto refresh = sender.TakeUpdate(now);
    if (refresh && refreshes++ % 2 == 1) {
      receiver.UpdateView(from, *refresh, now);
    }
    receiver.Tick(now);
    BOOST_TEST(receiver.HostsInRegion(kNorth).size() == 1u);
  }
}

BOOST_AUTO_TEST_CASE(HostsAndViewsExpireWithoutUpdates)
{
  FleetTable table;
  table.UpdateHost(Host("a", "north"), kStart);
  wire::FleetView other;
  *other.add_hosts() = Host("b", "north");
  other.set_digest(7);
  other.set_whole(true);
  table.UpdateView(HostId("control-2"), other, kStart);
  table.Tick(kStart + std::chrono::seconds(3));
  BOOST_TEST(table.HostsInRegion(kNorth).size() == 1u);
  table.Tick(kStart + std::chrono::seconds(13));
  BOOST_TEST(table.DomainSizes().empty());
}

BOOST_AUTO_TEST_CASE(AnOlderViewDoesNotOverrideALeavingHost)
{
  FleetTable table;
  wire::FleetView other;
  *other.add_hosts() = Host("a", "north");
  other.set_digest(7);
  other.set_whole(true);
  table.UpdateView(HostId("control-2"), other, kStart);
  wire::HostRecord leaving = Host("a", "north");
  leaving.set_state(wire::HostRecord::LEAVING);
  table.UpdateHost(leaving, kStart);
  table.Tick(kMerged);
  BOOST_REQUIRE(table.HostsInRegion(kNorth).size() == 1u);
  BOOST_TEST(table.HostsInRegion(kNorth)[0].state() ==
             wire::HostRecord::LEAVING);
  // Only the change to leaving is urgent and raises NearWithdrawnVersion().
  const FailureDomain domain("north-a");
  BOOST_TEST(table.NearWithdrawnVersion(kNorth, domain) == table.Version());
  table.UpdateHost(Host("b", "north"), kStart);
  table.Tick(kMerged + std::chrono::milliseconds(100));
  BOOST_TEST(table.NearWithdrawnVersion(kNorth, domain) < table.Version());
  BOOST_TEST(table.NearVersion(kNorth, domain) == table.Version());
}

static wire::HostRecord
HostIn(const std::string& aDomain, int aIndex)
{
  wire::HostRecord record =
    Host(aDomain + "-" + std::to_string(aIndex), "north");
  record.set_failure_domain(aDomain);
  return record;
}

// In a large failure domain, hosts know those of the domain alone, and changes
// elsewhere are none to them.
BOOST_AUTO_TEST_CASE(HostsOfLargeDomainsKnowTheirDomain)
{
  FleetTable table;
  const FailureDomain large("large");
  const FailureDomain small("small");
  for (int i = 0; i < 40; ++i) {
    table.UpdateHost(HostIn("large", i), kStart);
  }
  table.UpdateHost(HostIn("small", 0), kStart);
  table.Tick(kMerged);
  BOOST_TEST(table.HostsNear(kNorth, large).size() == 40u);
  BOOST_TEST(table.HostsNear(kNorth, small).size() == 41u);
  const std::uint64_t before = table.NearVersion(kNorth, large);
  wire::HostRecord leaving = HostIn("small", 1);
  leaving.set_state(wire::HostRecord::LEAVING);
  table.UpdateHost(leaving, kStart);
  table.Tick(kMerged + std::chrono::milliseconds(100));
  BOOST_TEST(table.NearVersion(kNorth, large) == before);
  BOOST_TEST(table.NearWithdrawnVersion(kNorth, large) == 0u);
  BOOST_TEST(table.NearVersion(kNorth, small) == table.Version());
  BOOST_TEST(table.NearWithdrawnVersion(kNorth, small) == table.Version());
}

} // namespace fuchsiaramp
