// Targets deregister while the core restarts. Afterwards, no request that is
// sent later than DrainMs after the acknowledgement may reach them.
#include <iostream>

#include "../support/target.h"

namespace review {

static constexpr std::int64_t kDrainMs = 2500;         // DrainMs
static constexpr std::int64_t kContactWindowMs = 3000; // ContactWindowMs
static constexpr std::int64_t kDownMs = 500; // DEPLOY.md: back within a second
static constexpr std::int64_t kServesOnMs = 9000; // "at times many seconds"
static constexpr std::int64_t kAskMs = 15'000;
static constexpr std::int64_t kDeadlineMs = 2500;
static constexpr int kTargetsPerZone = 12;
// scale_in: a share of 0.13 of the targets, here 3 of 36, at a time.
static constexpr std::size_t kLeavingAtOnce = 3;
static constexpr std::size_t kLeaving = 9; // a round
static constexpr std::int64_t kLeavingPauseMs = 300;
static constexpr std::size_t kRounds = 3;
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

// A target that deregistered, and the requests that count.
struct Leaver
{
  std::string target;
  std::int64_t acknowledgedAt = -1;
  std::int64_t countsFrom = 0; // by the time at which they were sent
  std::int64_t countsUntil = 0;
};

// Kills and restarts the core, and lets kLeaving targets deregister meanwhile,
// each beginning at another control host. They serve on for kServesOnMs.
static void
LetTargetsLeave(Record& aRecord,
                Fleet& aFleet,
                std::vector<std::unique_ptr<Target>>& aTargets,
                std::size_t aFirst,
                std::vector<Leaver>& aLeavers)
{
  std::int64_t lastEvent = 0;
  if (HasTrouble()) {
    for (int i = 0; i < kControls; ++i) {
      aFleet.Kill(aFleet.Control(i), SIGKILL);
    }
    SleepMs(kDownMs);
    for (int i = 0; i < kControls; ++i) {
      aFleet.Launch(aFleet.Control(i));
    }
    lastEvent = NowMs();
  }
  std::vector<std::int64_t> acknowledged(kLeaving, -1);
  std::vector<std::thread> leaving;
  leaving.reserve(kLeaving);
  for (std::size_t i = 0; i < kLeaving; ++i) {
    leaving.emplace_back([&, i] {
      acknowledged[i] = aTargets[aFirst + i]->Deregister(i, NowMs() + kAskMs);
    });
    if (i % kLeavingAtOnce == kLeavingAtOnce - 1) {
      SleepMs(kLeavingPauseMs);
    }
  }
  for (std::thread& thread : leaving) {
    thread.join();
  }
  SleepMs(kServesOnMs);
  const std::int64_t until = NowMs();
  for (std::size_t i = 0; i < kLeaving; ++i) {
    const std::string& id = aTargets[aFirst + i]->Id();
    aTargets[aFirst + i]->Stop();
    if (acknowledged[i] < 0) {
      aRecord.Say(id + " was not acknowledged");
      continue;
    }
    // Machines are in touch again ContactWindowMs after the last start.
    const std::int64_t from =
      std::max(acknowledged[i] + kDrainMs, lastEvent + kContactWindowMs);
    aLeavers.push_back({ id, acknowledged[i], from, until });
  }
}

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
  threads.reserve(static_cast<std::size_t>(kMachines) * 3);
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
  std::vector<Leaver> leavers;
  for (std::size_t round = 0; round < kRounds; ++round) {
    LetTargetsLeave(record, fleet, targets, round * kLeaving, leavers);
  }
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  int late = 0;
  const std::lock_guard<std::mutex> hold(lock);
  for (const Leaver& leaver : leavers) {
    int count = 0;
    for (const Run& run : runs) {
      const std::int64_t at = sent.at[run.attempt];
      if (run.target == leaver.target && at > leaver.countsFrom &&
          at < leaver.countsUntil) {
        ++count;
        record.Line("late " + run.attempt + " sent at " + std::to_string(at) +
                    ", " + std::to_string(at - leaver.acknowledgedAt) +
                    " ms after the ack of " + run.target);
      }
    }
    record.Say(leaver.target + " acknowledged at " +
               std::to_string(leaver.acknowledgedAt) +
               ", requests sent after " + std::to_string(leaver.countsFrom) +
               " that it ran: " + std::to_string(count));
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
