#include "testing/fake_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiaramp {

static constexpr double kWarmUpSeconds = 5.0;
static constexpr double kColdSlowdown = 3.0;
static constexpr double kServiceTimeSigma = 0.4; // log-normal
static constexpr Duration kRestartTime = std::chrono::seconds(2);
static constexpr Duration kCrashDelay = std::chrono::milliseconds(5);

FakeServer::FakeServer(FakeServerOptions aOptions,
                       EventQueue& aQueue,
                       Random aRandom)
  : m_options(std::move(aOptions))
  , m_queue(aQueue)
  , m_random(aRandom)
  , m_startedAt(aQueue.Now() - FromSeconds(2 * kWarmUpSeconds))
{
}

// Draws a log-normal service time, which is longer during warm-up.
double
FakeServer::DrawServiceSeconds()
{
  constexpr double kTwoPi = 6.283185307179586;
  const double normal = std::sqrt(-2.0 * std::log1p(-m_random.Unit())) *
                        std::cos(kTwoPi * m_random.Unit());
  const double age = ToSeconds(m_queue.Now() - m_startedAt);
  const double cold =
    age < kWarmUpSeconds
      ? kColdSlowdown - (kColdSlowdown - 1.0) * age / kWarmUpSeconds
      : 1.0;
  return m_options.meanServiceSeconds * m_faults.latencyFactor * cold *
         std::exp(kServiceTimeSigma * normal -
                  kServiceTimeSigma * kServiceTimeSigma / 2);
}

void
FakeServer::HandleRequest(std::uint64_t aRequest,
                          const std::string& aKey,
                          bool aPoison,
                          ResponseHook aResponse)
{
  if (m_faults.down) {
    aResponse(FakeResponse::kRefused, 0);
    return;
  }
  const bool full = m_running.size() >= m_options.slots;
  if ((full && m_queued.size() >= m_options.queue) ||
      m_random.Chance(m_faults.shedRate)) {
    aResponse(FakeResponse::kShed, RunningCount());
    return;
  }
  ++m_accepted;
  if (!aKey.empty()) {
    ++m_executions[aKey];
  }
  if (full) {
    m_queued.push_back({ aRequest, std::move(aResponse) });
    return;
  }
  if (aPoison) {
    m_running[aRequest] = std::move(aResponse);
    m_queue.At(m_queue.Now() + kCrashDelay, [this] {
      Crash();
      m_queue.At(m_queue.Now() + kRestartTime, [this] { Restart(); });
    });
    return;
  }
  Start(aRequest, std::move(aResponse));
}

void
FakeServer::Start(std::uint64_t aRequest, ResponseHook aResponse)
{
  m_running[aRequest] = std::move(aResponse);
  if (m_random.Chance(m_faults.hangRate)) {
    return;
  }
  const bool error = m_random.Chance(m_faults.failureRate);
  const Duration span = error && m_faults.failsAtOnce
                          ? Duration()
                          : FromSeconds(DrawServiceSeconds());
  m_queue.At(m_queue.Now() + span, [this, aRequest, error] {
    const auto it = m_running.find(aRequest);
    if (it == m_running.end()) {
      return;
    }
    const ResponseHook respond = std::move(it->second);
    m_running.erase(it);
    respond(error ? FakeResponse::kError : FakeResponse::kOk, RunningCount());
    StartQueued();
  });
}

void
FakeServer::StartQueued()
{
  while (!m_queued.empty() && m_running.size() < m_options.slots) {
    QueuedRequest next = std::move(m_queued.front());
    m_queued.pop_front();
    Start(next.request, std::move(next.respond));
  }
}

void
FakeServer::Cancel(std::uint64_t aRequest)
{
  std::erase_if(m_queued, [aRequest](const QueuedRequest& aQueued) {
    return aQueued.request == aRequest;
  });
  m_running.erase(aRequest);
  StartQueued();
}

void
FakeServer::Crash()
{
  m_faults.down = true;
  std::map<std::uint64_t, ResponseHook> running;
  running.swap(m_running);
  for (QueuedRequest& queued : std::exchange(m_queued, {})) {
    running[queued.request] = std::move(queued.respond);
  }
  for (const auto& [request, respond] : running) {
    respond(FakeResponse::kBroken, 0);
  }
}

void
FakeServer::Restart()
{
  m_faults = ServerFaults();
  ++m_incarnation;
  m_startedAt = m_queue.Now();
}

} // namespace fuchsiaramp
