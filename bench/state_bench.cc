// Measures durable state: commit latency by number of voters and network delay,
// syncs of a real disk, and the ledger and the lists by size.
//
//   state_bench FOLDER [lists|commits|disk|ledger]
//
// FOLDER is on the disk to measure. The benchmark removes its files there.
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <map>

#include "base/digest.h"
#include "consensus/node.h"
#include "disk/posix_files.h"
#include "disk/segment_log.h"
#include "observe/metrics.h"
#include "state/group_state.h"
#include "state/lists_document.h"
#include "testing/fake_network.h"

namespace fuchsiaramp {

static double
Elapsed(std::chrono::steady_clock::time_point aSince)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       aSince)
    .count();
}

static wire::Command
ClaimCommand(std::uint64_t aNumber)
{
  wire::Command command;
  wire::Claim* claim = command.mutable_claim();
  claim->mutable_key()->set_customer("stall-" + std::to_string(aNumber % 997));
  claim->mutable_key()->set_service("licensing");
  claim->mutable_key()->set_key("certificate-" + std::to_string(aNumber));
  claim->set_body_hash(Sha256Hex(std::to_string(aNumber)));
  claim->set_attempt("entry-17/1796346817645072/" + std::to_string(aNumber));
  command.set_leader_time_us(static_cast<std::int64_t>(aNumber));
  return command;
}

static wire::Command
FinishCommand(std::uint64_t aNumber)
{
  const wire::Command claim = ClaimCommand(aNumber);
  wire::Command command;
  wire::Finish* finish = command.mutable_finish();
  *finish->mutable_key() = claim.claim().key();
  finish->set_attempt(claim.claim().attempt());
  finish->set_state(wire::LedgerRecord::FINISHED);
  finish->set_status(200);
  finish->set_content_type("application/json");
  finish->set_answer(std::string(300, 'a'));
  finish->set_answer_kept(true);
  command.set_leader_time_us(static_cast<std::int64_t>(aNumber));
  return command;
}

// A consensus group over a fake network without losses and a disk without
// latency.
class BenchGroup
{
public:
  BenchGroup(std::size_t aVoters, Duration aOneWay)
    : m_network(Network(aOneWay), Random(1))
    , m_now(FromMicros(1'000'000))
  {
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < aVoters; ++i) {
      hosts.push_back(HostId("control-" + std::to_string(i)));
    }
    for (const HostId& host : hosts) {
      StoredState stored;
      stored.hardState.set_disk_id(Hash64(host.Value()));
      NodeHooks hooks;
      hooks.send = [this, host](const HostId& aTo,
                                const wire::RaftMessage& aMessage) {
        m_bytes += aMessage.ByteSizeLong();
        ++m_messages;
        m_network.Send(host, aTo, aMessage, m_now);
      };
      hooks.storage.append = [](const auto&, const auto&) {
        return std::error_code();
      };
      hooks.storage.saveSnapshot =
        [](const auto&, const auto&, const auto&, const auto&) {
          return std::error_code();
        };
      auto state = std::make_shared<GroupState>(LedgerOptions());
      hooks.apply = [state](std::uint64_t, const std::string& aCommand) {
        wire::Command command;
        command.ParseFromString(aCommand);
        return state->Apply(command).SerializeAsString();
      };
      hooks.snapshot = [state] { return state->Snapshot(); };
      hooks.restore = [state](const std::string& aSnapshot) {
        state->Restore(aSnapshot);
      };
      hooks.finished =
        [this](ProposalId aId, ProposalOutcome aOutcome, const std::string&) {
          if (aOutcome == ProposalOutcome::kApplied) {
            m_latencies.push_back(ToSeconds(m_now - m_started.at(aId.Value())) *
                                  1e3);
          }
        };
      hooks.fatal = [](std::error_code) {};
      hooks.record = [](const Event&) {};
      NodeOptions options;
      options.self = host;
      options.hosts = hosts;
      m_nodes[host] = std::make_unique<Node>(
        options, stored, hooks, Random(Hash64(host.Value())), m_now);
    }
  }

  void Run(double aRate, Duration aSpan)
  {
    const Duration step = std::chrono::microseconds(500);
    const TimePoint end = m_now + aSpan;
    double due = 0.0;
    while (m_now < end) {
      m_now += step;
      while (auto delivery = m_network.Next(m_now)) {
        m_nodes[delivery->to]->Step(delivery->from, delivery->message, m_now);
      }
      due += aRate * ToSeconds(step);
      for (auto& [host, node] : m_nodes) {
        if (node->IsLeader() && node->HasLease(m_now)) {
          for (; due >= 1.0; due -= 1.0) {
            m_started[m_next] = m_now;
            node->Propose(ProposalId(m_next),
                          ClaimCommand(m_next).SerializeAsString());
            ++m_next;
          }
        }
        node->Tick(m_now);
        node->Flush(m_now);
      }
    }
  }

  void ResetMeasurements()
  {
    m_latencies.clear();
    m_bytes = 0;
    m_messages = 0;
  }

  std::vector<double> m_latencies; // milliseconds
  std::uint64_t m_bytes = 0;
  std::uint64_t m_messages = 0;

private:
  static FakeNetworkOptions Network(Duration aOneWay)
  {
    FakeNetworkOptions options;
    options.minDelay = aOneWay;
    // Equal delays, so that messages are not reordered, as on a TCP connection.
    options.maxDelay = aOneWay;
    return options;
  }

  FakeNetwork<wire::RaftMessage> m_network;
  TimePoint m_now;
  std::map<HostId, std::unique_ptr<Node>> m_nodes;
  std::map<std::uint64_t, TimePoint> m_started;
  std::uint64_t m_next = 1;
};

static void
MeasureCommits()
{
  std::cout << "claims: voters, one-way delay ms, rate/s -> p50 ms, p99 ms, "
               "bytes and messages per claim (all links), CPU us per claim "
               "(all voters)\n";
  for (const std::size_t voters : { 3, 5 }) {
    for (const int delay : { 500, 1000, 20000 }) {
      for (const double rate : { 200.0, 2000.0 }) {
        BenchGroup group(voters, Duration(delay));
        group.Run(0.0, std::chrono::seconds(5));
        group.ResetMeasurements();
        const double before = ProcessCpuSeconds();
        group.Run(rate, std::chrono::seconds(5));
        const double cpuSeconds = ProcessCpuSeconds() - before;
        std::vector<double>& values = group.m_latencies;
        std::sort(values.begin(), values.end());
        const auto count = static_cast<double>(values.size());
        std::cout << "  " << voters << "  " << delay / 1000.0 << "  " << rate
                  << " -> " << values[values.size() / 2] << "  "
                  << values[values.size() * 99 / 100] << "  "
                  << static_cast<double>(group.m_bytes) / count << "  "
                  << static_cast<double>(group.m_messages) / count << "  "
                  << cpuSeconds * 1e6 / count << std::endl;
      }
    }
  }
}

static void
MeasureDisk(const std::string& aFolder)
{
  std::cout << "disk: entries per sync -> syncs/s, entries/s\n";
  for (const int batch : { 1, 10, 100 }) {
    const std::string folder = aFolder + "/bench-" + std::to_string(batch);
    std::error_code error;
    SegmentLog log(OpenFolder(folder, error), Random(7), 1ULL << 32);
    StoredState stored;
    if (error || log.Open(stored)) {
      std::cout << "  cannot use " << folder << '\n';
      return;
    }
    std::uint64_t index = 1;
    const auto start = std::chrono::steady_clock::now();
    int syncs = 0;
    while (Elapsed(start) < 1.0) {
      std::vector<wire::LogEntry> entries(batch);
      for (wire::LogEntry& entry : entries) {
        entry.set_index(index++);
        entry.set_command(ClaimCommand(index).SerializeAsString());
      }
      if (log.Hooks().append(stored.hardState, entries)) {
        return;
      }
      ++syncs;
    }
    std::cout << "  " << batch << " -> " << syncs / Elapsed(start) << "  "
              << syncs * batch / Elapsed(start) << std::endl;
    std::filesystem::remove_all(folder);
  }
}

static void
MeasureLedger()
{
  std::cout
    << "ledger: records -> resident bytes per record, counted bytes per "
       "record, us per claim and finish, snapshot s, snapshot bytes "
       "per record, restore s\n";
  for (const std::uint64_t records : { 20'000, 100'000, 400'000 }) {
    const double before = ProcessResidentBytes();
    GroupState state{ LedgerOptions() };
    auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < records; ++i) {
      state.Apply(ClaimCommand(i));
      state.Apply(FinishCommand(i));
    }
    const double apply = Elapsed(start);
    const double resident = ProcessResidentBytes() - before;
    start = std::chrono::steady_clock::now();
    const std::string snapshot = state.Snapshot();
    const double save = Elapsed(start);
    GroupState restored{ LedgerOptions() };
    start = std::chrono::steady_clock::now();
    restored.Restore(snapshot);
    const double restore = Elapsed(start);
    const auto count = static_cast<double>(records);
    std::cout << "  " << records << " -> " << resident / count << "  "
              << static_cast<double>(state.LedgerPart().Bytes()) / count << "  "
              << apply * 1e6 / count << "  " << save << "  "
              << static_cast<double>(snapshot.size()) / count << "  " << restore
              << std::endl;
  }
}

static wire::ListsDelta
LargeLists(std::uint64_t aPlans, std::uint64_t aRoutes, std::uint64_t aTeams)
{
  wire::ListsDelta content;
  content.set_full(true);
  content.set_to_version(1);
  for (std::uint64_t i = 0; i < aPlans; ++i) {
    wire::Plan* plan = content.add_plans();
    plan->set_name("plan-" + std::to_string(i));
    plan->set_priority(1);
    for (std::uint64_t j = 0; j < aRoutes / aPlans; ++j) {
      wire::Route* route = plan->add_routes();
      route->set_name("route-" + std::to_string(j));
      route->set_service("service-" + std::to_string((i * 31 + j) % 2300));
      route->set_path_prefix("/api/" + std::to_string(j));
      route->set_repeatable(j % 10 != 0);
    }
  }
  for (std::uint64_t i = 0; i < aTeams; ++i) {
    wire::Customer* customer = content.add_customers();
    customer->set_id("team-" + std::to_string(i));
    customer->set_plan("plan-" + std::to_string(i % aPlans));
    customer->set_token_hash(Sha256Hex(std::to_string(i)));
  }
  return content;
}

static void
MeasureLists()
{
  std::cout
    << "lists: routes, teams -> full bytes, resident bytes, apply s, "
       "us per lookup (token and route), bytes per change, bytes of 500 "
       "missed changes, document bytes, parse s\n";
  for (const std::uint64_t scale : { 1, 5, 20 }) {
    const std::uint64_t routes = 75'000 / scale;
    const std::uint64_t teams = 230'000 / scale;
    const wire::ListsDelta content = LargeLists(1500 / scale, routes, teams);
    const double before = ProcessResidentBytes();
    auto start = std::chrono::steady_clock::now();
    Lists lists;
    lists.Apply(content);
    const double apply = Elapsed(start);
    const double resident = ProcessResidentBytes() - before;
    start = std::chrono::steady_clock::now();
    std::size_t found = 0;
    const std::uint64_t lookups = 200'000;
    for (std::uint64_t i = 0; i < lookups; ++i) {
      const auto& customer =
        content.customers(static_cast<int>(i * 7919 % teams));
      const wire::Customer* owner =
        lists.FindByTokenHash(customer.token_hash());
      found +=
        lists.FindRoute(*owner, ServiceName("service-31"), "/api/1") ? 1 : 0;
    }
    const double lookup = Elapsed(start) * 1e6 / lookups;
    wire::ListsDelta change;
    change.set_from_version(1);
    change.set_to_version(2);
    *change.add_customers() = content.customers(0);
    const std::size_t bytes = change.ByteSizeLong();
    std::cout << "  " << routes << "  " << teams << " -> "
              << content.ByteSizeLong() << "  " << resident << "  " << apply
              << "  " << lookup << "  " << bytes << "  " << 500 * bytes;
    if (scale > 1) {
      const std::string document = WriteLists(content);
      Findings findings("lists");
      start = std::chrono::steady_clock::now();
      (void)ReadLists(document, findings);
      std::cout << "  " << document.size() << "  " << Elapsed(start);
    }
    std::cout << (found > lookups ? "!" : "") << std::endl;
  }
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  const std::string part = aCount > 2 ? aArguments[2] : "";
  const auto chosen = [&](const char* aName) {
    return part.empty() || part == aName;
  };
  std::cout << std::setprecision(4);
  // The lists come first: memory freed by other parts would hide their size.
  if (chosen("lists")) {
    fuchsiaramp::MeasureLists();
  }
  if (chosen("commits")) {
    fuchsiaramp::MeasureCommits();
  }
  if (chosen("disk") && aCount > 1) {
    fuchsiaramp::MeasureDisk(aArguments[1]);
  }
  if (chosen("ledger")) {
    fuchsiaramp::MeasureLedger();
  }
  return 0;
}
