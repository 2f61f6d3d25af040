// Decodes mutated messages, settings and lists, with seeded mutations. None of
// them may crash the program or violate an invariant.
#define BOOST_TEST_MODULE mutation
#include <boost/test/unit_test.hpp>

#include <stdexcept>

#include "base/invariant.h"
#include "base/random.h"
#include "control/control_node.h"
#include "entry/entry_node.h"
#include "settings/settings.h"
#include "state/lists_document.h"
#include "testing/run_options.h"

namespace fuchsiaramp {

static std::string
Mutate(std::string aText, Random& aRandom)
{
  const std::uint64_t changes = 1 + aRandom.Below(8);
  for (std::uint64_t i = 0; i < changes && !aText.empty(); ++i) {
    const std::size_t at = aRandom.Below(aText.size());
    switch (aRandom.Below(4)) {
      case 0:
        aText[at] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        aText.erase(at, 1 + aRandom.Below(5));
        break;
      case 2:
        aText.insert(at, aText.substr(aRandom.Below(aText.size()), 9));
        break;
      default:
        aText.resize(at);
        break;
    }
  }
  return aText;
}

static void
ThrowOnInvariantViolation()
{
  SetInvariantHandler(
    [](const std::string& aText) { throw std::logic_error(aText); });
}

static Settings
EntrySettings()
{
  Settings settings;
  settings.host = HostId("entry-1");
  settings.controlHosts.push_back({ HostId("control-1"), "", "" });
  settings.seeds.push_back({ HostId("entry-2"), "", "" });
  return settings;
}

static std::vector<wire::Envelope>
SampleMessages()
{
  std::vector<wire::Envelope> messages(6);
  wire::ListsPush* push = messages[0].mutable_lists_push();
  push->set_confirmed(true);
  push->set_current_version(1);
  push->add_group_leaders("control-1");
  push->add_group_leaders("control-1");
  wire::ListsDelta* delta = push->add_deltas();
  delta->set_to_version(1);
  delta->add_plans()->set_name("plan");
  wire::Gossip* gossip = messages[1].mutable_gossip();
  gossip->add_hosts()->set_host("entry-2");
  gossip->add_servers()->set_id("server-1");
  gossip->mutable_servers(0)->set_service("profile");
  gossip->mutable_servers(0)->set_watcher("entry-2");
  wire::EvidenceReport* report = messages[2].mutable_evidence()->add_reports();
  report->set_service("profile");
  report->add_counts()->set_server("server-1");
  report->mutable_counts(0)->set_failures(3);
  wire::ServerLimits* limits = messages[2].mutable_evidence()->add_limits();
  limits->set_service("profile");
  limits->add_servers()->set_server("server-1");
  limits->mutable_servers(0)->set_rate_milli(1400);
  wire::Verdict* verdict = messages[3].mutable_evidence()->add_verdicts();
  verdict->set_service("profile");
  verdict->add_servers()->set_server("server-1");
  messages[4].mutable_control_reply()->set_request_id(1);
  messages[5].mutable_limits()->add_usage()->set_scope("customer/a");
  return messages;
}

BOOST_AUTO_TEST_CASE(EntryHostSurvivesMutatedMessages)
{
  ThrowOnInvariantViolation();
  const SeedRange seeds = SeedRangeFromEnvironment(300);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    Random random(seeds.first + i);
    EntryHooks hooks;
    hooks.send = [](const HostId&, const wire::Envelope&) {};
    hooks.startAttempt = [](const AttemptStart&) {
      return ConnectionKind::kNew;
    };
    hooks.cancelAttempt = [](AttemptId) {};
    hooks.startProbe = [](ProbeId, const std::string&) {};
    hooks.answer = [](const FinalResponse&) {};
    hooks.hostChanged = [](const wire::HostRecord&) {};
    hooks.record = [](const Event&) {};
    EntryOptions options;
    options.settings = EntrySettings();
    TimePoint now = FromMicros(1'000'000);
    EntryNode node(options, hooks, Random(i), now);
    const std::vector<wire::Envelope> samples = SampleMessages();
    for (int step = 0; step < 200; ++step) {
      const auto& sample = samples[random.Below(samples.size())];
      wire::Envelope mutated;
      if (mutated.ParseFromString(Mutate(sample.SerializeAsString(), random))) {
        node.OnMessage(HostId("entry-2"), mutated, now);
      }
      now += std::chrono::milliseconds(20);
      node.Tick(now);
      (void)node.OnAddressQuery(ServiceName("profile"), now);
    }
  }
}

BOOST_AUTO_TEST_CASE(ControlHostSurvivesMutatedMessages)
{
  ThrowOnInvariantViolation();
  const SeedRange seeds = SeedRangeFromEnvironment(300);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    Random random(seeds.first + i);
    std::vector<GroupStorage> storage(2);
    for (GroupStorage& group : storage) {
      group.stored.hardState.set_disk_id(7);
      group.hooks.append = [](const auto&, const auto&) {
        return std::error_code();
      };
      group.hooks.saveSnapshot =
        [](const auto&, const auto&, const auto&, const auto&) {
          return std::error_code();
        };
    }
    ControlHooks hooks;
    hooks.send = [](const HostId&, const wire::Envelope&) {};
    hooks.wallClock = [] { return std::int64_t{ 1 }; };
    hooks.fatal = [](std::error_code) {};
    hooks.record = [](const Event&) {};
    ControlOptions options;
    options.self = HostId("control-1");
    options.hosts = { HostId("control-1") };
    TimePoint now = FromMicros(1'000'000);
    ControlNode node(options, std::move(storage), hooks, Random(i), now);
    wire::Envelope claim;
    wire::ControlRequest* request = claim.mutable_control_request();
    request->set_group(1);
    request->mutable_command()->mutable_claim()->set_attempt("a");
    request->mutable_command()->mutable_claim()->mutable_key()->set_key("k");
    wire::Envelope finish;
    request = finish.mutable_control_request();
    request->set_group(1);
    request->mutable_command()->mutable_finish()->set_attempt("a");
    request->mutable_command()->mutable_finish()->set_state(
      wire::LedgerRecord::FINISHED);
    wire::Envelope pull;
    pull.mutable_lists_pull()->set_confirm(true);
    const std::vector<wire::Envelope> samples = { claim, finish, pull };
    for (int step = 0; step < 200; ++step) {
      wire::Envelope mutated;
      const auto& sample = samples[random.Below(samples.size())];
      if (mutated.ParseFromString(Mutate(sample.SerializeAsString(), random))) {
        node.OnMessage(HostId("entry-2"), mutated, now);
      }
      now += std::chrono::milliseconds(50);
      node.Tick(now);
      node.Flush(now);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReadersSurviveMutatedDocuments)
{
  const std::string lists =
    "plans:\n  - name: p\n    priority: 2\n    routes:\n      - {name: r, "
    "service: s, path_prefix: /, repeatable: true}\ncustomers:\n  - {id: c, "
    "plan: p, token_hash: abc}\n";
  const std::string settings =
    "host: a\nrole: control\nregion: r\nfailure_domain: f\n"
    "caller_address: 1.2.3.4:5\nmessage_address: 1.2.3.4:6\n"
    "data_folder: /x\nkeys: {plaintext: true}\ncontrol_hosts:\n"
    "  - {host: a, message_address: 1.2.3.4:6}\nledger: {retention: 3h}\n";
  const SeedRange seeds = SeedRangeFromEnvironment(3000);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    Random random(seeds.first + i);
    Findings findings("mutated");
    (void)ReadLists(Mutate(lists, random), findings);
    (void)ReadSettings(Mutate(settings, random), findings);
  }
}

} // namespace fuchsiaramp
