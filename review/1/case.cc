// Targets deregister while the core restarts. Afterwards, no request that is
// sent later than DrainMs after the acknowledgement may reach them.
#include <iostream>

#include "../support/target.h"

namespace review {

static constexpr std::int64_t kDrainMs = 2500;         // DrainMs
static constexpr std::int64_t kContactWindowMs = 3000; // ContactWindowMs
static constexpr std::int64_t kDownMs = 500; // DEPLOY.md: back within a second
static constexpr std::int64_t kServesOnMs = 11'000; // "at times many seconds"
static constexpr std::int64_t kDeadlineMs = 2500;
static constexpr int kTargetsPerZone = 3;
static constexpr int kMachines = 6;
static constexpr int kControls = 3;

struct Sent
{
  std::mutex lock;
  std::map<std::string, std::int64_t> at; // by attempt id
};

struct Run
{
  std::string attempt;
  std::string target;
};

static void
Consume(Record& aRecord,
        const Address& aFront,
        const std::string& aName,
        Sent& aSent,
        const std::atomic<bool>& aStop)
{
  static constexpr std::int64_t kPauseMs = 100;
  MessageReader reader;
  Socket socket;
  for (int i = 0; !aStop; ++i) {
    const std::string attempt = aName + '-' + std::to_string(i);
    if (!socket.IsOpen()) {
      socket = Connect(aFront, 1000);
      reader = MessageReader();
    }
    {
      const std::lock_guard<std::mutex> hold(aSent.lock);
      aSent.at[attempt] = NowMs();
    }
    aRecord.Line("send " + attempt + " to " + aFront.Text());
    Message reply;
    const bool answered =
      socket.Write(
        RequestText("POST", "/stamp/1", attempt, kDeadlineMs, "body")) &&
      reader.Read(socket, reply, NowMs() + kDeadlineMs) ==
        ReadResult::kComplete;
    aRecord.Line("answer " + attempt + ' ' +
                 (answered ? std::to_string(reply.Status()) : "none"));
    if (!answered || reply.Header("connection") == "close") {
      socket.Close();
    }
    SleepMs(kPauseMs);
  }
}

static int
Main(const std::string& aFolder)
{
  Record record(aFolder + "/record.txt");
  Fleet fleet(record, { .controls = kControls, .machines = kMachines });
  if (!fleet.Start(SimpleConfiguration(2500, 600))) {
    return kCannotRun;
  }
  std::mutex lock;
  std::vector<Run> runs;
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 0; i < 3 * kTargetsPerZone; ++i) {
    TargetOptions options;
    options.id = "i-" + std::to_string(i + 1);
    options.zone = fleet.Zone(i);
    options.address = fleet.TargetAddress(i);
    options.controls = fleet.ControlAddresses();
    targets.push_back(std::make_unique<Target>(record, options));
    targets.back()->onRun =
      [&lock, &runs, id = options.id](const Message& aRequest) {
        const std::lock_guard<std::mutex> hold(lock);
        runs.push_back({ aRequest.Header("x-attempt-id"), id });
      };
  }
  if (!StartTargets(targets)) {
    record.Say("a target was not acknowledged");
    return kCannotRun;
  }
  Sent sent;
  std::atomic<bool> stop{ false };
  std::vector<std::thread> threads;
  for (int i = 0; i < kMachines; ++i) {
    for (int j = 0; j < 3; ++j) {
      threads.emplace_back([&, i, j] {
        Consume(record,
                fleet.FrontAddress(i),
                "c" + std::to_string(i) + std::to_string(j),
                sent,
                stop);
      });
    }
  }
  SleepMs(4000);
  std::int64_t lastEvent = 0;
  if (HasTrouble()) {
    for (int i = 0; i < kControls; ++i) {
      fleet.Kill(fleet.Control(i), SIGKILL);
    }
    SleepMs(kDownMs);
    for (int i = 0; i < kControls; ++i) {
      fleet.Launch(fleet.Control(i));
    }
    lastEvent = NowMs();
  }
  // One target of each zone leaves, each beginning at another control host.
  std::vector<std::int64_t> acknowledged(3, -1);
  std::vector<std::thread> leaving;
  for (std::size_t i = 0; i < 3; ++i) {
    leaving.emplace_back([&, i] {
      acknowledged[i] = targets[i]->Deregister(i, NowMs() + 15'000);
    });
  }
  for (std::thread& thread : leaving) {
    thread.join();
  }
  SleepMs(kServesOnMs);
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  int late = 0;
  const std::lock_guard<std::mutex> hold(lock);
  for (std::size_t i = 0; i < 3; ++i) {
    if (acknowledged[i] < 0) {
      record.Say(targets[i]->Id() + " was not acknowledged");
      continue;
    }
    // Machines are in touch again ContactWindowMs after the last start.
    const std::int64_t from =
      std::max(acknowledged[i] + kDrainMs, lastEvent + kContactWindowMs);
    int count = 0;
    for (const Run& run : runs) {
      const std::int64_t at = sent.at[run.attempt];
      if (run.target == targets[i]->Id() && at > from) {
        ++count;
        record.Line("late " + run.attempt + " sent at " + std::to_string(at) +
                    ", " + std::to_string(at - acknowledged[i]) +
                    " ms after the ack of " + run.target);
      }
    }
    record.Say(targets[i]->Id() + " acknowledged at " +
               std::to_string(acknowledged[i]) + ", requests sent after " +
               std::to_string(from) + " that it ran: " + std::to_string(count));
    late += count;
  }
  record.Say(late > 0 ? "DRAIN broken" : "DRAIN held");
  return late > 0 ? kBroken : kHeld;
}

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::Main(aCount > 1 ? aArguments[1] : ".");
}
