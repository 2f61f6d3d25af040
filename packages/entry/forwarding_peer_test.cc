#define BOOST_TEST_MODULE forwarding_peer
#include <boost/test/unit_test.hpp>

#include "entry/forwarding_peer.h"

namespace fuchsiaramp {

using HostTable = std::unordered_map<std::string, wire::HostRecord>;

static void
AddHost(HostTable& aTable,
        const std::string& aName,
        const std::string& aDomain,
        const std::string& aRegion = "r")
{
  wire::HostRecord& record = aTable[aName];
  record.set_host(aName);
  record.set_region(aRegion);
  record.set_failure_domain(aDomain);
  record.set_caller_address("10.0.0.1:" + std::to_string(aTable.size()));
}

static std::set<std::string>
SelectedPeers(const HostTable& aTable, const std::set<HostId>& aExcluded = {})
{
  Random random(1);
  std::set<std::string> selected;
  for (int i = 0; i < 100; ++i) {
    const wire::HostRecord* peer = SelectForwardingPeer(
      aTable,
      { HostId("self"), Region("r"), FailureDomain("a"), aExcluded },
      random);
    selected.insert(peer == nullptr ? "" : peer->host());
  }
  return selected;
}

BOOST_AUTO_TEST_CASE(SelectsAmongTheClosestHostsThatReachServers)
{
  HostTable table;
  AddHost(table, "self", "a");
  AddHost(table, "a1", "a");
  AddHost(table, "a2", "a");
  AddHost(table, "b1", "b");
  AddHost(table, "c1", "c", "other");
  BOOST_TEST((SelectedPeers(table) == std::set<std::string>{ "a1", "a2" }));
  table["a1"].set_cut_off(true);
  BOOST_TEST((SelectedPeers(table) == std::set<std::string>{ "a2" }));
  table["a2"].set_state(wire::HostRecord::LEAVING);
  BOOST_TEST((SelectedPeers(table) == std::set<std::string>{ "b1" }));
  BOOST_TEST(
    (SelectedPeers(table, { HostId("b1") }) == std::set<std::string>{ "c1" }));
  BOOST_TEST((SelectedPeers(table, { HostId("b1"), HostId("c1") }) ==
              std::set<std::string>{ "" }));
}

BOOST_AUTO_TEST_CASE(APeerWithAnOddAddressIsNotForwardedTo)
{
  HostTable table;
  AddHost(table, "a1", "a");
  AddHost(table, "b1", "b");
  for (const char* odd :
       { "x", "10.0.0.1:0", "10.0.0.1:65536", "0.0.0.0:80" }) {
    table["a1"].set_caller_address(odd);
    BOOST_TEST((SelectedPeers(table) == std::set<std::string>{ "b1" }), odd);
  }
}

} // namespace fuchsiaramp
