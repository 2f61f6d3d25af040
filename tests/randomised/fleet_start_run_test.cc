// All hosts and servers of a large fleet start at once, and the control hosts
// have a quarter of a core each: the group must form, keep its leader, accept
// the first lists and pass them to all entry hosts.
#define BOOST_TEST_MODULE fleet_start_run
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/control_node.h"
#include "entry/lists_follower.h"
#include "testing/event_queue.h"

namespace fuchsiaramp {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr int kDomains = 9; // one control host each
static constexpr int kSeeds = 3;   // control hosts in all settings
static constexpr int kEntryHosts = 447;
static constexpr int kServers = 1080;
static constexpr Duration kStartSpread = milliseconds(300);
static constexpr Duration kNetworkDelay = milliseconds(20);
static constexpr Duration kTick = milliseconds(20);
static constexpr Duration kEntryTick = milliseconds(50);
static constexpr int kMessagesPerTurn = 256;
// What a control host with a quarter of a core needs to receive or send one
// message, and for each kilobyte and each request of a server.
static constexpr Duration kMessageTime = microseconds(240);
static constexpr Duration kKilobyteTime = microseconds(60);
static constexpr Duration kReportTime = microseconds(600);
static constexpr Duration kSyncTime = milliseconds(5);
static constexpr Duration kEntryKilobyteTime = milliseconds(4); // 2 Mbit/s
// A server reports again after this time, sooner without an acknowledgement.
static constexpr Duration kReportInterval = milliseconds(1500);
static constexpr Duration kReportRetry = seconds(1);
static constexpr Duration kChangeRetry = milliseconds(500);

class FleetStart
{
public:
  explicit FleetStart(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_queue(FromMicros(1'000'000))
  {
    for (int i = 0; i < kDomains; ++i) {
      m_controls.push_back(std::make_unique<Control>());
      m_controls.back()->id = HostId("control-" + std::to_string(i));
      m_indexes[m_controls.back()->id] = i;
    }
    for (int i = 0; i < kDomains; ++i) {
      m_queue.At(StartTime(), [this, i] { StartControl(i); });
    }
    for (int i = 0; i < kEntryHosts; ++i) {
      m_entries.push_back(std::make_unique<Entry>());
      m_entries.back()->id = HostId("entry-" + std::to_string(i));
      m_indexes[m_entries.back()->id] = kDomains + i;
      m_queue.At(StartTime(), [this, i] { StartEntry(i); });
    }
    m_isAcknowledged.resize(kServers);
    for (int i = 0; i < kServers; ++i) {
      m_queue.At(StartTime(), [this, i] { Report(i); });
    }
    m_queue.At(StartTime(), [this] { TryChange(); });
  }

  void RunFor(Duration aSpan) { m_queue.RunUntil(m_queue.Now() + aSpan); }

  // Entry hosts with the lists and nearly all servers.
  int ServingHosts() const
  {
    return static_cast<int>(
      std::count_if(m_entries.begin(), m_entries.end(), [](const auto& aEntry) {
        return aEntry->follower && aEntry->follower->IsServing() &&
               aEntry->servers.size() > kServers * 95 / 100;
      }));
  }
  int AcknowledgedServers() const
  {
    return static_cast<int>(
      std::count(m_isAcknowledged.begin(), m_isAcknowledged.end(), true));
  }

  std::optional<TimePoint> m_changedAt;
  int m_lostLeaders = 0;
  std::size_t m_messages = 0; // handled or sent by control hosts

private:
  struct Arrival
  {
    HostId from;
    wire::Envelope message;
    std::function<void(TimePoint)> call; // instead of a message
  };

  struct Control
  {
    HostId id;
    std::unique_ptr<ControlNode> node;
    StoredState disk;
    std::deque<Arrival> arrived;
    TimePoint turnAt = kNever;
    TimePoint freeAt;
    TimePoint nextTick;
    TimePoint clock; // within a turn
  };

  struct Entry
  {
    HostId id;
    std::unique_ptr<ListsFollower> follower;
    std::set<std::string> servers;
    TimePoint linkFreeAt;
  };

  TimePoint StartTime()
  {
    return m_queue.Now() + Duration(m_random.Below(
                             static_cast<std::uint64_t>(kStartSpread.count())));
  }

  static std::string Domain(int aIndex)
  {
    return "domain-" + std::to_string(aIndex % kDomains);
  }

  std::vector<HostId> Seeds() const
  {
    std::vector<HostId> seeds;
    seeds.reserve(kSeeds);
    for (int i = 0; i < kSeeds; ++i) {
      seeds.push_back(m_controls[static_cast<std::size_t>(i)]->id);
    }
    return seeds;
  }

  void StartControl(int aIndex)
  {
    Control& control = *m_controls[static_cast<std::size_t>(aIndex)];
    control.disk.hardState.set_disk_id(m_random.Bits());
    std::vector<GroupStorage> storage(1);
    storage[0].stored = control.disk;
    storage[0].hooks.append = [&control](const auto&, const auto&) {
      control.clock += kSyncTime;
      return std::error_code();
    };
    storage[0].hooks.saveSnapshot =
      [&control](const auto&, const auto&, const auto&, const auto&) {
        control.clock += kSyncTime;
        return std::error_code();
      };
    ControlHooks hooks;
    hooks.send = [this, &control](const HostId& aTo,
                                  const wire::Envelope& aMessage) {
      control.clock += TimeOf(aMessage);
      ++m_messages;
      Deliver(control.id, aTo, aMessage, control.clock);
    };
    hooks.hostDiscovered = [](const HostId&) {};
    hooks.wallClock = [this] { return ToMicros(m_queue.Now()); };
    hooks.fatal = [](std::error_code) {};
    hooks.record = [this](const Event& aEvent) {
      m_lostLeaders += aEvent.Name() == "leader_lost_quorum" ? 1 : 0;
    };
    ControlOptions options;
    options.self = control.id;
    options.region = Region("r" + std::to_string(aIndex % 3));
    options.failureDomain = FailureDomain(Domain(aIndex));
    options.hosts = Seeds();
    options.consensus.openMembership = true;
    options.consensus.electionTimeout = milliseconds(900);
    options.consensus.heartbeatInterval = milliseconds(300);
    control.node = std::make_unique<ControlNode>(options,
                                                 std::move(storage),
                                                 hooks,
                                                 Random(m_random.Bits()),
                                                 m_queue.Now());
    ScheduleTurn(control, m_queue.Now());
  }

  static Duration TimeOf(const wire::Envelope& aMessage)
  {
    return kMessageTime + kKilobyteTime *
                            static_cast<std::int64_t>(aMessage.ByteSizeLong()) /
                            1024;
  }

  // A turn that was scheduled for a later time does not run then.
  void ScheduleTurn(Control& aControl, TimePoint aAt)
  {
    const TimePoint at = std::max(aAt, aControl.freeAt);
    if (aControl.turnAt <= at) {
      return;
    }
    aControl.turnAt = at;
    m_queue.At(at, [this, &aControl] {
      if (aControl.turnAt == m_queue.Now()) {
        RunTurn(aControl);
      }
    });
  }

  void RunTurn(Control& aControl)
  {
    aControl.turnAt = kNever;
    aControl.clock = m_queue.Now();
    for (int i = 0; i < kMessagesPerTurn && !aControl.arrived.empty(); ++i) {
      const Arrival arrival = std::move(aControl.arrived.front());
      aControl.arrived.pop_front();
      if (arrival.call) {
        aControl.clock += kReportTime;
        arrival.call(aControl.clock);
        continue;
      }
      ++m_messages;
      aControl.clock += TimeOf(arrival.message);
      aControl.node->OnMessage(arrival.from, arrival.message, aControl.clock);
    }
    if (IsDue(aControl.nextTick, m_queue.Now())) {
      aControl.node->Tick(aControl.clock);
      aControl.nextTick = aControl.clock + kTick;
    }
    aControl.node->Flush(aControl.clock);
    aControl.freeAt = aControl.clock;
    const bool isWaiting =
      !aControl.arrived.empty() || aControl.node->HasWaitingUpdates();
    ScheduleTurn(aControl, isWaiting ? aControl.freeAt : aControl.nextTick);
  }

  void Arrive(Control& aControl, Arrival aArrival)
  {
    if (!aControl.node) {
      return;
    }
    aControl.arrived.push_back(std::move(aArrival));
    ScheduleTurn(aControl, m_queue.Now());
  }

  void Deliver(const HostId& aFrom,
               const HostId& aTo,
               const wire::Envelope& aMessage,
               TimePoint aSentAt)
  {
    const auto it = m_indexes.find(aTo);
    if (it == m_indexes.end()) {
      return;
    }
    const std::size_t index = static_cast<std::size_t>(it->second);
    if (index < kDomains) {
      m_queue.At(aSentAt + kNetworkDelay, [this, index, aFrom, aMessage] {
        Arrive(*m_controls[index], { aFrom, aMessage, nullptr });
      });
      return;
    }
    Entry& entry = *m_entries[index - kDomains];
    entry.linkFreeAt = std::max(entry.linkFreeAt, aSentAt + kNetworkDelay) +
                       kEntryKilobyteTime *
                         static_cast<std::int64_t>(aMessage.ByteSizeLong()) /
                         1024;
    m_queue.At(entry.linkFreeAt, [this, &entry, aFrom, aMessage] {
      if (!entry.follower) {
        return;
      }
      if (aMessage.has_lists_push()) {
        entry.follower->OnPush(aFrom, aMessage.lists_push(), m_queue.Now());
      } else if (aMessage.has_lists_pull()) {
        entry.follower->OnPull(aFrom, aMessage.lists_pull(), m_queue.Now());
      }
    });
  }

  void StartEntry(int aIndex)
  {
    Entry& entry = *m_entries[static_cast<std::size_t>(aIndex)];
    ListsFollowerHooks hooks;
    hooks.sendPull = [this, &entry](const HostId& aTo,
                                    const wire::ListsPull& aPull) {
      wire::Envelope envelope;
      *envelope.mutable_lists_pull() = aPull;
      Deliver(entry.id, aTo, envelope, m_queue.Now());
    };
    hooks.sendPush = [this, &entry](const HostId& aTo,
                                    const wire::ListsPush& aPush) {
      wire::Envelope envelope;
      *envelope.mutable_lists_push() = aPush;
      Deliver(entry.id, aTo, envelope, m_queue.Now());
    };
    hooks.aliveHosts = [this] {
      std::vector<HostId> hosts;
      for (const auto& host : m_entries) {
        hosts.push_back(host->id);
      }
      return hosts;
    };
    hooks.groupLeadersChanged = [](const std::vector<std::string>&) {};
    hooks.controlHostsChanged = [](const std::vector<HostId>&) {};
    hooks.entryHostsChanged = [](const std::vector<wire::HostRecord>&) {};
    hooks.domainSizesChanged = [](const std::vector<std::size_t>&) {};
    hooks.receivesOutcomes = [] { return false; };
    hooks.ownRecord = [&entry, aIndex] {
      wire::HostRecord record;
      record.set_host(entry.id.Value());
      record.set_region("r" + std::to_string(aIndex % 3));
      record.set_failure_domain(Domain(aIndex));
      record.set_incarnation(1);
      return std::optional(record);
    };
    hooks.serverChanged = [&entry](const wire::BackendServerRecord& aRecord) {
      entry.servers.insert(aRecord.id());
    };
    hooks.record = [](const Event&) {};
    ListsFollowerOptions options;
    options.self = entry.id;
    options.region = Region("r" + std::to_string(aIndex % 3));
    options.failureDomain = FailureDomain(Domain(aIndex));
    options.controlHosts = Seeds();
    options.pullInterval = milliseconds(500);
    entry.follower = std::make_unique<ListsFollower>(
      options, hooks, Random(m_random.Bits()), m_queue.Now());
    TickEntry(entry);
  }

  void TickEntry(Entry& aEntry)
  {
    aEntry.follower->Tick(m_queue.Now());
    m_queue.At(m_queue.Now() + kEntryTick,
               [this, &aEntry] { TickEntry(aEntry); });
  }

  Control& AnyControl()
  {
    return *m_controls[m_random.Below(m_controls.size())];
  }

  void Report(int aServer)
  {
    wire::BackendServerRecord record;
    record.set_id("i-" + std::to_string(1'000'000 + aServer));
    record.set_service(aServer % 10 == 0 ? "licence" : "profile");
    record.set_address("10.1." + std::to_string(aServer / 200) + '.' +
                       std::to_string(aServer % 200 + 1) + ":8080");
    record.set_region("r" + std::to_string(aServer % 3));
    record.set_failure_domain(Domain(aServer));
    record.set_slots(2);
    record.set_incarnation(1);
    const std::size_t server = static_cast<std::size_t>(aServer);
    Control& control = AnyControl();
    Arrive(control,
           { HostId(), {}, [this, &control, record, server](TimePoint aNow) {
              control.node->ReportServer(
                record, aNow, [this, server](bool aDurable) {
                  m_isAcknowledged[server] =
                    m_isAcknowledged[server] || aDurable;
                });
            } });
    m_queue.At(m_queue.Now() +
                 (m_isAcknowledged[server] ? kReportInterval : kReportRetry),
               [this, aServer] { Report(aServer); });
  }

  void TryChange()
  {
    if (m_changedAt) {
      return;
    }
    for (const auto& control : m_controls) {
      Arrive(*control,
             { HostId(), {}, [this, &control](TimePoint aNow) {
                ListsChange change;
                change.document = "version: 1\n";
                change.changeId = "first";
                change.operatorName = "op";
                change.content.emplace();
                change.content->set_full(true);
                control->node->ChangeLists(
                  change, aNow, [this](const ListsChangeReply& aReply) {
                    if (aReply.result.code() == wire::CommandResult::OK) {
                      m_changedAt = m_queue.Now();
                    }
                  });
              } });
    }
    m_queue.At(m_queue.Now() + kChangeRetry, [this] { TryChange(); });
  }

  Random m_random;
  EventQueue m_queue;
  std::vector<std::unique_ptr<Control>> m_controls;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::map<HostId, int> m_indexes;
  std::vector<bool> m_isAcknowledged;
};

// The work of the start kept the leader from its heartbeats, again and again,
// and every host asked for more meanwhile.
BOOST_AUTO_TEST_CASE(ALargeFleetServesTenSecondsAfterItsStart)
{
  const TimePoint start = FromMicros(1'000'000);
  FleetStart fleet(1);
  fleet.RunFor(seconds(10));
  BOOST_TEST_MESSAGE("lost leaders: " << fleet.m_lostLeaders
                                      << ", messages: " << fleet.m_messages);
  BOOST_TEST(fleet.m_lostLeaders == 0);
  BOOST_TEST_REQUIRE(fleet.m_changedAt.has_value());
  BOOST_TEST(ToSeconds(*fleet.m_changedAt - start) < 8.0);
  BOOST_TEST(fleet.AcknowledgedServers() == kServers);
  BOOST_TEST(fleet.ServingHosts() == kEntryHosts);
}

} // namespace fuchsiaramp
