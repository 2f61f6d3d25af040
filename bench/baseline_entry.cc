#include "baseline_entry.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace fuchsiaramp {

static constexpr int kMaxConsecutiveFailures = 5;
static constexpr double kMinSuccessRate = 0.85;
static constexpr Duration kRateWindow = std::chrono::seconds(10);
static constexpr std::size_t kMinRequestsInWindow = 10; // requests in a window
static constexpr Duration kEjectionTime = std::chrono::seconds(30);
static constexpr double kMaxEjectedShare = 0.4;
static constexpr double kRetryTokensPerRequest = 0.1;
static constexpr int kMaxAttempts = 4;

class BaselineEntry
{
public:
  BaselineEntry(BaselinePolicy aPolicy,
                const Deployment& aDeployment,
                const EntryHooks& aHooks,
                Random aRandom)
    : m_policy(aPolicy)
    , m_deployment(aDeployment)
    , m_hooks(aHooks)
    , m_random(aRandom)
    , m_servers(aDeployment.servers)
  {
  }

  void OnRequest(const RequestHead& aHead, TimePoint aNow)
  {
    m_retryTokens = std::min(10.0, m_retryTokens + kRetryTokensPerRequest);
    Request& request = m_requests[aHead.id];
    request.head = aHead;
    request.queuedUntil = aNow + m_deployment.routing.queueTimeout;
    m_queue.push_back(aHead.id);
    StartQueuedRequests(aNow);
  }

  void OnAttemptEnd(const AttemptEnd& aEnd, TimePoint aNow)
  {
    const auto it = m_attempts.find(aEnd.id);
    if (it == m_attempts.end()) {
      return;
    }
    const RunningAttempt attempt = it->second;
    m_attempts.erase(it);
    Server& server = m_servers[attempt.server];
    --server.outstanding;
    const bool failed = aEnd.outcome != AttemptOutcome::kSuccess &&
                        aEnd.outcome != AttemptOutcome::kShed;
    if (aEnd.outcome != AttemptOutcome::kShed) {
      RecordOutcome(attempt.server, failed, aNow);
    }
    Request& request = m_requests.at(attempt.request);
    const bool provenNotRun = aEnd.outcome == AttemptOutcome::kShed ||
                              aEnd.outcome == AttemptOutcome::kRefused;
    request.mayHaveRun = request.mayHaveRun || (failed && !provenNotRun);
    if (aEnd.outcome == AttemptOutcome::kSuccess) {
      Respond(request, CallerOutcome::kAnswered, 200);
    } else if (MayRetry(request, provenNotRun)) {
      m_queue.push_front(attempt.request);
      request.queuedUntil = aNow + m_deployment.routing.queueTimeout;
    } else {
      Respond(request,
              request.mayHaveRun ? CallerOutcome::kUnknown
                                 : CallerOutcome::kNotRun,
              502);
    }
    StartQueuedRequests(aNow);
  }

  void Tick(TimePoint aNow)
  {
    if (m_policy == BaselinePolicy::kFixedSuccessRate &&
        IsDue(m_nextRateCheck, aNow)) {
      m_nextRateCheck = aNow + std::chrono::seconds(1);
      EjectBySuccessRate(aNow);
    }
    while (!m_queue.empty() &&
           IsDue(m_requests.at(m_queue.front()).queuedUntil, aNow)) {
      Request& request = m_requests.at(m_queue.front());
      m_queue.pop_front();
      Respond(request,
              request.mayHaveRun ? CallerOutcome::kUnknown
                                 : CallerOutcome::kNotRun,
              503);
    }
    m_now = aNow;
    StartQueuedRequests(aNow);
  }

  bool IsRestricted(const BackendServerId& aServer) const
  {
    const std::size_t index = std::stoul(aServer.Value().substr(7));
    return m_servers[index].ejectedUntil > m_now;
  }

private:
  struct Outcome
  {
    TimePoint at;
    bool failed = false;
  };
  struct Server
  {
    std::uint32_t outstanding = 0;
    int consecutive = 0;
    int ejections = 0;
    TimePoint ejectedUntil;
    std::deque<Outcome> outcomes;
  };
  struct Request
  {
    RequestHead head;
    int attempts = 0;
    bool mayHaveRun = false;
    TimePoint queuedUntil;
  };
  struct RunningAttempt
  {
    RequestId request;
    std::size_t server = 0;
  };

  bool MayRetry(Request& aRequest, bool aProvenNotRun)
  {
    const bool repeatable = aRequest.head.key.IsEmpty();
    if (aRequest.attempts >= kMaxAttempts || (!repeatable && !aProvenNotRun)) {
      return false;
    }
    if (aProvenNotRun) {
      return true;
    }
    if (m_retryTokens < 1.0) {
      return false;
    }
    m_retryTokens -= 1.0;
    return true;
  }

  void RecordOutcome(std::size_t aServer, bool aFailed, TimePoint aNow)
  {
    Server& server = m_servers[aServer];
    server.consecutive = aFailed ? server.consecutive + 1 : 0;
    server.outcomes.push_back({ aNow, aFailed });
    if (m_policy == BaselinePolicy::kConsecutiveFailures &&
        server.consecutive >= kMaxConsecutiveFailures) {
      Eject(aServer, aNow);
    }
  }

  void EjectBySuccessRate(TimePoint aNow)
  {
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      Server& server = m_servers[i];
      while (!server.outcomes.empty() &&
             server.outcomes.front().at + kRateWindow < aNow) {
        server.outcomes.pop_front();
      }
      const auto failures =
        std::count_if(server.outcomes.begin(),
                      server.outcomes.end(),
                      [](const Outcome& aOutcome) { return aOutcome.failed; });
      const double rate =
        1.0 - static_cast<double>(failures) /
                std::max<double>(1.0, double(server.outcomes.size()));
      if (server.outcomes.size() >= kMinRequestsInWindow &&
          rate < kMinSuccessRate) {
        Eject(i, aNow);
      }
    }
  }

  void Eject(std::size_t aServer, TimePoint aNow)
  {
    const auto ejected = std::count_if(
      m_servers.begin(), m_servers.end(), [&](const Server& aOther) {
        return aOther.ejectedUntil > aNow;
      });
    const double maxEjected =
      kMaxEjectedShare * static_cast<double>(m_servers.size());
    Server& server = m_servers[aServer];
    if (static_cast<double>(ejected + 1) > maxEjected ||
        server.ejectedUntil > aNow) {
      return;
    }
    ++server.ejections;
    server.consecutive = 0;
    server.outcomes.clear();
    server.ejectedUntil = aNow + kEjectionTime * server.ejections;
  }

  std::size_t PickServer(TimePoint aNow)
  {
    std::vector<std::size_t> freeServers;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      const bool usable = m_servers[i].ejectedUntil <= aNow &&
                          m_servers[i].outstanding < m_deployment.slots;
      if (usable) {
        freeServers.push_back(i);
      }
    }
    if (freeServers.empty()) {
      return m_servers.size();
    }
    const std::size_t first = freeServers[m_random.Below(freeServers.size())];
    const std::size_t second = freeServers[m_random.Below(freeServers.size())];
    return m_servers[first].outstanding <= m_servers[second].outstanding
             ? first
             : second;
  }

  void StartQueuedRequests(TimePoint aNow)
  {
    m_now = aNow;
    while (!m_queue.empty()) {
      const std::size_t server = PickServer(aNow);
      if (server == m_servers.size()) {
        return;
      }
      Request& request = m_requests.at(m_queue.front());
      m_queue.pop_front();
      ++request.attempts;
      ++m_servers[server].outstanding;
      AttemptStart start;
      start.id = m_nextAttempt;
      m_nextAttempt = m_nextAttempt.Next();
      start.request = request.head.id;
      start.server = BackendServerId("server-" + std::to_string(server));
      start.deadline = aNow + m_deployment.routing.attemptTimeout;
      m_attempts[start.id] = { request.head.id, server };
      m_hooks.startAttempt(start);
    }
  }

  void Respond(Request& aRequest, CallerOutcome aOutcome, std::uint32_t aStatus)
  {
    FinalResponse response;
    response.request = aRequest.head.id;
    response.outcome = aOutcome;
    response.status = aStatus;
    m_requests.erase(response.request);
    m_hooks.answer(response);
  }

  BaselinePolicy m_policy;
  Deployment m_deployment;
  EntryHooks m_hooks;
  Random m_random;
  std::vector<Server> m_servers;
  std::unordered_map<RequestId, Request> m_requests;
  std::unordered_map<AttemptId, RunningAttempt> m_attempts;
  std::deque<RequestId> m_queue;
  AttemptId m_nextAttempt{ 1 };
  double m_retryTokens = 5.0;
  TimePoint m_nextRateCheck;
  TimePoint m_now;
};

DriverFactory
MakeBaseline(BaselinePolicy aPolicy, const Deployment& aDeployment)
{
  return [aPolicy, aDeployment](const EntryOptions&,
                                const EntryHooks& aHooks,
                                Random aRandom,
                                TimePoint) {
    auto entry =
      std::make_shared<BaselineEntry>(aPolicy, aDeployment, aHooks, aRandom);
    BaselineEntry* raw = entry.get();
    EntryDriver driver;
    driver.onRequest = [raw](const RequestHead& aHead, TimePoint aNow) {
      raw->OnRequest(aHead, aNow);
    };
    driver.onAttemptEnd = [raw](const AttemptEnd& aEnd, TimePoint aNow) {
      raw->OnAttemptEnd(aEnd, aNow);
    };
    driver.onMessage = [](const HostId&, const wire::Envelope&, TimePoint) {};
    driver.onAnnouncement = [](const wire::BackendServerRecord&, TimePoint) {};
    driver.tick = [raw](TimePoint aNow) { raw->Tick(aNow); };
    driver.isRestricted = [raw](const BackendServerId& aServer) {
      return raw->IsRestricted(aServer);
    };
    driver.owner = std::move(entry);
    return driver;
  };
}

} // namespace fuchsiaramp
