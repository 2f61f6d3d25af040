#include "testing/load_model.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <utility>

namespace fuchsiaramp {

static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
static constexpr Duration kDomainDelay = std::chrono::milliseconds(1);
static constexpr Duration kRegionDelay = std::chrono::milliseconds(20);
static constexpr Duration kStartTime = std::chrono::seconds(3);
static constexpr Duration kWarmUp = std::chrono::seconds(3);
static constexpr double kMeanEpisodeSeconds = 5.0;
static constexpr double kFaultyFailureRate = 0.9;
static constexpr int kViewsOfHosts = 3; // pushed to each host
// After this long, control takes a host that it does not hear of for gone.
static constexpr Duration kReportLifetime = std::chrono::seconds(5);
static constexpr char kControlHost[] = "control-1";
static constexpr char kService[] = "service";
static constexpr char kCallerHost[] = "service.example";

RoutingSettings
SharedOutcomesRouting()
{
  RoutingSettings routing;
  routing.sharesOutcomes = true;
  routing.retryBudget = 0.2;
  routing.retrySlack = 220.0;
  routing.requestTimeout = std::chrono::seconds(60);
  routing.attemptTimeout = std::chrono::seconds(60);
  routing.queueTimeout = std::chrono::seconds(2);
  return routing;
}

LoadOptions
CompetitionLoad(double aBurstFactor, double aFaultyShare)
{
  LoadOptions options;
  options.hosts = 139;
  options.meanServiceSeconds = 0.25;
  options.faultyShare = aFaultyShare;
  options.services = { { "large", 222 }, { "small", 39 } };
  options.burstFrom = std::chrono::seconds(3);
  options.burstUntil = std::chrono::seconds(9);
  options.hasTeams = true;
  const auto kind = [&](const char* aName,
                        const char* aService,
                        std::uint32_t aPriority,
                        Duration aObjective,
                        double aWorth,
                        double aLoad) {
    KindOfLoad added;
    added.name = aName;
    added.service = aService;
    added.priority = aPriority;
    added.objective = aObjective;
    added.worth = aWorth;
    added.load = aLoad;
    options.kinds.push_back(added);
  };
  kind("urgent", "small", 2, std::chrono::milliseconds(900), 5.0, 0.12);
  kind("report", "small", 1, std::chrono::milliseconds(1200), 1.0, 0.45);
  kind("page", "large", 1, std::chrono::milliseconds(900), 2.0, 0.45);
  kind("bulk", "large", 0, std::chrono::milliseconds(1500), 1.0, 0.15);
  options.kinds[1].burstFactor = aBurstFactor;
  options.kinds[2].burstFactor = aBurstFactor;
  return options;
}

LoadModel::LoadModel(const LoadOptions& aOptions)
  : m_options(aOptions)
  , m_random(m_options.seed)
  , m_queue(FromMicros(1'000'000'000))
{
  SetDefaults();
  AddServers();
  AddHosts();
}

void
LoadModel::SetDefaults()
{
  if (m_options.services.empty()) {
    m_options.services.push_back({ kService, m_options.servers });
  }
  if (m_options.kinds.empty()) {
    KindOfLoad kind;
    kind.name = kService;
    kind.service = kService;
    kind.objective = m_options.objective;
    kind.load = m_options.load;
    kind.repeatableShare = m_options.repeatableShare;
    m_options.kinds.push_back(kind);
  }
  m_result.kinds.resize(m_options.kinds.size());
}

FailureDomain
LoadModel::DomainOf(std::size_t aDomain) const
{
  return FailureDomain("domain-" + std::to_string(aDomain));
}

Region
LoadModel::RegionOf(std::size_t aDomain) const
{
  return Region("region-" + std::to_string(aDomain % m_options.regions));
}

void
LoadModel::AddServers()
{
  const std::size_t domains = DomainCount();
  for (const ServiceOfLoad& service : m_options.services) {
    m_serviceOfServer.insert(
      m_serviceOfServer.end(), service.servers, service.name);
  }
  for (std::size_t i = 0; i < m_serviceOfServer.size(); ++i) {
    FakeServerOptions options;
    options.id = BackendServerId("server-" + std::to_string(i));
    options.region = RegionOf(i % domains);
    options.failureDomain = DomainOf(i % domains);
    options.slots = m_options.slots;
    options.queue = m_options.serverQueue;
    options.meanServiceSeconds = m_options.meanServiceSeconds;
    m_serverIndex[options.id] = i;
    m_servers.push_back(
      std::make_unique<FakeServer>(options, m_queue, Random(m_random.Bits())));
  }
  m_arrivals.resize(m_servers.size());
}

void
LoadModel::AddHosts()
{
  const std::size_t domains = DomainCount();
  m_hosts.resize(m_options.hosts);
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    Host& host = m_hosts[i];
    host.id = HostId("entry-" + std::to_string(i));
    host.domain = i % domains;
    m_hostIndex[host.id] = i;
    CreateNode(i);
  }
}

void
LoadModel::CreateNode(std::size_t aHost)
{
  Host& host = m_hosts[aHost];
  EntryOptions options;
  options.incarnation = host.incarnation;
  options.settings.host = host.id;
  options.settings.region = RegionOf(host.domain);
  options.settings.failureDomain = DomainOf(host.domain);
  options.settings.callerAddress = "10.1.0.1:" + std::to_string(aHost + 1);
  options.settings.messageAddress = host.id.Value();
  options.settings.routing = m_options.routing;
  options.settings.membershipByControl = true;
  options.settings.sameDomainShare = 1.0;
  options.settings.controlHosts.push_back({ HostId(kControlHost), "", "" });
  host.viewsSent = 0;
  host.node = std::make_unique<EntryNode>(
    options, HooksOf(aHost), Random(m_random.Bits()), m_queue.Now());
}

void
LoadModel::At(Duration aAfterStart, std::function<void()> aAction)
{
  m_actions.emplace(aAfterStart, std::move(aAction));
}

void
LoadModel::SetLimit(std::size_t aServer, std::optional<RequestRate> aLimit)
{
  ServerFaults faults = m_servers[aServer]->Faults();
  faults.limit = aLimit;
  m_servers[aServer]->SetFaults(faults);
}

void
LoadModel::PauseHost(std::size_t aHost, Duration aSpan)
{
  m_hosts[aHost].pausedUntil = m_queue.Now() + aSpan;
}

void
LoadModel::IsolateHost(std::size_t aHost, Duration aSpan)
{
  m_hosts[aHost].isolatedUntil = m_queue.Now() + aSpan;
  m_queue.At(m_queue.Now() + kReportLifetime, [this, aHost] {
    if (IsIsolated(aHost)) {
      SetAbsent(aHost, true);
    }
  });
  m_queue.At(m_queue.Now() + aSpan, [this, aHost] { SetAbsent(aHost, false); });
}

void
LoadModel::RestartHost(std::size_t aHost, Duration aSpan)
{
  Host& host = m_hosts[aHost];
  ++host.incarnation;
  host.down = true;
  for (auto it = m_attempts.begin(); it != m_attempts.end();) {
    if (it->first.first == aHost) {
      m_servers[it->second.server]->Cancel(it->second.serverRequest);
      it = m_attempts.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(m_pending, [aHost](const auto& aItem) {
    return aItem.second.host == aHost;
  });
  m_queue.At(m_queue.Now() + kReportLifetime, [this, aHost] {
    if (m_hosts[aHost].down) {
      SetAbsent(aHost, true);
    }
  });
  m_queue.At(m_queue.Now() + aSpan, [this, aHost] {
    m_hosts[aHost].down = false;
    CreateNode(aHost);
    SetAbsent(aHost, false);
  });
}

void
LoadModel::LosePower(Duration aSpan, Duration aLeaderAfter)
{
  m_leaderlessUntil = m_queue.Now() + aLeaderAfter;
  for (std::size_t host = 0; host < m_hosts.size(); ++host) {
    RestartHost(host, aSpan);
  }
}

void
LoadModel::SetAbsent(std::size_t aHost, bool aAbsent)
{
  m_hosts[aHost].absent = aAbsent;
  for (Host& host : m_hosts) {
    host.viewsSent = 0;
  }
}

void
LoadModel::RunOnHost(std::size_t aHost, std::function<void()> aAction)
{
  const Host& host = m_hosts[aHost];
  if (host.down) {
    return;
  }
  if (IsDue(host.pausedUntil, m_queue.Now())) {
    aAction();
    return;
  }
  m_queue.At(
    host.pausedUntil,
    [this, aHost, incarnation = host.incarnation, action = std::move(aAction)] {
      if (m_hosts[aHost].incarnation == incarnation) {
        RunOnHost(aHost, action);
      }
    });
}

EntryHooks
LoadModel::HooksOf(std::size_t aHost)
{
  EntryHooks hooks;
  hooks.send = [this, aHost](const HostId& aTo,
                             const wire::Envelope& aMessage) {
    if (IsIsolated(aHost)) {
      return;
    }
    const auto to = m_hostIndex.find(aTo);
    if (to == m_hostIndex.end()) {
      OnControlMessage(aHost, aMessage);
      return;
    }
    m_result.messages += m_counting ? 1.0 : 0.0;
    m_result.messageBytes +=
      m_counting ? static_cast<double>(aMessage.ByteSizeLong()) : 0.0;
    Deliver(to->second,
            m_hosts[aHost].id,
            aMessage,
            Delay(m_hosts[aHost].domain, m_hosts[to->second].domain));
  };
  hooks.startAttempt = [this, aHost](const AttemptStart& aStart) {
    return StartAttempt(aHost, aStart);
  };
  hooks.cancelAttempt = [this, aHost](AttemptId aAttempt) {
    const auto it = m_attempts.find({ aHost, aAttempt });
    if (it != m_attempts.end()) {
      m_servers[it->second.server]->Cancel(it->second.serverRequest);
      m_attempts.erase(it);
    }
  };
  hooks.startProbe = [](ProbeId, const std::string&) {};
  hooks.answer = [this](const FinalResponse& aResponse) {
    OnResponse(aResponse);
  };
  hooks.hostChanged = [](const wire::HostRecord&) {};
  hooks.record = [](const Event&) {};
  return hooks;
}

Duration
LoadModel::Delay(std::size_t aFromDomain, std::size_t aToDomain) const
{
  return RegionOf(aFromDomain) == RegionOf(aToDomain) ? kDomainDelay
                                                      : kRegionDelay;
}

void
LoadModel::Deliver(std::size_t aHost,
                   const HostId& aFrom,
                   wire::Envelope aMessage,
                   Duration aDelay)
{
  m_queue.At(m_queue.Now() + aDelay,
             [this, aHost, aFrom, message = std::move(aMessage)] {
               if (IsIsolated(aHost)) {
                 return;
               }
               RunOnHost(aHost, [this, aHost, aFrom, message] {
                 m_hosts[aHost].node->OnMessage(aFrom, message, m_queue.Now());
               });
             });
}

// One control host confirms the lists and relays evidence to all hosts.
void
LoadModel::OnControlMessage(std::size_t aHost, const wire::Envelope& aMessage)
{
  if (aMessage.has_lists_pull()) {
    wire::Envelope reply;
    *reply.mutable_lists_push() = MakePush(aHost, aMessage.lists_pull());
    Deliver(aHost, HostId(kControlHost), std::move(reply), kDomainDelay);
  } else if (aMessage.has_evidence()) {
    for (std::size_t to = 0; to < m_hosts.size(); ++to) {
      if (to != aHost) {
        Deliver(to, HostId(kControlHost), aMessage, kRegionDelay);
      }
    }
  }
}

static std::string
PathOf(const KindOfLoad& aKind, bool aRepeatable)
{
  return '/' + aKind.name + (aRepeatable ? "/read/" : "/once/");
}

wire::ListsPush
LoadModel::MakePush(std::size_t aHost, const wire::ListsPull& aPull)
{
  wire::ListsPush push;
  push.set_pull_id(aPull.pull_id());
  if (!IsDue(m_leaderlessUntil, m_queue.Now())) {
    return push;
  }
  push.set_confirmed(true);
  push.set_current_version(1);
  push.set_leader(kControlHost);
  if (aPull.have_version() == 0) {
    wire::ListsDelta* delta = push.add_deltas();
    delta->set_to_version(1);
    for (const KindOfLoad& kind : m_options.kinds) {
      for (const bool repeatable : { true, false }) {
        wire::Route* route = delta->add_open_routes();
        route->set_name(kind.name + (repeatable ? "-read" : "-once"));
        route->set_host(kCallerHost);
        route->set_path_prefix(PathOf(kind, repeatable));
        route->set_service(kind.service);
        route->set_priority(kind.priority);
        route->set_repeatable(repeatable);
        route->set_once_per_attempt(!repeatable);
        route->set_max_servers(2);
        route->set_timeout_us(m_options.timeout.count());
        route->set_latency_objective_us(kind.objective.count());
        route->set_is_public(m_options.hasTeams);
      }
    }
    if (m_options.hasTeams) {
      delta->add_teams()->set_name("team");
    }
  }
  if (aPull.have_servers_version() == 0) {
    push.mutable_servers()->set_full(true);
    push.mutable_servers()->set_to_version(1);
    for (const auto& server : m_servers) {
      const FakeServerOptions& options = server->Options();
      wire::BackendServerRecord* record = push.mutable_servers()->add_servers();
      record->set_id(options.id.Value());
      record->set_service(m_serviceOfServer[m_serverIndex.at(options.id)]);
      record->set_address("10.0.0.1:" +
                          std::to_string(push.servers().servers_size()));
      record->set_region(options.region.Value());
      record->set_failure_domain(options.failureDomain.Value());
      record->set_slots(options.slots);
      record->set_incarnation(1);
      record->set_cold_us(0);
    }
  }
  Host& puller = m_hosts[aHost];
  if (aPull.has_self() && puller.viewsSent < kViewsOfHosts) {
    ++puller.viewsSent;
    push.set_has_hosts(true);
    std::map<std::size_t, std::uint32_t> sizes;
    for (const Host& host : m_hosts) {
      if (host.absent) {
        continue;
      }
      ++sizes[host.domain];
      if (RegionOf(host.domain) == RegionOf(puller.domain)) {
        *push.add_hosts() = host.node->Members().Self();
      }
    }
    for (const auto& [domain, size] : sizes) {
      push.add_domain_sizes(size);
    }
  }
  return push;
}

LoadResult
LoadModel::Run(Duration aSpan)
{
  ScheduleTick();
  m_queue.RunUntil(m_queue.Now() + kStartTime);
  for (std::size_t i = 0; i < m_servers.size(); ++i) {
    SetFaulty(i, m_random.Chance(m_options.faultyShare));
    if (m_options.faultyShare > 0.0) {
      ScheduleFault(i);
    }
  }
  m_countingFrom = m_queue.Now() + kWarmUp;
  for (std::size_t kind = 0; kind < m_options.kinds.size(); ++kind) {
    ScheduleArrival(kind);
  }
  for (const auto& [after, action] : m_actions) {
    m_queue.At(m_queue.Now() + after, action);
  }
  m_queue.RunUntil(m_queue.Now() + kWarmUp);
  m_counting = true;
  m_queue.RunUntil(m_queue.Now() + aSpan);
  m_counting = false;
  // Lets the last counted requests end.
  m_queue.RunUntil(m_queue.Now() + m_options.callerTimeout);
  return m_result;
}

void
LoadModel::ScheduleTick()
{
  for (Host& host : m_hosts) {
    if (!host.down && IsDue(host.pausedUntil, m_queue.Now())) {
      host.node->Tick(m_queue.Now());
    }
  }
  m_queue.At(m_queue.Now() + kTickInterval, [this] { ScheduleTick(); });
}

void
LoadModel::SetFaulty(std::size_t aServer, bool aFaulty)
{
  ServerFaults faults = m_servers[aServer]->Faults();
  faults.failureRate = aFaulty ? kFaultyFailureRate : 0.0;
  faults.failsAtOnce = true;
  faults.shedRate = m_options.shedRate;
  m_servers[aServer]->SetFaults(faults);
}

// Draws the times between episodes so that faultyShare of the servers is faulty
// on average.
void
LoadModel::ScheduleFault(std::size_t aServer)
{
  const bool faulty = m_servers[aServer]->Faults().failureRate > 0.0;
  const double meanHealthySeconds =
    kMeanEpisodeSeconds * (1.0 - m_options.faultyShare) / m_options.faultyShare;
  const double mean = faulty ? kMeanEpisodeSeconds : meanHealthySeconds;
  m_queue.At(m_queue.Now() + FromSeconds(m_random.Exponential(mean)),
             [this, aServer, faulty] {
               SetFaulty(aServer, !faulty);
               ScheduleFault(aServer);
             });
}

double
LoadModel::ArrivalRate(const KindOfLoad& aKind) const
{
  const auto servers = std::count(
    m_serviceOfServer.begin(), m_serviceOfServer.end(), aKind.service);
  return aKind.load * static_cast<double>(servers) * m_options.slots /
         m_options.meanServiceSeconds;
}

double
LoadModel::CurrentRate(const KindOfLoad& aKind) const
{
  const bool inBurst =
    IsDue(m_countingFrom + m_options.burstFrom, m_queue.Now()) &&
    !IsDue(m_countingFrom + m_options.burstUntil, m_queue.Now());
  return ArrivalRate(aKind) * (inBurst ? aKind.burstFactor : 1.0);
}

void
LoadModel::ScheduleArrival(std::size_t aKind)
{
  const double mean = 1.0 / CurrentRate(m_options.kinds[aKind]);
  m_queue.At(m_queue.Now() + FromSeconds(m_random.Exponential(mean)),
             [this, aKind] {
               SendRequest(aKind);
               ScheduleArrival(aKind);
             });
}

static void
CountInStep(std::vector<double>& aSteps, Duration aTime)
{
  const auto step = static_cast<std::size_t>(aTime / kLoadStep);
  aSteps.resize(std::max(aSteps.size(), step + 1));
  aSteps[step] += 1.0;
}

double
KindResult::InTimeShare(Duration aFrom, Duration aUntil) const
{
  double all = 0.0;
  double served = 0.0;
  const auto until = static_cast<std::size_t>(aUntil / kLoadStep);
  for (auto i = static_cast<std::size_t>(aFrom / kLoadStep);
       i < std::min(until, requestsByStep.size());
       ++i) {
    all += requestsByStep[i];
    served += i < inTimeByStep.size() ? inTimeByStep[i] : 0.0;
  }
  return all > 0.0 ? served / all : 1.0;
}

void
LoadModel::SendRequest(std::size_t aKind)
{
  const KindOfLoad& kind = m_options.kinds[aKind];
  RequestHead head;
  head.id = RequestId(m_nextRequest++);
  head.host = kCallerHost;
  head.tokenless = true;
  head.path = PathOf(kind, m_random.Chance(kind.repeatableShare)) + 'x';
  head.callerRequestId = std::to_string(head.id.Value());
  head.fingerprint = Fingerprint(head.id.Value());
  head.deadline = m_queue.Now() + m_options.callerTimeout;
  const std::size_t host = m_random.Below(m_hosts.size());
  if (m_hosts[host].down) {
    return;
  }
  m_pending[head.id] = { m_queue.Now(), host, aKind, m_counting };
  if (m_counting) {
    m_result.requests += 1.0;
    KindResult& result = m_result.kinds[aKind];
    result.requests += 1.0;
    CountInStep(result.requestsByStep, m_queue.Now() - m_countingFrom);
  }
  RunOnHost(host, [this, host, head] {
    m_hosts[host].node->OnRequest(head, m_queue.Now());
  });
}

ConnectionKind
LoadModel::StartAttempt(std::size_t aHost, const AttemptStart& aStart)
{
  const std::size_t server = m_serverIndex.at(aStart.server);
  const std::size_t domains = DomainCount();
  Duration delay = Delay(m_hosts[aHost].domain, server % domains);
  if (aStart.requiresNewConnection) {
    delay *= 3; // one round trip to connect
  }
  m_result.attempts += m_counting ? 1.0 : 0.0;
  m_attempts[{ aHost, aStart.id }] = { server, m_nextServerRequest++ };
  m_queue.At(m_queue.Now() + delay, [this, aHost, id = aStart.id] {
    const auto it = m_attempts.find({ aHost, id });
    if (it == m_attempts.end()) {
      return;
    }
    m_arrivals[it->second.server].push_back({ m_queue.Now(), aHost });
    FakeServer& target = *m_servers[it->second.server];
    const bool full = target.RunningCount() >= target.Options().slots;
    m_result.queued += m_counting && full ? 1.0 : 0.0;
    target.HandleRequest(
      it->second.serverRequest,
      "",
      false,
      [this, aHost, id](FakeResponse aResponse, std::uint32_t) {
        OnServerResponse(aHost, id, aResponse);
      });
  });
  return aStart.requiresNewConnection ? ConnectionKind::kNew
                                      : ConnectionKind::kReused;
}

void
LoadModel::OnServerResponse(std::size_t aHost,
                            AttemptId aAttempt,
                            FakeResponse aResponse)
{
  const auto it = m_attempts.find({ aHost, aAttempt });
  const std::size_t domains = DomainCount();
  const Duration delay =
    Delay(m_hosts[aHost].domain, it->second.server % domains);
  AttemptEnd end;
  end.id = aAttempt;
  end.outcome = AttemptOutcome::kSuccess;
  end.status = 200;
  end.limitNotice = LimitNotice{ m_servers[it->second.server]->Faults().limit };
  if (aResponse == FakeResponse::kShed) {
    end.outcome = AttemptOutcome::kShed;
    end.status = 503;
    m_result.shed += m_counting ? 1.0 : 0.0;
  } else if (aResponse != FakeResponse::kOk) {
    end.outcome = AttemptOutcome::kServerError;
    end.status = 500;
  }
  m_queue.At(m_queue.Now() + delay, [this, aHost, end] {
    if (m_attempts.erase({ aHost, end.id }) > 0) {
      RunOnHost(aHost, [this, aHost, end] {
        m_hosts[aHost].node->OnAttemptEnd(end, m_queue.Now());
      });
    }
  });
}

void
LoadModel::OnResponse(const FinalResponse& aResponse)
{
  const auto it = m_pending.find(aResponse.request);
  const Pending pending = it->second;
  m_pending.erase(it);
  if (!pending.counted) {
    return;
  }
  const Duration spent = m_queue.Now() - pending.startedAt;
  const KindOfLoad& kind = m_options.kinds[pending.kind];
  KindResult& result = m_result.kinds[pending.kind];
  if (aResponse.outcome == CallerOutcome::kNotRun) {
    m_result.refused += 1.0;
    result.refused += 1.0;
    m_result.refusedAfterSeconds += ToSeconds(spent);
    m_result.retryAfterSeconds +=
      ToSeconds(aResponse.retryAfter.value_or(Duration()));
  } else if (aResponse.status != 200) {
    m_result.failed += 1.0;
    result.failed += 1.0;
  } else if (spent <= kind.objective) {
    m_result.inTime += 1.0;
    m_result.worth += kind.worth;
    result.inTime += 1.0;
    CountInStep(result.inTimeByStep, pending.startedAt - m_countingFrom);
  } else {
    m_result.late += 1.0;
    result.late += 1.0;
  }
}

double
IdealInTimeShare(const LoadOptions& aOptions, Duration aSpan)
{
  Random random(aOptions.seed);
  EventQueue queue(FromMicros(0));
  FakeServerOptions serverOptions;
  serverOptions.meanServiceSeconds = aOptions.meanServiceSeconds;
  FakeServer server(serverOptions, queue, Random(random.Bits()));
  const auto healthySlots = static_cast<std::size_t>(
    static_cast<double>(aOptions.servers * aOptions.slots) *
    (1.0 - aOptions.faultyShare));
  // Times in seconds at which the slots become free, the earliest first.
  std::priority_queue<double, std::vector<double>, std::greater<>> free;
  for (std::size_t i = 0; i < healthySlots; ++i) {
    free.push(0.0);
  }
  const double rate = aOptions.load * static_cast<double>(aOptions.servers) *
                      aOptions.slots / aOptions.meanServiceSeconds;
  double now = 0.0;
  double requests = 0.0;
  double inTime = 0.0;
  while (now < ToSeconds(aSpan)) {
    now += random.Exponential(1.0 / rate);
    requests += 1.0;
    const double start = std::max(now, free.top());
    const double allowed =
      ToSeconds(aOptions.objective) - 2.0 * aOptions.meanServiceSeconds;
    if (start - now <= allowed) {
      const double end = start + server.DrawServiceSeconds();
      inTime += end - now <= ToSeconds(aOptions.objective) ? 1.0 : 0.0;
      free.pop();
      free.push(end);
    }
  }
  return inTime / requests;
}

} // namespace fuchsiaramp
