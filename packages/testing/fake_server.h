// A fake backend server for seeded tests: slots, drawn service times, and the
// faults of the brief.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "testing/event_queue.h"

namespace fuchsiaramp {

// What a fake server does wrong.
struct ServerFaults
{
  double fail = 0.0; // share of requests answered with a server error
  double latencyFactor = 1.0;
  double hang = 0.0; // share of requests that are never answered
  bool down = false; // refuses connections
};

struct FakeServerOptions
{
  BackendServerId id;
  Region region;
  FailureDomain failureDomain;
  std::uint32_t slots = 2;
  double meanServiceSeconds = 0.025;
};

enum class FakeAnswer
{
  kOk,
  kError,
  kShed,
  kBroken,
  kRefused,
};

class FakeServer
{
public:
  using AnswerHook = std::function<void(FakeAnswer, std::uint32_t aLoad)>;

  FakeServer(FakeServerOptions aOptions, EventQueue& aQueue, Random aRandom);

  // Runs a request; a poison request crashes the server, which restarts after a
  // moment. aKey is recorded when it is not empty.
  void Run(std::uint64_t aRequest,
           const std::string& aKey,
           bool aPoison,
           AnswerHook aAnswer);
  void Cancel(std::uint64_t aRequest);

  void SetFaults(const ServerFaults& aFaults) { m_faults = aFaults; }
  const ServerFaults& Faults() const { return m_faults; }
  void Crash();
  // Comes back cold: slow at first, under a new incarnation.
  void Restart();

  const FakeServerOptions& Options() const { return m_options; }
  std::uint64_t Incarnation() const { return m_incarnation; }
  // How often each key ran.
  const std::map<std::string, int>& Runs() const { return m_runs; }
  std::uint64_t Served() const { return m_served; }
  std::uint32_t Running() const
  {
    return static_cast<std::uint32_t>(m_running.size());
  }

private:
  double ServiceSeconds();

  FakeServerOptions m_options;
  EventQueue& m_queue;
  Random m_random;
  ServerFaults m_faults;
  std::uint64_t m_incarnation = 1;
  TimePoint m_startedAt;
  std::map<std::uint64_t, AnswerHook> m_running;
  std::map<std::string, int> m_runs;
  std::uint64_t m_served = 0;
};

} // namespace fuchsiaramp
