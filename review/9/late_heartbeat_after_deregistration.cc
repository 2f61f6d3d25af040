// A target that has just started is told to leave. It deregisters, which is
// acknowledged; its first heartbeat arrives some seconds late, after that. No
// request may reach it later than DrainMs after the acknowledgement; another
// target is ready.
//
//   late_heartbeat_after_deregistration FOLDER
#include <iostream>

#include "../support-2/target.h"

namespace fuchsiaramp::fleet_test {

static constexpr std::int64_t kDrainMs = 2500;
static constexpr std::int64_t kLeavesAfterMs =
  500; // before its second heartbeat
static constexpr std::int64_t kLateMs =
  4000; // "A ping may arrive seconds late"
static constexpr std::int64_t kSettleMs = 1000;
static constexpr std::int64_t kServesForMs =
  10'000; // after the acknowledgement
static constexpr std::int64_t kDeadlineMs = 4000;
static constexpr std::int64_t kPauseMs = 100;

class Script
{
public:
  explicit Script(const std::string& aFolder)
    : m_record(aFolder + "/record.txt")
    , m_fleet(m_record, { .controls = 3, .entries = 3 })
  {
  }

  int Main()
  {
    if (!m_fleet.Start(SimpleConfiguration(kDeadlineMs, 1200))) {
      return kCannotRun;
    }
    Target other(m_record, m_fleet, 1, {});
    Target leaving(m_record, m_fleet, 0, { .reports = false });
    if (!other.Start() || !leaving.Start()) {
      return kCannotRun;
    }
    SleepMs(kSettleMs);
    const std::int64_t startedAt = NowMs();
    const std::string heartbeat = leaving.Heartbeat();
    std::thread network(
      [this, heartbeat] { Deliver(heartbeat, HasTrouble() ? kLateMs : 0); });
    SleepMs(kLeavesAfterMs);
    const std::int64_t acknowledgedAt = leaving.Deregister();
    SleepMs(startedAt + kLateMs + kSettleMs - NowMs());
    network.join();
    if (acknowledgedAt < 0 || !m_delivered) {
      m_record.Say("the case could not run");
      return kCannotRun;
    }
    int late = 0;
    for (int i = 0; NowMs() < acknowledgedAt + kServesForMs; ++i) {
      const std::string attempt = "late-" + std::to_string(i);
      const std::int64_t sentAt = NowMs();
      Send(i % m_fleet.Entries(), attempt);
      const bool arrived = leaving.ArrivedAt(attempt) >= 0;
      late += arrived && sentAt > acknowledgedAt + kDrainMs ? 1 : 0;
      SleepMs(kPauseMs);
    }
    m_record.Say(std::to_string(late) + " requests that were sent later than " +
                 std::to_string(kDrainMs) +
                 " ms after the acknowledgement reached i-1");
    m_record.Say(late > 0 ? "BROKEN" : "held");
    return late > 0 ? kBroken : kHeld;
  }

private:
  // The heartbeat on its way to the third control host.
  void Deliver(const std::string& aHeartbeat, std::int64_t aDelayMs)
  {
    m_record.Say("i-1 sends its first heartbeat");
    SleepMs(aDelayMs);
    const auto reply = Call(m_fleet.ControlAddress(2),
                            "POST",
                            "/rpc?call=instances.heartbeat&of=i-1",
                            aHeartbeat,
                            kHeartbeatAnswerMs);
    m_delivered = reply.has_value();
    m_record.Say("the first heartbeat of i-1 arrives, " +
                 (reply ? reply->firstLine : std::string("no answer")));
  }

  void Send(int aHost, const std::string& aAttempt)
  {
    const Socket socket = Connect(m_fleet.FrontAddress(aHost), 1000);
    Message reply;
    MessageReader reader;
    const bool answered =
      socket.Write(
        RequestText("POST", "/stamp/" + aAttempt, aAttempt, kDeadlineMs)) &&
      reader.Read(socket, reply, NowMs() + kDeadlineMs + 1000) ==
        ReadResult::kComplete;
    m_record.Line("request " + aAttempt + " is answered with " +
                  (answered ? reply.firstLine : "nothing"));
  }

  Record m_record;
  Fleet m_fleet;
  std::atomic<bool> m_delivered{ false };
};

} // namespace fuchsiaramp::fleet_test

int
main(int aCount, char** aArguments)
{
  return fuchsiaramp::fleet_test::Script(aCount > 1 ? aArguments[1] : ".")
    .Main();
}
