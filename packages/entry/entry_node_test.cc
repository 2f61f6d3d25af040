#define BOOST_TEST_MODULE entry_node
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "entry/entry_node.h"

namespace fuchsiaramp {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration kTurn = milliseconds(20);
static constexpr Duration kGracePeriod = seconds(6);

// One entry host with four servers of one service, whose attempts end as the
// test says. Messages to other hosts get no reply unless the test sends one.
class LoneHost
{
public:
  explicit LoneHost(Duration aGracePeriod = kGracePeriod)
    : m_node(Options(aGracePeriod), Hooks(), Random(1), m_now)
  {
    wire::Envelope push;
    wire::ListsPush* lists = push.mutable_lists_push();
    lists->set_confirmed(true);
    lists->set_current_version(1);
    lists->add_group_leaders("control-1");
    lists->add_group_leaders("control-1");
    wire::ListsDelta* delta = lists->add_deltas();
    delta->set_full(true);
    delta->set_to_version(1);
    delta->add_services()->set_name("calc");
    wire::Plan* plan = delta->add_plans();
    plan->set_name("gold");
    wire::Route* route = plan->add_routes();
    route->set_name("order");
    route->set_service("calc");
    route->set_path_prefix("/order/");
    wire::Route* read = plan->add_routes();
    *read = *route;
    read->set_name("read");
    read->set_path_prefix("/read/");
    read->set_repeatable(true);
    wire::Customer* customer = delta->add_customers();
    customer->set_id("c1");
    customer->set_plan("gold");
    customer->set_token_hash(Sha256Hex("token"));
    wire::ServersDelta* servers = lists->mutable_servers();
    servers->set_full(true);
    servers->set_to_version(1);
    for (int i = 0; i < 4; ++i) {
      wire::BackendServerRecord* server = servers->add_servers();
      server->set_id("server-" + std::to_string(i));
      server->set_service("calc");
      server->set_address("10.0.0.1:" + std::to_string(8000 + i));
      server->set_slots(4);
      server->set_incarnation(1);
    }
    m_node.OnMessage(HostId("control-1"), push, m_now);
    BOOST_REQUIRE(m_node.ListsInForce().IsServing());
  }

  EntryNode& Node() { return m_node; }
  TimePoint Now() const { return m_now; }
  Duration SinceStop() const { return m_now - m_stopAt; }
  const std::vector<FinalResponse>& Responses() const { return m_responses; }

  // Commands to the ledger, with those that were sent again.
  const std::vector<wire::ControlRequest>& Commands() const
  {
    return m_commands;
  }

  void Reply(const wire::ControlRequest& aCommand,
             wire::CommandResult::Code aCode)
  {
    wire::Envelope reply;
    reply.mutable_control_reply()->set_request_id(aCommand.request_id());
    reply.mutable_control_reply()->mutable_result()->set_code(aCode);
    m_node.OnMessage(HostId("control-1"), reply, m_now);
  }

  // The ledger holds a response with this status.
  void ReplyStored(const wire::ControlRequest& aCommand, std::uint32_t aStatus)
  {
    wire::Envelope reply;
    reply.mutable_control_reply()->set_request_id(aCommand.request_id());
    wire::CommandResult* result =
      reply.mutable_control_reply()->mutable_result();
    result->set_code(wire::CommandResult::ALREADY_FINISHED);
    result->mutable_record()->set_answer_kept(true);
    result->mutable_record()->set_status(aStatus);
    m_node.OnMessage(HostId("control-1"), reply, m_now);
  }

  // The responses of all running attempts wait for room.
  void HoldRunning()
  {
    for (const auto& [id, endsAt] : m_running) {
      m_node.OnAttemptHeld(id, m_now);
    }
  }

  void Stop()
  {
    m_stopAt = m_now;
    m_node.Leave(m_now, m_now);
  }

  void RunFor(Duration aSpan)
  {
    for (const TimePoint end = m_now + aSpan; m_now < end;) {
      m_now += kTurn;
      std::vector<AttemptId> due;
      for (const auto& [id, endsAt] : m_running) {
        if (IsDue(endsAt, m_now)) {
          due.push_back(id);
        }
      }
      for (const AttemptId id : due) {
        m_running.erase(id);
        AttemptEnd attempt;
        attempt.id = id;
        attempt.outcome = m_outcome;
        attempt.status = m_outcome == AttemptOutcome::kSuccess ? 200 : 503;
        if (m_endless.erase(id) != 0) {
          m_node.OnAttemptHeld(id, m_now);
          attempt.outcome = AttemptOutcome::kBroken;
          attempt.isOversized = true;
        }
        m_node.OnAttemptEnd(attempt, m_now);
      }
      m_node.Tick(m_now);
    }
  }

  void Send(const std::string& aPath, Duration aTimeout)
  {
    m_node.OnRequest(Head(aPath, aTimeout), m_now);
  }

  void SendWithoutKey(const std::string& aPath, Duration aTimeout)
  {
    RequestHead head = Head(aPath, aTimeout);
    head.key = IdempotencyKey();
    m_node.OnRequest(head, m_now);
  }

  // The attempts end as given from now on.
  void SetServers(AttemptOutcome aOutcome, Duration aLatency)
  {
    m_outcome = aOutcome;
    m_latency = aLatency;
  }

  // The responses of the server at this address have no end from now on: each
  // waits for room, and ends once it is too large for that.
  void AnswerWithoutEnd(const std::string& aAddress)
  {
    m_endlessAddress = aAddress;
  }

  // Returns the number of attempts at the address since the last call.
  std::size_t TakeAttempts(const std::string& aAddress)
  {
    return std::exchange(m_attemptsAt[aAddress], 0);
  }

  // Lets the servers be known to take as long.
  void ServeReads(Duration aLatency)
  {
    SetServers(AttemptOutcome::kSuccess, aLatency);
    const std::size_t before = m_responses.size();
    for (int i = 0; i < kReads; ++i) {
      Send("/read/1", seconds(60));
    }
    RunFor(aLatency * 5 / 2);
    BOOST_REQUIRE(m_responses.size() == before + kReads);
  }

private:
  static constexpr int kReads = 8;

  RequestHead Head(const std::string& aPath, Duration aTimeout)
  {
    RequestHead head;
    head.id = RequestId(++m_lastRequest);
    head.host = "calc";
    head.service = ServiceName("calc");
    head.path = aPath;
    head.token = "token";
    head.key = IdempotencyKey("key-" + std::to_string(m_lastRequest));
    head.bodyHash = Sha256Hex("body");
    head.fingerprint = Fingerprint(m_lastRequest);
    head.deadline = m_now + aTimeout;
    return head;
  }

  static EntryOptions Options(Duration aGracePeriod)
  {
    EntryOptions options;
    options.settings.host = HostId("entry-1");
    options.settings.controlHosts.push_back({ HostId("control-1"), "", "" });
    options.settings.membershipByControl = true;
    options.settings.routing.requestTimeout = seconds(60);
    options.settings.routing.attemptTimeout = seconds(60);
    options.settings.addressLifetime = seconds(1);
    options.settings.gracePeriod = aGracePeriod;
    return options;
  }

  EntryHooks Hooks()
  {
    EntryHooks hooks;
    hooks.send = [this](const HostId&, const wire::Envelope& aMessage) {
      if (aMessage.has_control_request()) {
        m_commands.push_back(aMessage.control_request());
      }
    };
    hooks.startAttempt = [this](const AttemptStart& aStart) {
      m_running[aStart.id] = m_now + m_latency;
      ++m_attemptsAt[aStart.address];
      if (aStart.address == m_endlessAddress) {
        m_endless.insert(aStart.id);
      }
      return ConnectionKind::kNew;
    };
    hooks.cancelAttempt = [this](AttemptId aId) { m_running.erase(aId); };
    hooks.startProbe = [](ProbeId, const std::string&) {};
    hooks.answer = [this](const FinalResponse& aFinal) {
      m_responses.push_back(aFinal);
    };
    hooks.hostChanged = [](const wire::HostRecord&) {};
    hooks.record = [](const Event&) {};
    return hooks;
  }

  AttemptOutcome m_outcome = AttemptOutcome::kSuccess;
  Duration m_latency = milliseconds(10);
  TimePoint m_now = FromMicros(1'000'000);
  TimePoint m_stopAt = kNever;
  std::uint64_t m_lastRequest = 0;
  std::map<AttemptId, TimePoint> m_running;
  std::string m_endlessAddress;
  std::set<AttemptId> m_endless;
  std::map<std::string, std::size_t> m_attemptsAt;
  std::vector<FinalResponse> m_responses;
  std::vector<wire::ControlRequest> m_commands;
  EntryNode m_node;
};

BOOST_AUTO_TEST_CASE(ASilentLedgerDoesNotHoldARequestBeyondTheGracePeriod)
{
  LoneHost host;
  host.RunFor(seconds(1));
  host.Stop();
  host.RunFor(milliseconds(3900));
  host.Send("/order/1", milliseconds(1500));
  BOOST_TEST(host.Node().InFlight() == 1u);
  host.RunFor(kGracePeriod - host.SinceStop());
  BOOST_TEST(host.Responses().size() == 1u);
  BOOST_TEST(host.Node().InFlight() == 0u);
}

BOOST_AUTO_TEST_CASE(ASilentLedgerDoesNotOutlastAShortGracePeriod)
{
  LoneHost host(seconds(2));
  host.RunFor(seconds(1));
  host.Send("/order/1", seconds(60));
  host.Stop();
  host.RunFor(seconds(2) - kTurn);
  BOOST_REQUIRE(host.Responses().size() == 1u);
  BOOST_TEST((host.Responses().back().outcome == CallerOutcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(ASilentLedgerDoesNotHoldARequestBeyondItsDeadline)
{
  LoneHost host;
  host.RunFor(seconds(1));
  host.Send("/order/1", milliseconds(1500));
  host.RunFor(milliseconds(1500) + kTurn);
  BOOST_REQUIRE(host.Responses().size() == 1u);
  BOOST_TEST((host.Responses().back().outcome == CallerOutcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(ALateGrantDoesNotStartAnAnsweredRequest)
{
  LoneHost host(seconds(2));
  host.RunFor(seconds(1));
  host.Send("/order/1", seconds(60));
  BOOST_REQUIRE(host.Commands().size() == 1u);
  const wire::ControlRequest claim = host.Commands().front();
  host.Stop();
  host.RunFor(milliseconds(1700));
  BOOST_REQUIRE(host.Responses().size() == 1u);
  host.Reply(claim, wire::CommandResult::GRANTED);
  host.RunFor(milliseconds(200));
  BOOST_TEST(host.Node().Counters().attempts == 0u);
  const wire::Command& last = host.Commands().back().command();
  BOOST_REQUIRE(last.has_finish());
  BOOST_TEST((last.finish().state() == wire::LedgerRecord::NOT_RUN));
  BOOST_TEST(last.finish().attempt() == claim.command().claim().attempt());
}

// A host whose buffers were full took its servers for slow: it started further
// attempts, and then found no server for small requests.
BOOST_AUTO_TEST_CASE(AnAttemptThatWaitsForRoomIsNotTakenForSlow)
{
  for (const bool held : { false, true }) {
    LoneHost host;
    host.ServeReads(seconds(8));
    const auto before = host.Node().Counters().attempts;
    host.SetServers(AttemptOutcome::kSuccess, seconds(20));
    host.SendWithoutKey("/read/1", seconds(60));
    host.RunFor(kTurn);
    if (held) {
      host.HoldRunning();
    }
    host.RunFor(seconds(10));
    BOOST_TEST((host.Node().Counters().attempts == before + 1) == held);
  }
}

// Guards against a server that answers without end and keeps its share of the
// requests, since no answer that waited for room counted against it.
BOOST_AUTO_TEST_CASE(AServerThatAnswersWithoutEndLosesItsRequests)
{
  const std::string address = "10.0.0.1:8000";
  LoneHost host;
  host.ServeReads(milliseconds(10));
  host.AnswerWithoutEnd(address);
  const auto sendReads = [&host](int aCount) {
    for (int i = 0; i < aCount; ++i) {
      host.SendWithoutKey("/read/1", seconds(60));
      host.RunFor(kTurn);
    }
  };
  sendReads(100);
  BOOST_TEST(host.TakeAttempts(address) > 0u);
  sendReads(100);
  BOOST_TEST(host.TakeAttempts(address) < 10u); // its share is 25
}

// Hosts of former builds stored whatever a server answered; a caller would get
// status 000.
BOOST_AUTO_TEST_CASE(AStoredResponseWithoutAFinalStatusIsNotSent)
{
  for (const std::uint32_t status : { 0U, 99U, 100U, 600U, 999U, 2000U }) {
    LoneHost host;
    host.RunFor(seconds(1));
    host.Send("/order/1", seconds(5));
    BOOST_REQUIRE(host.Commands().size() == 1u);
    host.ReplyStored(host.Commands().front(), status);
    BOOST_REQUIRE(host.Responses().size() == 1u);
    BOOST_TEST(!host.Responses().back().stored.has_value());
    BOOST_TEST(host.Responses().back().status == 409u);
  }
  LoneHost host;
  host.RunFor(seconds(1));
  host.Send("/order/1", seconds(5));
  host.ReplyStored(host.Commands().front(), 599);
  BOOST_REQUIRE(host.Responses().back().stored.has_value());
  BOOST_TEST(host.Responses().back().stored->status == 599u);
}

// Three attempts of a request that holds its key are shed shortly before its
// deadline.
static void
ShedClaimed(LoneHost& aHost)
{
  aHost.ServeReads(seconds(8));
  aHost.SetServers(AttemptOutcome::kShed, milliseconds(450));
  aHost.Send("/order/1", milliseconds(1500));
  BOOST_REQUIRE(aHost.Commands().size() == 1u);
  aHost.Reply(aHost.Commands().front(), wire::CommandResult::GRANTED);
  aHost.RunFor(milliseconds(1460));
  BOOST_REQUIRE(aHost.Commands().back().command().has_finish());
  BOOST_REQUIRE(aHost.Responses().size() == 8u);
}

BOOST_AUTO_TEST_CASE(ASilentLedgerDoesNotHoldAFencedRequestBeyondItsDeadline)
{
  LoneHost host;
  ShedClaimed(host);
  host.RunFor(milliseconds(40) + kTurn);
  BOOST_REQUIRE(host.Responses().size() == 9u);
  BOOST_TEST((host.Responses().back().outcome == CallerOutcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(AFencedRequestIsAnsweredAsNotRun)
{
  LoneHost host;
  ShedClaimed(host);
  host.Reply(host.Commands().back(), wire::CommandResult::OK);
  BOOST_REQUIRE(host.Responses().size() == 9u);
  BOOST_TEST((host.Responses().back().outcome == CallerOutcome::kNotRun));
}

// The servers shed three attempts of a short request, while the others take far
// longer than its timeout.
BOOST_AUTO_TEST_CASE(ADeferredRetryDoesNotHoldARequestBeyondItsDeadline)
{
  static constexpr Duration kTimeout = milliseconds(1500);
  static constexpr Duration kSlack = milliseconds(100);
  LoneHost host;
  host.ServeReads(seconds(8));
  BOOST_TEST(host.Responses().size() == 8u);
  host.SetServers(AttemptOutcome::kShed, milliseconds(20));
  host.Stop();
  host.RunFor(milliseconds(3800));
  host.Send("/read/1", kTimeout);
  host.RunFor(kTimeout + kSlack);
  BOOST_TEST(host.Responses().size() == 9u);
  host.RunFor(kGracePeriod - host.SinceStop());
  BOOST_TEST(host.Node().InFlight() == 0u);
}

BOOST_AUTO_TEST_CASE(AQueuedRequestIsNotHeldBeyondItsDeadline)
{
  static constexpr std::uint64_t kSlots = 16; // of all servers
  LoneHost host;
  host.SetServers(AttemptOutcome::kSuccess, seconds(60));
  for (std::uint64_t i = 0; i < kSlots; ++i) {
    host.SendWithoutKey("/read/1", seconds(60));
  }
  host.RunFor(milliseconds(200));
  BOOST_REQUIRE(host.Node().Counters().attempts == kSlots);
  host.SendWithoutKey("/read/1", milliseconds(1500));
  host.RunFor(milliseconds(1500) + kTurn);
  BOOST_TEST(host.Node().Counters().attempts == kSlots);
  BOOST_REQUIRE(host.Responses().size() == 1u);
  BOOST_TEST((host.Responses().back().outcome == CallerOutcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(ARunningClaimedRequestIsNotHeldBeyondItsDeadline)
{
  LoneHost host;
  host.RunFor(seconds(1));
  host.SetServers(AttemptOutcome::kSuccess, seconds(60));
  host.Send("/order/1", milliseconds(1500));
  BOOST_REQUIRE(host.Commands().size() == 1u);
  host.Reply(host.Commands().front(), wire::CommandResult::GRANTED);
  host.RunFor(milliseconds(1500) + kTurn);
  BOOST_REQUIRE(host.Responses().size() == 1u);
  BOOST_TEST((host.Responses().back().outcome == CallerOutcome::kUnknown));
  const wire::Command& last = host.Commands().back().command();
  BOOST_REQUIRE(last.has_finish());
  BOOST_TEST((last.finish().state() == wire::LedgerRecord::UNKNOWN));
}

BOOST_AUTO_TEST_CASE(ARetryThatWouldStartTooLateIsRefusedAtOnce)
{
  LoneHost host;
  host.ServeReads(seconds(8));
  host.SetServers(AttemptOutcome::kShed, milliseconds(20));
  const std::uint64_t attempts = host.Node().Counters().attempts;
  host.SendWithoutKey("/read/1", milliseconds(1500));
  host.RunFor(milliseconds(100));
  BOOST_REQUIRE(host.Responses().size() == 9u);
  BOOST_TEST((host.Responses().back().outcome == CallerOutcome::kNotRun));
  BOOST_TEST(host.Node().Counters().attempts == attempts + 3);
}

// A route that was added while this host heard from no control host was
// answered with 404.
BOOST_AUTO_TEST_CASE(
  AHostThatMayHaveMissedAChangeSaysOfNothingThatItIsNotListed)
{
  LoneHost host;
  host.SendWithoutKey("/added/1", seconds(8));
  BOOST_REQUIRE(host.Responses().size() == 1u);
  BOOST_TEST(host.Responses()[0].status == 403);
  host.RunFor(seconds(3));
  host.SendWithoutKey("/added/1", seconds(8));
  BOOST_REQUIRE(host.Responses().size() == 2u);
  BOOST_TEST(host.Responses()[1].status == 503);
  BOOST_TEST((host.Responses()[1].outcome == CallerOutcome::kNotRun));
  host.Send("/read/1", seconds(8));
  host.RunFor(seconds(1));
  BOOST_REQUIRE(host.Responses().size() == 3u);
  BOOST_TEST(host.Responses()[2].status == 200);
}

} // namespace fuchsiaramp
