#include "baseline_entry.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace fuchsiaramp {

static constexpr int kConsecutive = 5;
static constexpr double kSuccessRate = 0.85;
static constexpr Duration kWindow = std::chrono::seconds(10);
static constexpr std::size_t kMinVolume = 10; // requests in a window
static constexpr Duration kEjection = std::chrono::seconds(30);
static constexpr double kMaxEjected = 0.4;
static constexpr double kRetryShare = 0.1;
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
    m_tokens = std::min(10.0, m_tokens + kRetryShare);
    Request& request = m_requests[aHead.id];
    request.head = aHead;
    request.queuedUntil = aNow + m_deployment.routing.queueTimeout;
    m_queue.push_back(aHead.id);
    Drain(aNow);
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
      Judge(attempt.server, failed, aNow);
    }
    Request& request = m_requests.at(attempt.request);
    const bool proven = aEnd.outcome == AttemptOutcome::kShed ||
                        aEnd.outcome == AttemptOutcome::kRefused;
    request.mayHaveRun = request.mayHaveRun || (failed && !proven);
    if (aEnd.outcome == AttemptOutcome::kSuccess) {
      Answer(request, CallerOutcome::kAnswered, 200);
    } else if (MayRetry(request, proven)) {
      m_queue.push_front(attempt.request);
      request.queuedUntil = aNow + m_deployment.routing.queueTimeout;
    } else {
      Answer(request,
             request.mayHaveRun ? CallerOutcome::kUnknown
                                : CallerOutcome::kNotRun,
             502);
    }
    Drain(aNow);
  }

  void Tick(TimePoint aNow)
  {
    if (m_policy == BaselinePolicy::kFixedSuccessRate &&
        IsDue(m_judgeAt, aNow)) {
      m_judgeAt = aNow + std::chrono::seconds(1);
      JudgeRates(aNow);
    }
    while (!m_queue.empty() &&
           IsDue(m_requests.at(m_queue.front()).queuedUntil, aNow)) {
      Request& request = m_requests.at(m_queue.front());
      m_queue.pop_front();
      Answer(request,
             request.mayHaveRun ? CallerOutcome::kUnknown
                                : CallerOutcome::kNotRun,
             503);
    }
    m_now = aNow;
    Drain(aNow);
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

  bool MayRetry(Request& aRequest, bool aProven)
  {
    const bool repeatable = aRequest.head.key.IsEmpty();
    if (aRequest.attempts >= kMaxAttempts || (!repeatable && !aProven)) {
      return false;
    }
    if (aProven) {
      return true;
    }
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

  void Judge(std::size_t aServer, bool aFailed, TimePoint aNow)
  {
    Server& server = m_servers[aServer];
    server.consecutive = aFailed ? server.consecutive + 1 : 0;
    server.outcomes.push_back({ aNow, aFailed });
    if (m_policy == BaselinePolicy::kConsecutiveFailures &&
        server.consecutive >= kConsecutive) {
      Eject(aServer, aNow);
    }
  }

  void JudgeRates(TimePoint aNow)
  {
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      Server& server = m_servers[i];
      while (!server.outcomes.empty() &&
             server.outcomes.front().at + kWindow < aNow) {
        server.outcomes.pop_front();
      }
      const auto failures =
        std::count_if(server.outcomes.begin(),
                      server.outcomes.end(),
                      [](const Outcome& aOutcome) { return aOutcome.failed; });
      const double rate =
        1.0 - static_cast<double>(failures) /
                std::max<double>(1.0, double(server.outcomes.size()));
      if (server.outcomes.size() >= kMinVolume && rate < kSuccessRate) {
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
    const double most = kMaxEjected * static_cast<double>(m_servers.size());
    Server& server = m_servers[aServer];
    if (static_cast<double>(ejected + 1) > most || server.ejectedUntil > aNow) {
      return;
    }
    ++server.ejections;
    server.consecutive = 0;
    server.outcomes.clear();
    server.ejectedUntil = aNow + kEjection * server.ejections;
  }

  std::size_t Pick(TimePoint aNow)
  {
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      const bool usable = m_servers[i].ejectedUntil <= aNow &&
                          m_servers[i].outstanding < m_deployment.slots;
      if (usable) {
        free.push_back(i);
      }
    }
    if (free.empty()) {
      return m_servers.size();
    }
    const std::size_t first = free[m_random.Below(free.size())];
    const std::size_t second = free[m_random.Below(free.size())];
    return m_servers[first].outstanding <= m_servers[second].outstanding
             ? first
             : second;
  }

  void Drain(TimePoint aNow)
  {
    m_now = aNow;
    while (!m_queue.empty()) {
      const std::size_t server = Pick(aNow);
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

  void Answer(Request& aRequest, CallerOutcome aOutcome, std::uint32_t aStatus)
  {
    FinalResponse answer;
    answer.request = aRequest.head.id;
    answer.outcome = aOutcome;
    answer.status = aStatus;
    m_requests.erase(answer.request);
    m_hooks.answer(answer);
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
  double m_tokens = 5.0;
  TimePoint m_judgeAt;
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
