// A fake backend server for seeded tests, with slots, random service times and
// injected faults.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/random.h"
#include "base/request_rate.h"
#include "base/time.h"
#include "testing/event_queue.h"

namespace fuchsiaramp {

// Faults that a test injects into a fake server.
struct ServerFaults
{
  double failureRate = 0.0; // share of requests that get a server error
  double shedRate = 0.0;    // share of requests that are rejected
  double latencyFactor = 1.0;
  double hangRate = 0.0;    // share of requests that get no response
  bool down = false;        // refuses connections
  bool failsAtOnce = false; // server errors take no service time
  // Named in each response, including rejections.
  std::optional<RequestRate> limit;
};

struct FakeServerOptions
{
  BackendServerId id;
  Region region;
  FailureDomain failureDomain;
  std::uint32_t slots = 2;
  std::uint32_t queue = 0; // requests that may wait for a slot
  double meanServiceSeconds = 0.025;
};

enum class FakeResponse
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
  using ResponseHook = std::function<void(FakeResponse, std::uint32_t aLoad)>;

  FakeServer(FakeServerOptions aOptions, EventQueue& aQueue, Random aRandom);

  // Executes a request. A poison request crashes the server, which restarts two
  // seconds later. A non-empty aKey is counted in ExecutionCounts().
  void HandleRequest(std::uint64_t aRequest,
                     const std::string& aKey,
                     bool aPoison,
                     ResponseHook aResponse);
  void Cancel(std::uint64_t aRequest);

  void SetFaults(const ServerFaults& aFaults) { m_faults = aFaults; }
  const ServerFaults& Faults() const { return m_faults; }
  void Crash();
  // Restarts under a new incarnation, without faults, and slow during warm-up.
  void Restart();

  const FakeServerOptions& Options() const { return m_options; }
  std::uint64_t Incarnation() const { return m_incarnation; }
  // How often each idempotency key was executed.
  const std::map<std::string, int>& ExecutionCounts() const
  {
    return m_executions;
  }
  // Requests that got a slot.
  std::uint64_t AcceptedRequests() const { return m_accepted; }
  std::uint32_t RunningCount() const
  {
    return static_cast<std::uint32_t>(m_running.size());
  }

  double DrawServiceSeconds();

private:
  struct QueuedRequest
  {
    std::uint64_t request = 0;
    ResponseHook respond;
  };

  void Start(std::uint64_t aRequest, ResponseHook aResponse);
  void StartQueued();

  FakeServerOptions m_options;
  EventQueue& m_queue;
  Random m_random;
  ServerFaults m_faults;
  std::uint64_t m_incarnation = 1;
  TimePoint m_startedAt;
  std::map<std::uint64_t, ResponseHook> m_running;
  std::deque<QueuedRequest> m_queued;
  std::map<std::string, int> m_executions;
  std::uint64_t m_accepted = 0;
};

} // namespace fuchsiaramp
