#include "testing/fake_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiaramp {

static constexpr double kColdSeconds = 5.0;
static constexpr double kColdFactor = 3.0;
static constexpr double kSpread = 0.4; // sigma of the logarithm
static constexpr Duration kRestartTime = std::chrono::seconds(2);
static constexpr Duration kCrashDelay = std::chrono::milliseconds(5);

FakeServer::FakeServer(FakeServerOptions aOptions,
                       EventQueue& aQueue,
                       Random aRandom)
  : m_options(std::move(aOptions))
  , m_queue(aQueue)
  , m_random(aRandom)
  , m_startedAt(aQueue.Now() - FromSeconds(2 * kColdSeconds))
{
}

// Log-normal with the given mean, slower while the server is cold.
double
FakeServer::ServiceSeconds()
{
  constexpr double kTwoPi = 6.283185307179586;
  const double normal = std::sqrt(-2.0 * std::log1p(-m_random.Unit())) *
                        std::cos(kTwoPi * m_random.Unit());
  const double age = ToSeconds(m_queue.Now() - m_startedAt);
  const double cold = age < kColdSeconds
                        ? kColdFactor - (kColdFactor - 1.0) * age / kColdSeconds
                        : 1.0;
  return m_options.meanServiceSeconds * m_faults.latencyFactor * cold *
         std::exp(kSpread * normal - kSpread * kSpread / 2);
}

void
FakeServer::Run(std::uint64_t aRequest,
                const std::string& aKey,
                bool aPoison,
                AnswerHook aAnswer)
{
  if (m_faults.down) {
    aAnswer(FakeAnswer::kRefused, 0);
    return;
  }
  if (m_running.size() >= m_options.slots) {
    aAnswer(FakeAnswer::kShed, Running());
    return;
  }
  ++m_served;
  if (!aKey.empty()) {
    ++m_runs[aKey];
  }
  m_running[aRequest] = std::move(aAnswer);
  if (aPoison) {
    m_queue.At(m_queue.Now() + kCrashDelay, [this] {
      Crash();
      m_queue.At(m_queue.Now() + kRestartTime, [this] { Restart(); });
    });
    return;
  }
  if (m_random.Chance(m_faults.hang)) {
    return;
  }
  const bool error = m_random.Chance(m_faults.fail);
  m_queue.At(m_queue.Now() + FromSeconds(ServiceSeconds()),
             [this, aRequest, error] {
               const auto it = m_running.find(aRequest);
               if (it == m_running.end()) {
                 return;
               }
               const AnswerHook answer = std::move(it->second);
               m_running.erase(it);
               answer(error ? FakeAnswer::kError : FakeAnswer::kOk, Running());
             });
}

void
FakeServer::Cancel(std::uint64_t aRequest)
{
  m_running.erase(aRequest);
}

void
FakeServer::Crash()
{
  m_faults.down = true;
  std::map<std::uint64_t, AnswerHook> running;
  running.swap(m_running);
  for (const auto& [request, answer] : running) {
    answer(FakeAnswer::kBroken, 0);
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
