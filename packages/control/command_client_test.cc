#define BOOST_TEST_MODULE command_client
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

#include "control/command_client.h"

namespace fuchsiaramp {

// A control host whose settings name no ledger groups, or fewer, answered last.
BOOST_AUTO_TEST_CASE(FewerGroupsThanBeforeEndNoProcessWithCommandsInHand)
{
  CommandClient client({ HostId("control-1") },
                       [](const HostId&, const wire::Envelope&) {});
  const TimePoint now = FromMicros(1'000'000);
  client.SetGroupLeaders({ "control-1", "control-1", "control-1" });
  wire::Command command;
  command.mutable_finish()->mutable_key()->set_key("k");
  client.Submit(
    command, now + std::chrono::seconds(60), now, [](const auto*) {});
  client.SetGroupLeaders({ "control-1" });
  client.Submit(
    command, now + std::chrono::seconds(60), now, [](const auto*) {});
  client.Tick(now + std::chrono::seconds(1));
  BOOST_TEST(client.PendingCount() == 2u);
}

// A control host and what it received, by the ids of the commands.
class CommandRun
{
public:
  CommandRun()
    : m_client({ HostId("a"), HostId("b"), HostId("c") },
               [this](const HostId& aTo, const wire::Envelope& aMessage) {
                 m_sent[aTo].push_back(aMessage.control_request().request_id());
               })
  {
    m_client.SetGroupLeaders({ "a" });
  }

  void Submit(int aCount)
  {
    wire::Command command;
    command.mutable_server()->set_id("s");
    for (int i = 0; i < aCount; ++i) {
      m_client.Submit(
        command,
        m_now + std::chrono::seconds(60),
        m_now,
        [this](const auto* aResult) { m_done += aResult != nullptr ? 1 : 0; });
    }
  }

  // Replies to everything that the host has received so far.
  void Reply(const std::string& aHost,
             wire::CommandResult::Code aCode,
             const std::string& aLeader = "")
  {
    std::vector<std::uint64_t> received;
    received.swap(m_sent[HostId(aHost)]);
    for (const std::uint64_t id : received) {
      wire::ControlReply reply;
      reply.set_request_id(id);
      reply.set_leader(aLeader);
      reply.mutable_result()->set_code(aCode);
      m_client.OnReply(HostId(aHost), reply, m_now);
    }
  }

  void RunFor(Duration aSpan)
  {
    for (const TimePoint end = m_now + aSpan; m_now < end;
         m_now += std::chrono::milliseconds(20)) {
      m_client.Tick(m_now);
    }
  }

  std::size_t SentTo(const std::string& aHost)
  {
    return m_sent[HostId(aHost)].size();
  }

  TimePoint m_now = FromMicros(1'000'000);
  std::map<HostId, std::vector<std::uint64_t>> m_sent;
  int m_done = 0;
  CommandClient m_client;
};

BOOST_AUTO_TEST_CASE(SendsAllCommandsToALeaderThatReplies)
{
  CommandRun run;
  run.Submit(500);
  for (int i = 0; i < 20; ++i) {
    run.Reply("a", wire::CommandResult::OK);
  }
  BOOST_TEST(run.m_done == 500);
  BOOST_TEST(run.SentTo("b") + run.SentTo("c") == 0u);
}

// At the start of a large fleet, the commands of all hosts went around between
// the control hosts and kept the leader from its heartbeats.
BOOST_AUTO_TEST_CASE(ASilentLeaderIsNotFloodedAndNeitherAreTheOthers)
{
  CommandRun run;
  run.Submit(1000);
  run.Reply("a", wire::CommandResult::OK);
  BOOST_TEST(run.SentTo("a") <= 64u);
  run.m_sent.clear();
  run.RunFor(std::chrono::seconds(2));
  const std::size_t sent = run.SentTo("a") + run.SentTo("b") + run.SentTo("c");
  BOOST_TEST(sent > 0u);
  BOOST_TEST(sent <= 64u + 10u);
}

BOOST_AUTO_TEST_CASE(ALeaderThatRepliesLateKeepsItsCommands)
{
  CommandRun run;
  run.Submit(1);
  run.Reply("a", wire::CommandResult::OK);
  run.Submit(10);
  run.RunFor(std::chrono::milliseconds(200));
  run.Reply("a", wire::CommandResult::OK);
  BOOST_TEST(run.m_done == 11);
  BOOST_TEST(run.SentTo("b") + run.SentTo("c") == 0u);
}

BOOST_AUTO_TEST_CASE(FollowsTheHostThatReplacesASilentLeader)
{
  CommandRun run;
  run.Submit(1);
  run.Reply("a", wire::CommandResult::OK);
  run.Submit(100);
  run.m_sent.clear();
  for (int i = 0; i < 100 && run.m_done < 101; ++i) {
    run.RunFor(std::chrono::milliseconds(40));
    run.Reply("b", wire::CommandResult::NOT_LEADER, "c");
    run.Reply("c", wire::CommandResult::OK);
  }
  BOOST_TEST(run.m_done == 101);
}

BOOST_AUTO_TEST_CASE(HostsThatNameEachOtherAreNotAskedInALoop)
{
  CommandRun run;
  run.Submit(100);
  std::size_t sent = 0;
  for (int i = 0; i < 50; ++i) {
    run.RunFor(std::chrono::milliseconds(20));
    sent += run.SentTo("a") + run.SentTo("b") + run.SentTo("c");
    run.Reply("a", wire::CommandResult::NOT_LEADER, "b");
    run.Reply("b", wire::CommandResult::NOT_LEADER, "a");
    run.Reply("c", wire::CommandResult::NOT_LEADER, "a");
  }
  BOOST_TEST(sent <= 20u);
}

} // namespace fuchsiaramp
