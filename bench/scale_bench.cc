// Measures what grows with the fleet: the gossip traffic of entry hosts, and
// the time until all hosts know a new version of the lists or the failure of a
// host.
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>

#include "membership/membership.h"
#include "observe/metrics.h"
#include "testing/fake_network.h"

namespace fuchsiaramp {

class GossipFleet
{
public:
  explicit GossipFleet(std::size_t aSize)
    : m_network({}, Random(1))
    , m_now(FromMicros(1'000'000))
  {
    for (std::size_t i = 0; i < aSize; ++i) {
      const HostId host("entry-" + std::to_string(i));
      MembershipOptions options;
      options.self.set_host(host.Value());
      options.self.set_incarnation(1'796'346'817'645'072);
      options.self.set_region("r1");
      options.self.set_failure_domain("r1-a");
      options.self.set_message_address("10.0.0.1:7000");
      options.self.set_caller_address("10.0.0.1:8000");
      options.self.set_public_key(std::string(40, 'k'));
      options.seeds = { HostId("entry-0") };
      MembershipHooks hooks;
      hooks.send = [this, host](const HostId& aTo,
                                const wire::Gossip& aMessage) {
        m_bytes += aMessage.ByteSizeLong();
        ++m_messages;
        m_network.Send(host, aTo, aMessage, m_now);
      };
      hooks.hostChanged = [](const wire::HostRecord&) {};
      hooks.serverChanged = [](const wire::BackendServerRecord&) {};
      std::uint64_t& version = m_versions[host];
      hooks.listsVersion = [&version] { return version; };
      // Adopts the newer version of a peer at once; a real host pulls it, which
      // takes one more round trip.
      hooks.peerListsVersion = [&version](const HostId&, std::uint64_t aOther) {
        version = std::max(version, aOther);
      };
      hooks.record = [](const Event&) {};
      m_nodes[host] =
        std::make_unique<Membership>(options, hooks, Random(i + 1), m_now);
    }
  }

  void Run(Duration aSpan, const std::function<bool()>& aUntil = nullptr)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end && !(aUntil && aUntil())) {
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
  }

  bool AllKnowAliveHosts(std::size_t aAlive) const
  {
    for (const auto& [host, node] : m_nodes) {
      if (node->AliveHosts().size() != aAlive) {
        return false;
      }
    }
    return true;
  }

  bool AllHaveVersion(std::uint64_t aVersion) const
  {
    for (const auto& [host, version] : m_versions) {
      if (m_nodes.count(host) != 0 && version < aVersion) {
        return false;
      }
    }
    return true;
  }

  FakeNetwork<wire::Gossip> m_network;
  TimePoint m_now;
  std::map<HostId, std::uint64_t> m_versions;
  std::map<HostId, std::unique_ptr<Membership>> m_nodes;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_messages = 0;
};

static void
MeasureGossip(std::size_t aSize)
{
  GossipFleet fleet(aSize);
  fleet.Run(std::chrono::seconds(120),
            [&] { return fleet.AllKnowAliveHosts(aSize); });
  fleet.Run(std::chrono::seconds(10));
  fleet.m_bytes = 0;
  fleet.m_messages = 0;
  const double before = ProcessCpuSeconds();
  fleet.Run(std::chrono::seconds(10));
  const double hosts = static_cast<double>(aSize) * 10.0;
  std::cout << "  " << aSize << " -> "
            << static_cast<double>(fleet.m_messages) / hosts << "  "
            << static_cast<double>(fleet.m_bytes) / hosts << "  "
            << (ProcessCpuSeconds() - before) * 1e6 / hosts;
  // One change of the lists, then the failure of one host.
  TimePoint start = fleet.m_now;
  fleet.m_versions[HostId("entry-3")] = 2;
  fleet.Run(std::chrono::seconds(60), [&] { return fleet.AllHaveVersion(2); });
  std::cout << "  " << ToSeconds(fleet.m_now - start);
  start = fleet.m_now;
  fleet.m_nodes.erase(HostId("entry-5"));
  fleet.m_bytes = 0;
  fleet.Run(std::chrono::seconds(60),
            [&] { return fleet.AllKnowAliveHosts(aSize - 1); });
  const double seconds = ToSeconds(fleet.m_now - start);
  std::cout << "  " << seconds << "  "
            << static_cast<double>(fleet.m_bytes) /
                 (static_cast<double>(aSize) * seconds)
            << std::endl;
}

} // namespace fuchsiaramp

int
main()
{
  std::cout << std::setprecision(4)
            << "entry hosts -> idle: messages/s, bytes/s, CPU us/s per "
               "host; s until all hosts know a version; s until all "
               "hosts know a failure, bytes/s per host meanwhile\n";
  for (const std::size_t size : { 30, 100, 300 }) {
    fuchsiaramp::MeasureGossip(size);
  }
  return 0;
}
