#include "testing/extra_attempts_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace fuchsiaramp {

static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
static constexpr Duration kLinkDelay = std::chrono::microseconds(900);
static constexpr Duration kStartTime = std::chrono::seconds(3);
// Longer than the time over which the share is limited.
static constexpr Duration kWarmUp = std::chrono::seconds(12);
static constexpr Duration kWindow = std::chrono::seconds(10);
static constexpr double kServiceTimeSigma = 0.4; // log-normal
static constexpr char kControlHost[] = "control-1";
static constexpr char kService[] = "service";
static constexpr char kCallerHost[] = "service.example";

double
ExtraAttemptsResult::Quantile(double aShare) const
{
  std::vector<double> sorted = latencies;
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

ExtraAttemptsModel::ExtraAttemptsModel(
  const ExtraAttemptsModelOptions& aOptions)
  : m_options(aOptions)
  , m_random(m_options.seed)
  , m_queue(FromMicros(1'000'000'000))
  , m_viewsSent(m_options.hosts)
  , m_servers(m_options.servers)
{
  for (std::size_t i = 0; i < m_options.hosts; ++i) {
    CreateNode(i);
  }
}

FailureDomain
ExtraAttemptsModel::DomainOf(std::size_t aIndex) const
{
  return FailureDomain("domain-" + std::to_string(aIndex % m_options.domains));
}

void
ExtraAttemptsModel::CreateNode(std::size_t aHost)
{
  EntryOptions options;
  Settings& settings = options.settings;
  settings.host = HostId("entry-" + std::to_string(aHost));
  settings.region = Region("region");
  settings.failureDomain = DomainOf(aHost);
  settings.callerAddress = "10.1.0.1:" + std::to_string(aHost + 1);
  settings.messageAddress = settings.host.Value();
  settings.routing.sharesOutcomes = true;
  settings.routing.retryBudget = 0.2;
  settings.routing.retrySlack = m_options.retrySlack;
  settings.routing.requestTimeout = std::chrono::seconds(60);
  settings.routing.attemptTimeout = std::chrono::seconds(60);
  settings.routing.queueTimeout = std::chrono::seconds(2);
  settings.routing.extraAttempts = m_options.share;
  settings.membershipByControl = true;
  settings.sameDomainShare = 1.0;
  settings.controlHosts.push_back({ HostId(kControlHost), "", "" });
  m_nodes.push_back(std::make_unique<EntryNode>(
    options, HooksOf(aHost), Random(m_random.Bits()), m_queue.Now()));
}

EntryHooks
ExtraAttemptsModel::HooksOf(std::size_t aHost)
{
  EntryHooks hooks;
  hooks.send = [this, aHost](const HostId& aTo,
                             const wire::Envelope& aMessage) {
    SendMessage(aHost, aTo, aMessage);
  };
  hooks.startAttempt = [this, aHost](const AttemptStart& aStart) {
    return StartAttempt(aHost, aStart);
  };
  hooks.cancelAttempt = [this, aHost](AttemptId aAttempt) {
    CancelAttempt(aHost, aAttempt);
  };
  hooks.startProbe = [](ProbeId, const std::string&) {};
  hooks.answer = [this](const FinalResponse& aResponse) {
    OnResponse(aResponse);
  };
  hooks.hostChanged = [](const wire::HostRecord&) {};
  hooks.record = [this, aHost](const Event& aEvent) {
    RecordEvent(aHost, aEvent);
  };
  return hooks;
}

// One control host confirms the lists and relays evidence to all hosts.
void
ExtraAttemptsModel::SendMessage(std::size_t aFrom,
                                const HostId& aTo,
                                const wire::Envelope& aMessage)
{
  const auto deliver = [this](std::size_t aHost,
                              const HostId& aSender,
                              const wire::Envelope& aDelivered) {
    m_queue.At(m_queue.Now() + kLinkDelay, [this, aHost, aSender, aDelivered] {
      m_nodes[aHost]->OnMessage(aSender, aDelivered, m_queue.Now());
    });
  };
  const HostId from("entry-" + std::to_string(aFrom));
  if (aTo == HostId(kControlHost)) {
    if (aMessage.has_lists_pull()) {
      wire::Envelope reply;
      *reply.mutable_lists_push() = MakePush(aMessage.lists_pull());
      if (aMessage.lists_pull().has_self() && m_viewsSent[aFrom]++ < 3) {
        reply.mutable_lists_push()->set_has_hosts(true);
        for (const auto& node : m_nodes) {
          *reply.mutable_lists_push()->add_hosts() = node->Members().Self();
        }
        for (std::size_t i = 0; i < m_options.domains; ++i) {
          reply.mutable_lists_push()->add_domain_sizes(
            static_cast<std::uint32_t>(m_options.hosts / m_options.domains));
        }
      }
      deliver(aFrom, aTo, reply);
    } else if (aMessage.has_evidence() && !m_options.isPartitioned) {
      for (std::size_t to = 0; to < m_nodes.size(); ++to) {
        if (to != aFrom) {
          deliver(to, aTo, aMessage);
        }
      }
    }
    return;
  }
  for (std::size_t to = 0; to < m_nodes.size(); ++to) {
    if (!m_options.isPartitioned &&
        aTo == HostId("entry-" + std::to_string(to))) {
      deliver(to, from, aMessage);
    }
  }
}

wire::ListsPush
ExtraAttemptsModel::MakePush(const wire::ListsPull& aPull)
{
  wire::ListsPush push;
  push.set_pull_id(aPull.pull_id());
  push.set_confirmed(true);
  push.set_current_version(1);
  push.set_leader(kControlHost);
  if (aPull.have_version() == 0) {
    wire::ListsDelta* delta = push.add_deltas();
    delta->set_to_version(1);
    for (const bool repeatable : { true, false }) {
      wire::Route* route = delta->add_open_routes();
      route->set_name(repeatable ? "read" : "once");
      route->set_host(kCallerHost);
      route->set_path_prefix(repeatable ? "/read/" : "/once/");
      route->set_service(kService);
      route->set_repeatable(repeatable);
      route->set_once_per_attempt(!repeatable);
      route->set_max_servers(3);
      route->set_timeout_us(m_options.callerTimeout.count());
      route->set_latency_objective_us(m_options.objective.count());
    }
  }
  if (aPull.have_servers_version() == 0) {
    push.mutable_servers()->set_full(true);
    push.mutable_servers()->set_to_version(1);
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      wire::BackendServerRecord* record = push.mutable_servers()->add_servers();
      record->set_id("server-" + std::to_string(i));
      record->set_service(kService);
      record->set_address("10.0.0.1:" + std::to_string(i + 1));
      record->set_region("region");
      record->set_failure_domain(DomainOf(i).Value());
      record->set_slots(m_options.slots);
      record->set_incarnation(1);
      record->set_cold_us(0);
    }
  }
  return push;
}

ExtraAttemptsResult
ExtraAttemptsModel::Run(Duration aSpan)
{
  Tick();
  m_queue.RunUntil(m_queue.Now() + kStartTime);
  ScheduleArrival();
  m_queue.RunUntil(m_queue.Now() + kWarmUp);
  m_counting = true;
  m_result.maxAboveLimit = -static_cast<double>(m_recentRequests.size());
  const EntryCounters before = SumOfCounters();
  m_queue.RunUntil(m_queue.Now() + aSpan);
  m_result.counters = SumOfCounters();
  m_result.hedges =
    static_cast<double>(m_result.counters.hedges - before.hedges);
  m_counting = false;
  // Lets the last counted requests end.
  m_queue.RunUntil(m_queue.Now() + m_options.callerTimeout);
  return m_result;
}

EntryCounters
ExtraAttemptsModel::SumOfCounters() const
{
  EntryCounters sum;
  for (const auto& node : m_nodes) {
    const EntryCounters& counters = node->Counters();
    sum.hedges += counters.hedges;
    sum.extraAttempts += counters.extraAttempts;
    sum.extraAttemptsWon += counters.extraAttemptsWon;
    sum.extraAttemptsCancelled += counters.extraAttemptsCancelled;
    sum.extraAttemptsDeniedByTime += counters.extraAttemptsDeniedByTime;
    sum.extraAttemptsDeniedByCapacity += counters.extraAttemptsDeniedByCapacity;
    sum.extraAttemptsDeniedByShare += counters.extraAttemptsDeniedByShare;
    sum.extraAttemptsDeniedByBudget += counters.extraAttemptsDeniedByBudget;
    sum.extraAttemptsDeniedByServers += counters.extraAttemptsDeniedByServers;
  }
  return sum;
}

void
ExtraAttemptsModel::Tick()
{
  for (const auto& node : m_nodes) {
    node->Tick(m_queue.Now());
  }
  m_queue.At(m_queue.Now() + kTickInterval, [this] { Tick(); });
}

void
ExtraAttemptsModel::ScheduleArrival()
{
  const double rate = m_options.load * static_cast<double>(m_options.servers) *
                      m_options.slots / m_options.meanServiceSeconds;
  m_queue.At(m_queue.Now() + FromSeconds(m_random.Exponential(1.0 / rate)),
             [this] {
               SendRequest();
               ScheduleArrival();
             });
}

void
ExtraAttemptsModel::SendRequest()
{
  const TimePoint now = m_queue.Now();
  RequestHead head;
  head.id = RequestId(m_nextRequest++);
  head.host = kCallerHost;
  head.tokenless = true;
  const bool repeatable = m_random.Chance(m_options.repeatableShare);
  head.path = repeatable ? "/read/x" : "/once/x";
  head.callerRequestId = std::to_string(head.id.Value());
  head.fingerprint = Fingerprint(head.id.Value());
  head.deadline = now + m_options.callerTimeout;
  m_pending[head.id] = { now, repeatable, m_counting, {} };
  m_recentRequests.push_back(now);
  m_result.requests += m_counting ? 1.0 : 0.0;
  m_result.onceOnlyRequests += m_counting && !repeatable ? 1.0 : 0.0;
  m_nodes[m_random.Below(m_nodes.size())]->OnRequest(head, now);
}

ConnectionKind
ExtraAttemptsModel::StartAttempt(std::size_t aHost, const AttemptStart& aStart)
{
  const std::size_t server =
    std::stoul(aStart.server.Value().substr(sizeof("server-") - 1));
  const std::uint64_t run = m_nextRun++;
  m_runs[{ aHost, aStart.id }] = { server, run };
  const auto pending = m_pending.find(aStart.request);
  if (pending != m_pending.end()) {
    const bool isNew = pending->second.servers.insert(server).second;
    m_result.sameServer += m_counting && !isNew ? 1.0 : 0.0;
  }
  const Running running{ aHost, aStart.id, TimePoint() };
  m_queue.At(m_queue.Now() + kLinkDelay, [this, server, run, running] {
    if (m_runs.contains({ running.host, running.attempt })) {
      Arrive(server, run, running);
    }
  });
  return ConnectionKind::kReused;
}

void
ExtraAttemptsModel::Arrive(std::size_t aServer,
                           std::uint64_t aRun,
                           const Running& aRunning)
{
  Server& server = m_servers[aServer];
  if (server.running.size() < m_options.slots) {
    StartRun(aServer, aRun, aRunning);
  } else if (server.queued.size() < m_options.serverQueue) {
    server.queued.emplace_back(aRun, aRunning);
  } else {
    EndAttempt(aRunning, AttemptOutcome::kShed);
  }
}

// Draws a log-normal service time. A share of the requests takes longer by a
// factor; the mean of all stays the same.
void
ExtraAttemptsModel::StartRun(std::size_t aServer,
                             std::uint64_t aRun,
                             const Running& aRunning)
{
  Running running = aRunning;
  running.startedAt = m_queue.Now();
  m_servers[aServer].running[aRun] = running;
  const double normal = std::sqrt(-2.0 * std::log1p(-m_random.Unit())) *
                        std::cos(2.0 * std::numbers::pi * m_random.Unit());
  const double mean =
    m_options.meanServiceSeconds /
    (1.0 + m_options.tailShare * (m_options.tailFactor - 1.0));
  const double factor =
    m_random.Chance(m_options.tailShare) ? m_options.tailFactor : 1.0;
  const double seconds = factor * mean *
                         std::exp(kServiceTimeSigma * normal -
                                  kServiceTimeSigma * kServiceTimeSigma / 2);
  m_queue.At(m_queue.Now() + FromSeconds(seconds),
             [this, aServer, aRun] { EndRun(aServer, aRun); });
}

void
ExtraAttemptsModel::EndRun(std::size_t aServer, std::uint64_t aRun)
{
  Server& server = m_servers[aServer];
  const auto it = server.running.find(aRun);
  if (it == server.running.end()) {
    return;
  }
  const Running ended = it->second;
  server.running.erase(it);
  m_result.busySeconds +=
    m_counting ? ToSeconds(m_queue.Now() - ended.startedAt) : 0.0;
  EndAttempt(ended, AttemptOutcome::kSuccess);
  StartQueued(aServer);
}

void
ExtraAttemptsModel::StartQueued(std::size_t aServer)
{
  Server& server = m_servers[aServer];
  while (!server.queued.empty() && server.running.size() < m_options.slots) {
    const auto [run, running] = server.queued.front();
    server.queued.pop_front();
    StartRun(aServer, run, running);
  }
}

void
ExtraAttemptsModel::CancelAttempt(std::size_t aHost, AttemptId aAttempt)
{
  const auto it = m_runs.find({ aHost, aAttempt });
  if (it == m_runs.end()) {
    return;
  }
  const std::size_t server = it->second.first;
  const std::uint64_t run = it->second.second;
  m_runs.erase(it);
  m_queue.At(m_queue.Now() + kLinkDelay, [this, server, run] {
    Server& cancelled = m_servers[server];
    std::erase_if(cancelled.queued,
                  [run](const auto& aItem) { return aItem.first == run; });
    const auto running = cancelled.running.find(run);
    if (m_options.stopsCancelled && running != cancelled.running.end()) {
      m_result.busySeconds +=
        m_counting ? ToSeconds(m_queue.Now() - running->second.startedAt) : 0.0;
      cancelled.running.erase(running);
    }
    StartQueued(server);
  });
}

void
ExtraAttemptsModel::EndAttempt(const Running& aRunning, AttemptOutcome aOutcome)
{
  m_queue.At(m_queue.Now() + kLinkDelay, [this, aRunning, aOutcome] {
    if (m_runs.erase({ aRunning.host, aRunning.attempt }) == 0) {
      return;
    }
    AttemptEnd end;
    end.id = aRunning.attempt;
    end.outcome = aOutcome;
    end.status = aOutcome == AttemptOutcome::kShed ? 503 : 200;
    m_nodes[aRunning.host]->OnAttemptEnd(end, m_queue.Now());
  });
}

void
ExtraAttemptsModel::OnResponse(const FinalResponse& aResponse)
{
  const auto it = m_pending.find(aResponse.request);
  const Pending pending = it->second;
  m_pending.erase(it);
  if (!pending.counted) {
    return;
  }
  if (!pending.repeatable) {
    m_result.onceOnlyRuns += static_cast<double>(pending.servers.size());
  }
  const Duration spent = m_queue.Now() - pending.startedAt;
  if (aResponse.outcome == CallerOutcome::kNotRun) {
    m_result.refused += 1.0;
  } else if (aResponse.status != 200) {
    m_result.failed += 1.0;
  } else {
    m_result.latencies.push_back(ToSeconds(spent));
    m_result.inTime += spent <= m_options.objective ? 1.0 : 0.0;
  }
}

void
ExtraAttemptsModel::RecordEvent(std::size_t aHost, const Event& aEvent)
{
  if (aEvent.IsDebug()) {
    return;
  }
  m_result.events[aEvent.Name()] += m_counting ? 1 : 0;
  if (aEvent.Name() != "extra_attempt_started") {
    return;
  }
  m_recentExtraAttempts.push_back(m_queue.Now());
  for (const EventField& field : aEvent.Fields()) {
    if (m_counting && field.key == "server") {
      const std::size_t server =
        std::stoul(field.value.substr(sizeof("server-") - 1));
      m_result.otherDomain += DomainOf(server) == DomainOf(aHost) ? 0.0 : 1.0;
    }
  }
  CountAboveLimit();
}

// The number of extra attempts in a window is highest just after one started.
void
ExtraAttemptsModel::CountAboveLimit()
{
  const TimePoint from = m_queue.Now() - kWindow;
  for (auto* times : { &m_recentRequests, &m_recentExtraAttempts }) {
    while (!times->empty() && IsDue(times->front(), from)) {
      times->pop_front();
    }
  }
  if (m_counting) {
    const double above = static_cast<double>(m_recentExtraAttempts.size()) -
                         m_options.share.value_or(0.0) *
                           static_cast<double>(m_recentRequests.size());
    m_result.maxAboveLimit = std::max(m_result.maxAboveLimit, above);
  }
}

} // namespace fuchsiaramp
