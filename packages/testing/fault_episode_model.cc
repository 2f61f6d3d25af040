#include "testing/fault_episode_model.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace fuchsiaramp {

// Entry hosts exchange updates at the interval and with the delays of entry
// hosts on the production platform.
static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
static constexpr Duration kOutcomeDelay = std::chrono::milliseconds(30);
static constexpr Duration kLoadDelay = std::chrono::milliseconds(1);
static constexpr Duration kPlacementRetryInterval =
  std::chrono::milliseconds(10);
static constexpr Duration kSameDomainTime = std::chrono::milliseconds(80);
static constexpr Duration kFailureLatency = std::chrono::milliseconds(2);
static constexpr double kServiceTimeSigma = 0.6; // log-normal
static constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
static constexpr Duration kCheckedSpan = std::chrono::seconds(2);

FaultEpisodeModel::FaultEpisodeModel(FaultEpisodeOptions aOptions)
  : m_options(aOptions)
  , m_random(aOptions.seed)
  , m_queue(FromMicros(1'000'000))
{
  AddServers();
  AddHosts();
}

Region
FaultEpisodeModel::RegionOf(std::size_t aDomain) const
{
  return Region("region-" +
                std::to_string(aDomain / m_options.domainsPerRegion));
}

void
FaultEpisodeModel::AddServers()
{
  const std::size_t domains = m_options.regions * m_options.domainsPerRegion;
  for (std::size_t i = 0; i < domains * m_options.serversPerDomain; ++i) {
    const std::size_t domain = i % domains;
    Server server;
    server.record.id = BackendServerId("server-" + std::to_string(i));
    server.record.region = RegionOf(domain);
    server.record.failureDomain = FailureDomain(std::to_string(domain));
    server.record.slots = m_options.slots;
    server.record.incarnation = 1;
    server.record.warmUpRemaining = Duration(0);
    server.impaired = i < m_options.impairedServers;
    m_servers.push_back(std::move(server));
  }
}

void
FaultEpisodeModel::AddHosts()
{
  const std::size_t domains = m_options.regions * m_options.domainsPerRegion;
  const std::size_t hosts = domains * m_options.hostsPerDomain;
  for (std::size_t i = 0; i < hosts; ++i) {
    RouterOptions options;
    options.self = HostId("entry-" + std::to_string(i));
    options.region = RegionOf(i % domains);
    options.failureDomain = FailureDomain(std::to_string(i % domains));
    options.usesHealthEstimates = true;
    options.subsetSize = m_servers.size();
    options.retryBudget = { 0.2,
                            m_options.retrySlack / static_cast<double>(hosts),
                            0.0 };
    Host host;
    host.id = options.self;
    host.domain = i % domains;
    host.router = std::make_unique<ServiceRouter>(
      options, Random(m_random.Bits()), [](const Event&) {});
    for (const Server& server : m_servers) {
      host.router->SetServer(server.record, m_queue.Now());
    }
    m_hosts.push_back(std::move(host));
  }
}

FaultEpisodeResult
FaultEpisodeModel::Run(Duration aSpan)
{
  for (std::size_t i = 0; i < m_servers.size(); ++i) {
    if (!m_servers[i].impaired) {
      ScheduleStateChange(i);
    }
  }
  m_queue.At(m_queue.Now() + kCheckedSpan, [this] { ScheduleCheck(); });
  ScheduleArrival();
  ScheduleTick();
  m_queue.RunUntil(m_queue.Now() + aSpan);
  return m_result;
}

// Schedules the server's next change between healthy and faulty.
void
FaultEpisodeModel::ScheduleStateChange(std::size_t aServer)
{
  const double mean = m_servers[aServer].faulty ? m_options.meanEpisodeSeconds
                                                : m_options.meanHealthySeconds;
  const Duration length = FromSeconds(m_random.Exponential(mean));
  m_queue.At(m_queue.Now() + length, [this, aServer] {
    Server& server = m_servers[aServer];
    server.faulty = !server.faulty;
    server.soundSince = m_queue.Now() + kCheckedSpan;
    m_result.episodes += server.faulty ? 1.0 : 0.0;
    ScheduleStateChange(aServer);
  });
}

void
FaultEpisodeModel::ScheduleArrival()
{
  const double mean = 1.0 / m_options.requestsPerSecond;
  m_queue.At(m_queue.Now() + FromSeconds(m_random.Exponential(mean)), [this] {
    Request request;
    request.repeatable = m_random.Chance(m_options.repeatableShare);
    request.host = m_random.Below(m_hosts.size());
    request.arrivedAt = m_queue.Now();
    (request.repeatable ? m_result.repeatable : m_result.nonRepeatable) += 1.0;
    m_hosts[request.host].router->Retries().OnRequest();
    PlaceRequest(std::move(request));
    ScheduleArrival();
  });
}

void
FaultEpisodeModel::ScheduleTick()
{
  m_queue.At(m_queue.Now() + kTickInterval, [this] {
    ShareUpdates();
    ScheduleTick();
  });
}

// Sends outcomes to all hosts, and loads to hosts of the same failure domain.
void
FaultEpisodeModel::ShareUpdates()
{
  for (std::size_t from = 0; from < m_hosts.size(); ++from) {
    ServiceRouter& router = *m_hosts[from].router;
    router.ExpirePeerLoads(m_queue.Now());
    const auto outcomes = router.TakeSharedOutcomes();
    const auto load = router.OwnLoad();
    for (std::size_t to = 0; to < m_hosts.size(); ++to) {
      if (to == from) {
        continue;
      }
      if (!outcomes.empty()) {
        m_queue.At(m_queue.Now() + kOutcomeDelay, [this, to, outcomes] {
          for (const ReportedCounts& item : outcomes) {
            const bool good = item.counts.failures == 0.0;
            m_hosts[to].router->OnSharedOutcome(
              item.server, item.incarnation, good, m_queue.Now());
          }
        });
      }
      if (m_hosts[to].domain == m_hosts[from].domain) {
        m_queue.At(m_queue.Now() + kLoadDelay, [this, from, to, load] {
          m_hosts[to].router->SetPeerLoad(
            m_hosts[from].id, load, {}, m_queue.Now());
        });
      }
    }
  }
}

void
FaultEpisodeModel::PlaceRequest(Request aRequest)
{
  const TimePoint now = m_queue.Now();
  ServiceRouter& router = *m_hosts[aRequest.host].router;
  const bool staysNear = !IsDue(aRequest.arrivedAt + kSameDomainTime, now);
  const auto chosen =
    router.Choose({ aRequest.repeatable, aRequest.excluded, staysNear }, now);
  if (chosen) {
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      if (m_servers[i].record.id == *chosen) {
        StartAttempt(aRequest, i);
      }
    }
    return;
  }
  if (IsDue(aRequest.arrivedAt + m_options.queueTimeout, now)) {
    (aRequest.repeatable ? m_result.repeatableFailed
                         : m_result.nonRepeatableRefused) += 1.0;
    OnEnd(false);
    return;
  }
  m_queue.At(now + kPlacementRetryInterval,
             [this, request = std::move(aRequest)] { PlaceRequest(request); });
}

double
FaultEpisodeModel::FailureRateOf(const Server& aServer) const
{
  if (aServer.impaired) {
    return m_options.impairedFailureRate;
  }
  return aServer.faulty ? m_options.faultyFailureRate
                        : m_options.healthyFailureRate;
}

void
FaultEpisodeModel::OnEnd(bool aServed)
{
  m_ended.emplace_back(m_queue.Now(), aServed);
}

void
FaultEpisodeModel::ScheduleCheck()
{
  const TimePoint now = m_queue.Now();
  while (!m_ended.empty() && IsDue(m_ended.front().first + kCheckedSpan, now)) {
    m_ended.pop_front();
  }
  const auto unserved = static_cast<double>(
    std::count_if(m_ended.begin(), m_ended.end(), [](const auto& aItem) {
      return !aItem.second;
    }));
  const auto ended = static_cast<double>(m_ended.size());
  if (unserved > 0.1 * ended && unserved < 0.5 * ended) {
    m_result.unservedMoments += 1.0;
    m_result.neglectedMoments += NeglectsSoundServers() ? 1.0 : 0.0;
  }
  m_queue.At(now + kCheckInterval, [this] { ScheduleCheck(); });
}

bool
FaultEpisodeModel::NeglectsSoundServers() const
{
  const TimePoint now = m_queue.Now();
  double sound = 0.0;
  double used = 0.0;
  for (const Server& server : m_servers) {
    if (server.impaired || server.faulty || !IsDue(server.soundSince, now)) {
      continue;
    }
    sound += 1.0;
    used += IsDue(server.lastArrivalAt + kCheckedSpan, now) ? 0.0 : 1.0;
  }
  return used > 0.0 && used < m_options.floorShare * sound;
}

void
FaultEpisodeModel::StartAttempt(const Request& aRequest, std::size_t aServer)
{
  Server& server = m_servers[aServer];
  const Host& host = m_hosts[aRequest.host];
  const TimePoint now = m_queue.Now();
  host.router->OnStarted(server.record.id, now);
  server.lastArrivalAt = now;
  AttemptOutcome outcome = AttemptOutcome::kSuccess;
  Duration length = kFailureLatency;
  if (server.running >= server.record.slots) {
    outcome = AttemptOutcome::kShed;
  } else if (m_random.Chance(FailureRateOf(server))) {
    outcome = AttemptOutcome::kServerError;
  } else {
    const double normal = std::sqrt(-2.0 * std::log1p(-m_random.Unit())) *
                          std::cos(2.0 * std::acos(-1.0) * m_random.Unit());
    length = FromSeconds(m_options.meanServiceSeconds *
                         std::exp(kServiceTimeSigma * normal -
                                  kServiceTimeSigma * kServiceTimeSigma / 2.0));
  }
  const bool outsideDomain =
    server.record.failureDomain != FailureDomain(std::to_string(host.domain));
  m_result.outsideDomain += outsideDomain ? 1.0 : 0.0;
  m_result.attempts += 1.0;
  m_result.attemptsFailed +=
    outcome == AttemptOutcome::kServerError ? 1.0 : 0.0;
  ++server.running;
  m_queue.At(now + length, [this, aRequest, aServer, outcome, now] {
    FinishAttempt(aRequest, aServer, outcome, now);
  });
}

void
FaultEpisodeModel::FinishAttempt(Request aRequest,
                                 std::size_t aServer,
                                 AttemptOutcome aOutcome,
                                 TimePoint aStartedAt)
{
  Server& server = m_servers[aServer];
  --server.running;
  ServiceRouter& router = *m_hosts[aRequest.host].router;
  AttemptReport report;
  report.outcome = aOutcome;
  report.latency = m_queue.Now() - aStartedAt;
  router.OnFinished(server.record.id, report, m_queue.Now());
  if (aOutcome == AttemptOutcome::kSuccess) {
    OnEnd(true);
    return;
  }
  const bool mayRetry = aOutcome == AttemptOutcome::kShed ||
                        (aRequest.repeatable && aRequest.excluded.empty());
  if (mayRetry && router.Retries().TryRetry()) {
    aRequest.excluded.insert(server.record.id);
    PlaceRequest(std::move(aRequest));
    return;
  }
  OnEnd(false);
  if (aRequest.repeatable) {
    m_result.repeatableFailed += 1.0;
  } else if (aOutcome == AttemptOutcome::kShed) {
    m_result.nonRepeatableRefused += 1.0;
  } else {
    m_result.nonRepeatableFailed += 1.0;
  }
}

} // namespace fuchsiaramp
