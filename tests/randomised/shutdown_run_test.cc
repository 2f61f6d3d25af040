// Stops an entry host under a load of callers that keep sending to it until it
// ends, with seeded timeouts, latencies and failures of the servers.
//
// Each request gets one true response, none that a server received is answered
// by the host itself before its deadline or the last moments of the grace
// period, and the host ends within it with nothing in hand.
#define BOOST_TEST_MODULE shutdown_run
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>

#include "base/invariant.h"
#include "base/random.h"
#include "entry/entry_node.h"
#include "testing/run_options.h"

namespace fuchsiaramp {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration kTurn = milliseconds(20);
static constexpr Duration kGracePeriod = seconds(6);
// Time for the delivery of the last responses, within the grace period.
static constexpr Duration kDeliveryTime = milliseconds(500);
static constexpr int kServers = 6;

class StoppingHost
{
public:
  StoppingHost(std::uint64_t aSeed, Duration aTimeout)
    : m_random(aSeed)
    , m_timeout(aTimeout)
    , m_node(Options(), Hooks(), Random(aSeed), m_now)
  {
    wire::Envelope push;
    wire::ListsPush* lists = push.mutable_lists_push();
    lists->set_confirmed(true);
    lists->set_current_version(1);
    wire::ListsDelta* delta = lists->add_deltas();
    delta->set_full(true);
    delta->set_to_version(1);
    delta->add_services()->set_name("calc");
    wire::Route* route = delta->add_open_routes();
    route->set_name("stamp");
    route->set_host("calc.example");
    route->set_path_prefix("/stamp/");
    route->set_service("calc");
    route->set_once_per_attempt(true);
    route->set_timeout_us(aTimeout.count());
    route->set_max_servers(2);
    wire::Route* read = delta->add_open_routes();
    *read = *route;
    read->set_name("read");
    read->set_path_prefix("/read/");
    read->set_once_per_attempt(false);
    read->set_repeatable(true);
    wire::ServersDelta* servers = lists->mutable_servers();
    servers->set_full(true);
    servers->set_to_version(1);
    for (int i = 0; i < kServers; ++i) {
      wire::BackendServerRecord* server = servers->add_servers();
      server->set_id("server-" + std::to_string(i));
      server->set_service("calc");
      server->set_address("10.0.0.1:" + std::to_string(8000 + i));
      server->set_slots(4);
      server->set_incarnation(1);
    }
    m_node.OnMessage(HostId("control-1"), push, m_now);
  }

  bool IsServing() const { return m_node.ListsInForce().IsServing(); }

  // Runs until the host may end, or until the process would be killed.
  void Run()
  {
    RunFor(seconds(2));
    m_stopAt = m_now;
    m_node.Leave(m_now, m_now);
    while (!m_node.MayExit(m_now) && m_now < m_stopAt + kGracePeriod) {
      RunFor(kTurn);
    }
  }

  std::size_t Unanswered() const { return m_heads.size(); }
  std::size_t AnsweredAtWork() const { return m_answeredAtWork; }
  std::size_t FalseRefusals() const { return m_falseRefusals; }
  std::size_t LateStarts() const { return m_lateStarts; }
  std::size_t ServedWhileLeaving() const { return m_servedWhileLeaving; }
  Duration StopTime() const { return m_now - m_stopAt; }

private:
  struct Running
  {
    RequestId request;
    TimePoint endsAt;
    AttemptOutcome outcome = AttemptOutcome::kSuccess;
  };

  static EntryOptions Options()
  {
    EntryOptions options;
    options.settings.host = HostId("entry-1");
    options.settings.controlHosts.push_back({ HostId("control-1"), "", "" });
    options.settings.membershipByControl = true;
    options.settings.routing.sharesOutcomes = true;
    options.settings.routing.requestTimeout = seconds(60);
    options.settings.routing.attemptTimeout = seconds(60);
    options.settings.addressLifetime = seconds(1);
    options.settings.gracePeriod = kGracePeriod;
    return options;
  }

  EntryHooks Hooks()
  {
    EntryHooks hooks;
    hooks.send = [](const HostId&, const wire::Envelope&) {};
    hooks.startAttempt = [this](const AttemptStart& aStart) {
      OnStart(aStart);
      return ConnectionKind::kNew;
    };
    hooks.cancelAttempt = [this](AttemptId aId) { m_running.erase(aId); };
    hooks.startProbe = [](ProbeId, const std::string&) {};
    hooks.answer = [this](const FinalResponse& aFinal) { OnFinal(aFinal); };
    hooks.hostChanged = [](const wire::HostRecord&) {};
    hooks.record = [](const Event&) {};
    return hooks;
  }

  void OnStart(const AttemptStart& aStart)
  {
    static constexpr double kFailureRate = 0.1;
    Running running;
    running.request = aStart.request;
    const double share = m_random.Unit();
    running.endsAt =
      m_now + FromSeconds(ToSeconds(m_timeout) * share * share * share);
    if (m_random.Chance(kFailureRate)) {
      static constexpr AttemptOutcome kFailures[] = {
        AttemptOutcome::kShed,
        AttemptOutcome::kRefused,
        AttemptOutcome::kBroken,
        AttemptOutcome::kServerError,
      };
      running.outcome = kFailures[m_random.Below(std::size(kFailures))];
    }
    // A hedge can only make a request that is in hand end sooner.
    const bool hedges =
      std::ranges::any_of(m_running, [&](const auto& aRunning) {
        return aRunning.second.request == aStart.request;
      });
    const bool mayOutlast = aStart.deadline > m_stopAt + kGracePeriod;
    m_lateStarts += m_node.IsLeaving() && mayOutlast && !hedges ? 1 : 0;
    m_running[aStart.id] = running;
  }

  void OnFinal(const FinalResponse& aFinal)
  {
    const RequestHead& head = m_heads.at(aFinal.request);
    const bool own = !aFinal.relay;
    const bool atWork = m_received.count(aFinal.request) != 0;
    const bool early =
      m_now < head.deadline && m_now < m_stopAt + kGracePeriod - kDeliveryTime;
    if (aFinal.outcome == CallerOutcome::kNotRun && atWork) {
      ++m_falseRefusals;
    }
    for (const auto& [id, running] : m_running) {
      const bool works = running.request == aFinal.request;
      m_answeredAtWork += works && own && early ? 1 : 0;
    }
    m_servedWhileLeaving +=
      m_node.IsLeaving() && aFinal.outcome == CallerOutcome::kAnswered ? 1 : 0;
    m_heads.erase(aFinal.request);
  }

  void SendRequest()
  {
    RequestHead head;
    head.id = RequestId(++m_lastRequest);
    head.host = "calc.example";
    head.service = ServiceName(head.host);
    head.path = m_random.Chance(0.3) ? "/read/1" : "/stamp/1";
    head.fingerprint = Fingerprint(m_lastRequest);
    head.tokenless = true;
    head.deadline =
      m_now + FromSeconds(ToSeconds(m_timeout) * (0.5 + m_random.Unit()));
    m_heads[head.id] = head;
    m_heads[head.id].deadline = std::min(head.deadline, m_now + m_timeout);
    m_node.OnRequest(head, m_now);
  }

  void RunFor(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end) {
      m_now += kTurn;
      for (std::uint64_t i = m_random.Below(3); i > 0; --i) {
        SendRequest();
      }
      EndAttempts();
      m_node.Tick(m_now);
    }
  }

  void EndAttempts()
  {
    std::vector<AttemptId> due;
    for (const auto& [id, running] : m_running) {
      if (IsDue(running.endsAt, m_now)) {
        due.push_back(id);
      }
    }
    for (const AttemptId id : due) {
      const auto it = m_running.find(id);
      if (it == m_running.end()) {
        continue; // cancelled meanwhile
      }
      AttemptEnd end;
      end.id = id;
      end.outcome = it->second.outcome;
      end.status = end.outcome == AttemptOutcome::kSuccess ? 200 : 503;
      const bool ran = end.outcome == AttemptOutcome::kSuccess ||
                       end.outcome == AttemptOutcome::kBroken ||
                       end.outcome == AttemptOutcome::kServerError;
      if (ran) {
        m_received.insert(it->second.request);
      }
      m_running.erase(it);
      m_node.OnAttemptEnd(end, m_now);
    }
  }

  TimePoint m_now = FromMicros(1'000'000);
  TimePoint m_stopAt = kNever - kGracePeriod;
  Random m_random;
  Duration m_timeout;
  std::uint64_t m_lastRequest = 0;
  std::map<RequestId, RequestHead> m_heads; // without a response
  std::set<RequestId> m_received;           // requests that a server ran
  std::map<AttemptId, Running> m_running;
  std::size_t m_answeredAtWork = 0;
  std::size_t m_falseRefusals = 0;
  std::size_t m_lateStarts = 0;
  std::size_t m_servedWhileLeaving = 0;
  EntryNode m_node;
};

static void
CheckStops(Duration aTimeout)
{
  SetInvariantHandler(
    [](const std::string& aText) { throw std::logic_error(aText); });
  const SeedRange seeds = SeedRangeFromEnvironment(40);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    const std::uint64_t seed = seeds.first + i;
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      StoppingHost host(seed, aTimeout);
      BOOST_REQUIRE(host.IsServing());
      host.Run();
      BOOST_TEST(host.Unanswered() == 0u);
      BOOST_TEST(host.AnsweredAtWork() == 0u);
      BOOST_TEST(host.FalseRefusals() == 0u);
      BOOST_TEST(host.LateStarts() == 0u);
      BOOST_TEST((host.StopTime() <= kGracePeriod - kDeliveryTime + kTurn));
      BOOST_TEST(host.ServedWhileLeaving() > 0u);
    }
  }
}

BOOST_AUTO_TEST_CASE(StopsWithoutACutRequestIfRequestsAreShort)
{
  CheckStops(milliseconds(1200));
}

BOOST_AUTO_TEST_CASE(StopsWithoutACutRequestIfRequestsAreLong)
{
  CheckStops(milliseconds(4000));
}

BOOST_AUTO_TEST_CASE(StartsNothingThatMayOutlastTheGracePeriod)
{
  CheckStops(milliseconds(8000));
}

} // namespace fuchsiaramp
