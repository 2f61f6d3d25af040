#define BOOST_TEST_MODULE advertised_hosts
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

#include "entry/advertised_hosts.h"

namespace fuchsiaramp {

using HostTable = std::unordered_map<std::string, wire::HostRecord>;

static void
AddHosts(HostTable& aTable,
         const std::string& aRegion,
         const std::string& aDomain,
         int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    const std::string name = aDomain + "-" + std::to_string(i);
    wire::HostRecord& record = aTable[name];
    record.set_host(name);
    record.set_region(aRegion);
    record.set_failure_domain(aDomain);
    record.set_state(wire::HostRecord::ALIVE);
    record.set_caller_address("10.0.0.1:" + std::to_string(i + 1));
  }
}

static std::set<std::string>
AdvertisedNames(const HostTable& aTable, const AdvertisingOptions& aOptions)
{
  std::set<std::string> names;
  for (const wire::HostRecord* host : SelectAdvertisedHosts(
         aTable, Region("r"), FailureDomain("r-a"), aOptions)) {
    names.insert(host->host());
  }
  return names;
}

static const std::string kOddAddresses[] = {
  "",
  "x",
  "10.0.0.1",
  "10.0.0.1:0",
  "10.0.0.1:65536",
  "10.0.0.1:99999999999999999999",
  "0.0.0.0:80",
  "*:80",
  "10.0.0.1:80\r\nX: y",
  std::string(70'000, '['),
};

static const AdvertisingOptions kOneThird{ 1.0 / 3.0, 2 };

BOOST_AUTO_TEST_CASE(LargeDomainAdvertisesMoreHosts)
{
  HostTable small;
  AddHosts(small, "r", "r-a", 5);
  BOOST_TEST(AdvertisedNames(small, kOneThird).size() == 2u);
  HostTable large;
  AddHosts(large, "r", "r-a", 24);
  BOOST_TEST(AdvertisedNames(large, kOneThird).size() == 8u);
}

BOOST_AUTO_TEST_CASE(DomainWithTooFewHostsUsesThoseOfItsRegion)
{
  HostTable table;
  AddHosts(table, "r", "r-a", 1);
  AddHosts(table, "r", "r-b", 3);
  AddHosts(table, "s", "s-a", 3);
  const std::set<std::string> names = AdvertisedNames(table, kOneThird);
  BOOST_TEST(names.size() == 2u);
  BOOST_TEST(names.count("r-a-0") == 1u);
  BOOST_TEST(
    names.count("r-b-0") + names.count("r-b-1") + names.count("r-b-2") == 1u);
}

BOOST_AUTO_TEST_CASE(LeavingHostIsNotAdvertised)
{
  HostTable table;
  AddHosts(table, "r", "r-a", 2);
  table["r-a-0"].set_state(wire::HostRecord::LEAVING);
  BOOST_TEST(AdvertisedNames(table, kOneThird).count("r-a-0") == 0u);
}

BOOST_AUTO_TEST_CASE(HostsWithAnOddCallerAddressAreNotGivenToCallers)
{
  for (const std::string& odd : kOddAddresses) {
    HostTable table;
    AddHosts(table, "r", "r-a", 3);
    AddHosts(table, "r", "r-b", 1);
    table["r-a-0"].set_caller_address(odd);
    table["r-a-1"].set_caller_address(odd);
    const std::set<std::string> expected = { "r-a-2", "r-b-0" };
    BOOST_TEST((AdvertisedNames(table, kOneThird) == expected), odd);
    // It is not the host that keeps those that are cut off from being named.
    table["r-a-2"].set_cut_off(true);
    table["r-b-0"].set_cut_off(true);
    BOOST_TEST((AdvertisedNames(table, kOneThird) == expected), odd);
  }
}

BOOST_AUTO_TEST_CASE(CountsAllAdvertisedHosts)
{
  // Failure domains of 1, 5 and 24 hosts advertise 1, 2 and 8 hosts.
  BOOST_TEST(CountAdvertisedHosts({ 1, 5, 24 }, kOneThird) == 11u);
  BOOST_TEST(CountAdvertisedHosts({}, kOneThird) == 1u);
}

BOOST_AUTO_TEST_CASE(AllHostsWithNarrowLinksAreAdvertised)
{
  BOOST_TEST(ShareForLink(0.25, 1000.0) == 0.25);
  BOOST_TEST(ShareForLink(0.25, 100.0) == 1.0);
  BOOST_TEST(ShareForLink(0.25, 2.0) == 1.0);
  BOOST_TEST(ShareForLink(0.25, 0.0) == 0.25); // unknown
}

// Callers of a failure domain whose hosts all lost the servers need as many
// hosts as before, not just a few.
BOOST_AUTO_TEST_CASE(HostsThatAreCutOffAreReplacedByAsManyOthers)
{
  HostTable table;
  AddHosts(table, "r", "r-a", 12);
  AddHosts(table, "r", "r-b", 12);
  for (int i = 0; i < 12; ++i) {
    table["r-a-" + std::to_string(i)].set_cut_off(true);
  }
  const auto names = AdvertisedNames(table, kOneThird);
  BOOST_TEST(names.size() == 4u);
  for (const std::string& name : names) {
    BOOST_TEST(!table[name].cut_off());
  }
}

BOOST_AUTO_TEST_CASE(AllHostsAreAdvertisedIfAllAreCutOff)
{
  HostTable table;
  AddHosts(table, "r", "r-a", 6);
  const auto before = AdvertisedNames(table, kOneThird);
  for (auto& [name, record] : table) {
    record.set_cut_off(true);
  }
  BOOST_TEST((AdvertisedNames(table, kOneThird) == before));
}

} // namespace fuchsiaramp
