#define BOOST_TEST_MODULE host_cells
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

#include "routing/host_cells.h"

namespace fuchsiaramp {

template<class Id>
static std::vector<Id>
MakeIds(const std::string& aPrefix, int aCount)
{
  std::vector<Id> ids;
  ids.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    ids.emplace_back(aPrefix + std::to_string(i));
  }
  return ids;
}

BOOST_AUTO_TEST_CASE(FewHostsFormOneCell)
{
  const auto hosts = MakeIds<HostId>("h", 6);
  const auto servers = MakeIds<BackendServerId>("s", 40);
  const Cell cell = SelectCell(hosts[2], hosts, servers, CellOptions());
  BOOST_TEST(cell.cells == 1U);
  BOOST_TEST(cell.peers.size() == 5U);
  BOOST_TEST(cell.servers.size() == 40U);
}

// Each server has hosts that place on it, and hosts of a cell agree on it.
BOOST_AUTO_TEST_CASE(CellsPartitionHostsAndServersEvenly)
{
  const auto hosts = MakeIds<HostId>("h", 49);
  const auto servers = MakeIds<BackendServerId>("s", 108);
  std::map<BackendServerId, int> hostsOfServer;
  for (const HostId& host : hosts) {
    const Cell cell = SelectCell(host, hosts, servers, CellOptions());
    BOOST_TEST(cell.cells == 9U);
    BOOST_TEST(cell.peers.size() >= 4U);
    BOOST_TEST(cell.peers.size() <= 5U);
    BOOST_TEST(cell.servers.size() == 12U);
    for (const HostId& peer : cell.peers) {
      const Cell other = SelectCell(peer, hosts, servers, CellOptions());
      BOOST_TEST((other.servers == cell.servers));
    }
    for (const BackendServerId& server : cell.servers) {
      ++hostsOfServer[server];
    }
  }
  BOOST_TEST(hostsOfServer.size() == 108U);
}

// A service with few servers has larger cells, so that none is without servers.
BOOST_AUTO_TEST_CASE(CellsOfSmallServicesHaveEnoughServers)
{
  const auto hosts = MakeIds<HostId>("h", 49);
  const auto servers = MakeIds<BackendServerId>("s", 12);
  for (const HostId& host : hosts) {
    const Cell cell = SelectCell(host, hosts, servers, CellOptions());
    BOOST_TEST(cell.cells == 4U);
    BOOST_TEST(cell.servers.size() == 3U);
  }
}

BOOST_AUTO_TEST_CASE(ALeavingServerMovesFewOthers)
{
  const auto hosts = MakeIds<HostId>("h", 20);
  auto servers = MakeIds<BackendServerId>("s", 40);
  const Cell before = SelectCell(hosts[0], hosts, servers, CellOptions());
  servers.erase(servers.begin() + 17);
  const Cell after = SelectCell(hosts[0], hosts, servers, CellOptions());
  std::vector<BackendServerId> lost;
  std::set_difference(before.servers.begin(),
                      before.servers.end(),
                      after.servers.begin(),
                      after.servers.end(),
                      std::back_inserter(lost));
  BOOST_TEST(lost.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(AHostWithoutCallersSeesAllServers)
{
  const auto hosts = MakeIds<HostId>("h", 20);
  const auto servers = MakeIds<BackendServerId>("s", 40);
  const Cell cell = SelectCell(HostId("other"), hosts, servers, CellOptions());
  BOOST_TEST(cell.servers.size() == 40U);
  BOOST_TEST(cell.peers.size() == 20U);
}

BOOST_AUTO_TEST_CASE(NoServersAndNoHosts)
{
  const Cell cell = SelectCell(HostId("h"), {}, {}, CellOptions());
  BOOST_TEST(cell.peers.empty());
  BOOST_TEST(cell.servers.empty());
}

} // namespace fuchsiaramp
