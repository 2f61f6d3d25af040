// Another writer reports the addresses of some targets under ids of its own and
// for a service that no configuration names. Such a heartbeat names no target
// to use, and the others hold: the targets that run there must still get
// requests.
//
//   odd_heartbeat_at_an_address FOLDER
#include <iostream>

#include "../support-2/target.h"

namespace fuchsiaramp::fleet_test {

static constexpr int kTargets = 6;
static constexpr int kReportedElsewhere = 3;
static constexpr double kFloorShare = 0.7;             // FloorShare
static constexpr std::int64_t kWindowMs = 2000;        // FLOOR: "For 2 s"
static constexpr std::int64_t kContactWindowMs = 4000; // ContactWindowMs
static constexpr std::int64_t kPlayMs = 8000;
static constexpr std::int64_t kWarmUpMs = 11'000; // a host trusts a new server
static constexpr std::int64_t kWorkMs = 100;
static constexpr int kCallers = 160;
static constexpr std::int64_t kPeriodMs = 600; // of a caller; 267 requests/s
static constexpr std::int64_t kDeadlineMs = 2500;

struct Sent
{
  std::int64_t at = 0;
  bool served = false;
};

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
    if (!m_fleet.Start(SimpleConfiguration(kDeadlineMs, 600))) {
      return kCannotRun;
    }
    for (int i = 0; i < kTargets; ++i) {
      m_targets.push_back(std::make_unique<Target>(
        m_record, m_fleet, i, TargetOptions{ .workMs = kWorkMs }));
      if (!m_targets.back()->Start()) {
        return kCannotRun;
      }
    }
    SleepMs(kWarmUpMs);
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { RunCaller(i); });
    }
    SleepMs(kContactWindowMs);
    if (HasTrouble()) {
      for (int i = 0; i < kReportedElsewhere; ++i) {
        ReportElsewhere(*m_targets[static_cast<std::size_t>(i)], i);
      }
    }
    const std::int64_t from = NowMs() + 2 * kContactWindowMs;
    SleepMs(2 * kContactWindowMs + kPlayMs + kDeadlineMs);
    m_stopped = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    bool broken = false;
    for (std::int64_t at = from; at < from + kPlayMs; at += kWindowMs) {
      broken = BreaksFloor(at) || broken;
    }
    m_record.Say(broken ? "BROKEN" : "held");
    return broken ? kBroken : kHeld;
  }

private:
  void ReportElsewhere(const Target& aTarget, int aNumber)
  {
    const std::string id = "agent-" + std::to_string(aNumber + 1);
    const std::string body =
      "{\"Service\":\"agents\",\"Address\":\"" + aTarget.Where().Text() +
      "\",\"Zone\":\"" + m_fleet.Zone(aNumber) +
      "\",\"Version\":\"v1\",\"Slots\":1,\"State\":\"ready\","
      "\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":" +
      std::to_string(UnixMs()) + '}';
    const auto reply = Call(m_fleet.ControlAddress(0),
                            "POST",
                            "/rpc?call=instances.heartbeat&of=" + id,
                            body,
                            kHeartbeatAnswerMs);
    m_record.Say("another writer reports " + id + " of the service agents at " +
                 aTarget.Where().Text() + ", the address of " + aTarget.Id() +
                 ": " + (reply ? reply->firstLine : "no answer"));
  }

  void RunCaller(int aCaller)
  {
    std::int64_t due = NowMs() + aCaller * kPeriodMs / kCallers;
    for (int i = 0; !m_stopped; ++i) {
      SleepMs(std::max<std::int64_t>(0, due - NowMs()));
      due = std::max(due + kPeriodMs, NowMs());
      const std::string attempt =
        "c" + std::to_string(aCaller) + '-' + std::to_string(i);
      Sent sent{ NowMs(), false };
      const Socket socket =
        Connect(m_fleet.FrontAddress(aCaller % m_fleet.Entries()), 1000);
      Message reply;
      MessageReader reader;
      sent.served = socket.Write(RequestText(
                      "POST", "/stamp/" + attempt, attempt, kDeadlineMs)) &&
                    reader.Read(socket, reply, NowMs() + kDeadlineMs) ==
                      ReadResult::kComplete &&
                    reply.Status() == 200;
      const std::lock_guard<std::mutex> hold(m_lock);
      m_sent.push_back(sent);
    }
  }

  // FLOOR: some, but less than FloorShare of the sound targets get requests,
  // while more than a tenth of the requests, but under half, aren't served.
  bool BreaksFloor(std::int64_t aFromMs)
  {
    int used = 0;
    for (const auto& target : m_targets) {
      used += target->Arrivals(aFromMs, aFromMs + kWindowMs) > 0 ? 1 : 0;
    }
    int asked = 0;
    int unserved = 0;
    for (const Sent& sent : m_sent) {
      if (sent.at >= aFromMs && sent.at < aFromMs + kWindowMs) {
        ++asked;
        unserved += sent.served ? 0 : 1;
      }
    }
    m_record.Say("2 s from " + std::to_string(aFromMs) + " ms: " +
                 std::to_string(used) + " of " + std::to_string(kTargets) +
                 " sound targets got requests, " + std::to_string(unserved) +
                 " of " + std::to_string(asked) + " weren't served");
    return used > 0 && used < kFloorShare * kTargets && unserved * 10 > asked &&
           unserved * 2 < asked;
  }

  Record m_record;
  Fleet m_fleet;
  std::vector<std::unique_ptr<Target>> m_targets;
  std::mutex m_lock;
  std::vector<Sent> m_sent;
  std::atomic<bool> m_stopped{ false };
};

} // namespace fuchsiaramp::fleet_test

int
main(int aCount, char** aArguments)
{
  return fuchsiaramp::fleet_test::Script(aCount > 1 ? aArguments[1] : ".")
    .Main();
}
