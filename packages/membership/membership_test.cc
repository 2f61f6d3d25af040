#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "membership/membership.h"
#include "testing/fake_network.h"

namespace fuchsiaramp {

class Fleet
{
public:
  Fleet(std::size_t aSize, std::uint64_t aSeed)
    : m_network({}, Random(aSeed))
    , m_now(FromMicros(1'000'000))
  {
    for (std::size_t i = 0; i < aSize; ++i) {
      const HostId host = Host(i);
      MembershipOptions options;
      options.self.set_host(host.Value());
      options.self.set_incarnation(1);
      options.seeds = { Host(0) };
      MembershipHooks hooks;
      hooks.send = [this, host](const HostId& aTo,
                                const wire::Gossip& aMessage) {
        m_bytes += aMessage.ByteSizeLong();
        m_network.Send(host, aTo, aMessage, m_now);
      };
      hooks.hostChanged = [](const wire::HostRecord&) {};
      hooks.serverChanged = [this,
                             host](const wire::BackendServerRecord& aRecord) {
        if (aRecord.state() == wire::BackendServerRecord::GONE) {
          m_serversInUse[host].erase(aRecord.id());
        } else {
          m_serversInUse[host].insert(aRecord.id());
        }
      };
      hooks.listsVersion = [] { return 0; };
      hooks.peerListsVersion = [](const HostId&, std::uint64_t) {};
      hooks.record = [](const Event&) {};
      m_nodes[host] =
        std::make_unique<Membership>(options, hooks, Random(aSeed + i), m_now);
    }
  }

  static HostId Host(std::size_t aIndex)
  {
    return HostId("entry-" + std::to_string(aIndex));
  }

  Membership& Node(std::size_t aIndex) { return *m_nodes.at(Host(aIndex)); }
  FakeNetwork<wire::Gossip>& Network() { return m_network; }
  void Kill(std::size_t aIndex) { m_nodes.erase(Host(aIndex)); }
  TimePoint Now() const { return m_now; }
  std::uint64_t Bytes() const { return m_bytes; }

  // Runs until the condition holds or aLimit has passed; returns whether the
  // condition holds.
  bool RunUntil(const std::function<bool()>& aCondition, Duration aLimit)
  {
    const TimePoint end = m_now + aLimit;
    while (m_now < end && !aCondition()) {
      m_now += std::chrono::milliseconds(10);
      while (auto delivery = m_network.Next(m_now)) {
        const auto it = m_nodes.find(delivery->to);
        if (it != m_nodes.end()) {
          it->second->OnGossip(delivery->from, delivery->message, m_now);
        }
      }
      for (auto& [host, node] : m_nodes) {
        node->Tick(m_now);
      }
    }
    return aCondition();
  }

  bool AllHostsSee(std::size_t aAlive) const
  {
    for (const auto& [host, node] : m_nodes) {
      if (node->AliveHosts().size() != aAlive) {
        return false;
      }
    }
    return true;
  }

  bool AllHaveServer(const std::string& aWatcher,
                     wire::BackendServerRecord::State aState) const
  {
    for (const auto& [host, node] : m_nodes) {
      const auto it = node->Table().Servers().find(aWatcher + "\ns1");
      if (it == node->Table().Servers().end() || it->second.state() != aState) {
        return false;
      }
    }
    return true;
  }

  std::map<HostId, std::set<std::string>> m_serversInUse;

private:
  FakeNetwork<wire::Gossip> m_network;
  TimePoint m_now;
  std::map<HostId, std::unique_ptr<Membership>> m_nodes;
  std::uint64_t m_bytes = 0;
};

static constexpr Duration kMinute = std::chrono::minutes(1);

BOOST_AUTO_TEST_CASE(AllHostsDiscoverEachOtherAndDetectADeadHost)
{
  Fleet fleet(30, 1);
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHostsSee(30); }, kMinute));
  fleet.Kill(7);
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHostsSee(29); }, kMinute));
}

BOOST_AUTO_TEST_CASE(AOneWayPartitionBetweenTwoHostsRemovesNoHost)
{
  Fleet fleet(10, 2);
  BOOST_REQUIRE(fleet.RunUntil([&] { return fleet.AllHostsSee(10); }, kMinute));
  fleet.Network().Cut(Fleet::Host(3), Fleet::Host(4));
  const bool lost =
    fleet.RunUntil([&] { return !fleet.AllHostsSee(10); }, kMinute);
  BOOST_TEST(!lost);
}

BOOST_AUTO_TEST_CASE(AnnouncementsSpreadAndExpire)
{
  Fleet fleet(30, 3);
  BOOST_REQUIRE(fleet.RunUntil([&] { return fleet.AllHostsSee(30); }, kMinute));
  wire::BackendServerRecord server;
  server.set_id("s1");
  server.set_incarnation(1);
  fleet.Node(5).Watch(server, fleet.Now());
  const auto up = [&] {
    return fleet.AllHaveServer("entry-5", wire::BackendServerRecord::UP);
  };
  const auto gone = [&] {
    return fleet.AllHaveServer("entry-5", wire::BackendServerRecord::GONE);
  };
  BOOST_TEST(fleet.RunUntil(up, kMinute));
  BOOST_TEST(fleet.RunUntil(gone, kMinute));
}

BOOST_AUTO_TEST_CASE(BothSidesOfAPartitionRejoinAfterItHeals)
{
  Fleet fleet(8, 4);
  BOOST_REQUIRE(fleet.RunUntil([&] { return fleet.AllHostsSee(8); }, kMinute));
  for (std::size_t i = 0; i < 4; ++i) {
    for (std::size_t j = 4; j < 8; ++j) {
      fleet.Network().Cut(Fleet::Host(i), Fleet::Host(j));
      fleet.Network().Cut(Fleet::Host(j), Fleet::Host(i));
    }
  }
  BOOST_REQUIRE(fleet.RunUntil([&] { return fleet.AllHostsSee(4); }, kMinute));
  fleet.Network().HealAll();
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHostsSee(8); }, kMinute));
}

static wire::BackendServerRecord
Announcement(const std::string& aId, const std::string& aAddress)
{
  wire::BackendServerRecord announcement;
  announcement.set_incarnation(1);
  announcement.set_service("profile");
  announcement.set_id(aId);
  announcement.set_address(aAddress);
  return announcement;
}

BOOST_AUTO_TEST_CASE(
  OddServersOfAnotherWriterAreUsedByNoHostAndTheOthersAreByAll)
{
  Fleet fleet(4, 1);
  BOOST_TEST(
    fleet.RunUntil([&] { return fleet.Node(3).AliveHosts().size() == 4; },
                   std::chrono::seconds(20)));
  fleet.Node(1).Watch(Announcement("port", "10.0.0.1:65536"), fleet.Now());
  fleet.Node(1).Watch(Announcement("a", "10.0.0.2:80"), fleet.Now());
  fleet.Node(1).Watch(Announcement("", "10.0.0.3:80"), fleet.Now());
  wire::BackendServerRecord state = Announcement("state", "10.0.0.4:80");
  state.set_state(static_cast<wire::BackendServerRecord::State>(7));
  fleet.Node(1).Watch(state, fleet.Now());
  const std::set<std::string> valid = { "a" };
  BOOST_TEST(fleet.RunUntil(
    [&] {
      return fleet.m_serversInUse[Fleet::Host(0)] == valid &&
             fleet.m_serversInUse[Fleet::Host(3)] == valid;
    },
    std::chrono::milliseconds(1500)));
  // All hosts hold the same records, so they need no further synchronisation.
  BOOST_TEST(fleet.RunUntil(
    [&] {
      return fleet.Node(0).Table().TotalDigest() ==
             fleet.Node(3).Table().TotalDigest();
    },
    std::chrono::seconds(5)));
}

// The host took on an incarnation of 0 and could not be heard of again.
BOOST_AUTO_TEST_CASE(AFalseRecordWithTheLargestCountersDoesNotOutdoAHost)
{
  for (const bool incarnation : { true, false }) {
    Fleet fleet(3, 1);
    BOOST_TEST(
      fleet.RunUntil([&] { return fleet.Node(2).AliveHosts().size() == 3; },
                     std::chrono::seconds(20)));
    wire::Gossip gossip;
    gossip.set_kind(wire::Gossip::SYNC);
    wire::HostRecord* odd = gossip.add_hosts();
    odd->set_host(Fleet::Host(1).Value());
    odd->set_state(wire::HostRecord::DEAD);
    odd->set_incarnation(incarnation ? UINT64_MAX : 1);
    odd->set_revision(UINT64_MAX);
    for (const std::size_t receiver : { 1, 2 }) {
      fleet.Node(receiver).OnGossip(Fleet::Host(0), gossip, fleet.Now());
    }
    fleet.RunUntil([] { return false; }, std::chrono::seconds(10));
    BOOST_TEST(fleet.Node(0).IsAlive(Fleet::Host(1)));
    BOOST_TEST(fleet.Node(2).IsAlive(Fleet::Host(1)));
    BOOST_TEST(fleet.Node(1).Self().incarnation() >= 1u);
  }
}

} // namespace fuchsiaramp
