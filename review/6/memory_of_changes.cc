// Plays an operator who sends hundreds of versions of a configuration of 1400
// routes, each with other timeouts than the last, and a platform that kills a
// process that uses more than MemoryMb and starts it again. Without the
// disruption, the configuration has 8 routes besides those that are used.
//
//   memory_of_changes FOLDER
#include <array>
#include <iostream>

// The program that deploy/system.toml names.
#define FUCHSIARAMP_DAEMON "target/programs/fuchsiarampd"
#include "../../platform/process/stand_in_server.h"

namespace fuchsiaramp::fleet_test {

// MemoryMb of the deployments grown/, demands/ and large/.
static constexpr std::int64_t kMemoryBytes = 160LL << 20;
// The largest dose of big_config in the site files.
static constexpr int kIdleRoutes = 1400;
static constexpr int kFewRoutes = 8; // idle_routes of the site files
// The shortest gap_s of config_storm in the site files is 0.06 s.
static constexpr std::int64_t kChangeGapMs = 100;
static constexpr std::int64_t kChangesUntilMs = 80'000;
// PROTOCOL.md: a day may contain hundreds of changes.
static constexpr int kMaxChanges = 400;
static constexpr int kMaxUnacknowledged = 3;
static constexpr std::int64_t kAckTimeoutMs = 4000;
static constexpr std::int64_t kContactWindowMs = 4000;
static constexpr std::int64_t kReadBackMs = 16'000;
static constexpr std::int64_t kCheckMs = 10; // of memory
static constexpr std::int64_t kRestartDelayMs = 200;

static std::string
Configuration(int aVersion, int aRoutes)
{
  std::string text = SimpleConfiguration(4000, 1200);
  const std::string head = "\"Version\":\"r1\",\"BaseVersion\":0";
  const std::string base =
    aVersion == 1 ? "0" : "\"r" + std::to_string(aVersion - 1) + '"';
  text.replace(text.find(head),
               head.size(),
               "\"Version\":\"r" + std::to_string(aVersion) +
                 "\",\"BaseVersion\":" + base);
  std::string routes;
  for (int i = 0; i < aRoutes; ++i) {
    routes += "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"idle-" +
              std::to_string(i) +
              "\"},\"Specification\":{\"Host\":\"calc.example\","
              "\"PathPrefix\":\"/idle-" +
              std::to_string(i) + "/\",\"Kind\":\"unsafe\",\"TimeoutMs\":" +
              std::to_string(4000 + aVersion % 2) +
              ",\"TargetLatencyMs\":1200,\"Priority\":1,\"Service\":\"calc\","
              "\"Attempts\":2}},";
  }
  const std::string list = "\"Resources\":[";
  return text.insert(text.find(list) + list.size(), routes);
}

// The most that the process has used so far.
static std::int64_t
PeakResidentBytes(pid_t aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::atoll(line.c_str() + 6) * 1024;
    }
  }
  return -1;
}

class Script
{
public:
  explicit Script(const std::string& aFolder)
    : m_record(aFolder + "/record.txt")
    , m_fleet(m_record, { .controls = 3, .entries = 3 })
    , m_routes(HasTrouble() ? kIdleRoutes : kFewRoutes)
  {
  }

  int Main()
  {
    if (!m_fleet.Start(Configuration(1, m_routes)) || !StartServer()) {
      return kCannotRun;
    }
    std::thread platform([this] { WatchMemory(); });
    SendChanges();
    const bool readBack = ReadBack();
    m_stopped = true;
    platform.join();
    return Judge(readBack);
  }

private:
  struct Watched
  {
    Fleet::Process* process = nullptr;
    std::int64_t peak = 0;
    int kills = 0;
  };

  bool StartServer()
  {
    m_servers.push_back(
      std::make_unique<StandInServer>(m_record, OptionsOfServer(m_fleet, 0)));
    return StartServers(m_servers);
  }

  // The platform: "A process that uses more than MemoryMb is killed", and
  // started again after a short delay.
  void WatchMemory()
  {
    for (int i = 0; i < 3; ++i) {
      m_watched[static_cast<std::size_t>(i)].process = &m_fleet.Control(i);
      m_watched[static_cast<std::size_t>(i) + 3].process = &m_fleet.Entry(i);
    }
    while (!m_stopped) {
      for (Watched& watched : m_watched) {
        CheckMemory(watched);
      }
      SleepMs(kCheckMs);
    }
  }

  void CheckMemory(Watched& aWatched)
  {
    Fleet::Process& process = *aWatched.process;
    const auto ended = m_fleet.EndStatus(process);
    if (ended) {
      m_record.Say(process.name + " ended with status " +
                   std::to_string(*ended) + ": " +
                   m_fleet.LastLogLine(process));
    }
    const std::int64_t bytes =
      process.pid > 0 ? PeakResidentBytes(process.pid) : -1;
    aWatched.peak = std::max(aWatched.peak, bytes);
    if (bytes > kMemoryBytes) {
      m_record.Say(process.name + " uses " + std::to_string(bytes) +
                   " bytes and is killed");
      ++aWatched.kills;
      m_fleet.Kill(process, SIGKILL);
    }
    if (process.pid <= 0) {
      SleepMs(kRestartDelayMs);
      m_fleet.Launch(process);
    }
  }

  void SendChanges()
  {
    std::int64_t due = NowMs();
    while (NowMs() < kChangesUntilMs && m_acknowledged <= kMaxChanges &&
           m_unacknowledged < kMaxUnacknowledged) {
      due += kChangeGapMs;
      const std::string change = Configuration(m_acknowledged + 1, m_routes);
      if (!Put(change)) {
        ++m_unacknowledged;
        m_record.Say("no ack for r" + std::to_string(m_acknowledged + 1) +
                     " within " + std::to_string(kAckTimeoutMs) + " ms");
        continue; // the same order again
      }
      ++m_acknowledged;
      m_record.Line("ack of r" + std::to_string(m_acknowledged));
      SleepMs(std::max<std::int64_t>(0, due - NowMs()));
      due = std::max(due, NowMs() - kChangeGapMs);
    }
    m_record.Say("newest version that was acknowledged: r" +
                 std::to_string(m_acknowledged));
  }

  bool Put(const std::string& aChange)
  {
    const std::int64_t until = NowMs() + kAckTimeoutMs;
    while (NowMs() < until) {
      for (const Address& control : m_fleet.ControlAddresses()) {
        const auto reply =
          Call(control, "POST", "/rpc?call=configuration.put", aChange, 2000);
        if (reply && reply->Status() == 200) {
          return true;
        }
        if (reply && reply->Status() != 307 && reply->Status() != 503) {
          m_record.Line("refused: " + reply->firstLine + ' ' + reply->body);
        }
      }
      SleepMs(50);
    }
    return false;
  }

  // Asks again and again for longer than ContactWindowMs.
  bool ReadBack()
  {
    const std::int64_t until = NowMs() + kContactWindowMs + kReadBackMs;
    while (NowMs() < until) {
      for (const Address& control : m_fleet.ControlAddresses()) {
        const auto reply =
          Call(control, "POST", "/rpc?call=configuration.get", "", 2000);
        if (reply && reply->Status() == 200) {
          const std::string key = "\"Version\":\"r";
          const std::size_t at = reply->body.find(key);
          const int version =
            at == std::string::npos
              ? 0
              : std::atoi(reply->body.c_str() + at + key.size());
          m_record.Say(control.Text() + " answers with r" +
                       std::to_string(version));
          // An order without an ack may be in force.
          return version >= m_acknowledged;
        }
      }
      SleepMs(100);
    }
    m_record.Say("no control host answers a read of the configuration");
    return false;
  }

  int Judge(bool aReadBack)
  {
    int ended = 0; // processes that ended three times
    for (const Watched& watched : m_watched) {
      m_record.Say(watched.process->name + ": peak " +
                   std::to_string(watched.peak >> 20) + " MB, killed " +
                   std::to_string(watched.kills) + " times");
      ended += watched.kills >= 3 ? 1 : 0;
    }
    const bool broken = !aReadBack || ended >= 2;
    m_record.Say(broken ? "BROKEN" : "held");
    return broken ? kBroken : kHeld;
  }

  Record m_record;
  Fleet m_fleet;
  int m_routes;
  std::vector<std::unique_ptr<StandInServer>> m_servers;
  std::array<Watched, 6> m_watched;
  std::atomic<bool> m_stopped{ false };
  int m_acknowledged = 1;
  int m_unacknowledged = 0;
};

} // namespace fuchsiaramp::fleet_test

int
main(int aCount, char** aArguments)
{
  return fuchsiaramp::fleet_test::Script(aCount > 1 ? aArguments[1] : ".")
    .Main();
}
