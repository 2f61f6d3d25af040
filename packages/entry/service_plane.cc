#include "entry/service_plane.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "routing/rendezvous.h"

namespace fuchsiaramp {

// Share of the slack of a shared retry budget that hosts use. The rest is a
// margin, since hosts join and leave.
static constexpr double kSharedSlackUsage = 0.85;
static constexpr Duration kLoadRefresh = std::chrono::milliseconds(250);
static constexpr Duration kReportInterval = std::chrono::seconds(1);
static constexpr Duration kUrgentInterval = std::chrono::milliseconds(200);
static constexpr Duration kVerdictLifetime = std::chrono::seconds(5);
static constexpr Duration kVerdictRefresh = std::chrono::seconds(1);
static constexpr Duration kReporterLifetime = std::chrono::seconds(10);
// A host that gets no verdict for this long after a report runs its own
// detector.
static constexpr Duration kFallbackAfter = std::chrono::seconds(4);

// Messages of other hosts name spans and counts. These bounds are above what a
// host sends, so that an odd number neither overflows nor takes long.
static constexpr Duration kMaxSpan = std::chrono::minutes(10);
static constexpr std::uint32_t kMaxOutcomes = 1000; // of a server, in a report

static constexpr std::uint32_t kMaxWaiting = 10'000;

static Duration
ToSpan(std::int64_t aMicros)
{
  return std::clamp(Duration(aMicros), Duration::zero(), kMaxSpan);
}

static wire::ServerVerdict::State
ToWire(HealthState aState)
{
  switch (aState) {
    case HealthState::kTrial:
      return wire::ServerVerdict::TRIAL;
    case HealthState::kRamp:
      return wire::ServerVerdict::RAMP;
    default:
      return wire::ServerVerdict::EJECTED;
  }
}

static HealthState
FromWire(wire::ServerVerdict::State aState)
{
  switch (aState) {
    case wire::ServerVerdict::TRIAL:
      return HealthState::kTrial;
    case wire::ServerVerdict::RAMP:
      return HealthState::kRamp;
    default:
      return HealthState::kEjected;
  }
}

ServicePlane::ServicePlane(ServicePlaneOptions aOptions,
                           ServicePlaneHooks aHooks,
                           Random aRandom)
  : m_options(std::move(aOptions))
  , m_hooks(std::move(aHooks))
  , m_random(aRandom)
{
}

// The retry slack is split among the hosts that are advertised to callers, so
// that together they stay within it without coordination.
double
ServicePlane::MaxRetryTokens() const
{
  const std::size_t hosts = std::max<std::size_t>(m_retryBudgetHosts, 1);
  return kSharedSlackUsage * m_options.routing.retrySlack /
         static_cast<double>(hosts);
}

void
ServicePlane::SetRetryBudgetHosts(std::size_t aHosts)
{
  m_retryBudgetHosts = aHosts;
  for (auto& [name, service] : m_services) {
    service.router->Retries().SetMaxTokens(MaxRetryTokens());
  }
}

ServicePlane::Service&
ServicePlane::FindOrCreate(const ServiceName& aName)
{
  Service& service = m_services[aName];
  if (!service.router) {
    RouterOptions options;
    options.self = m_options.self;
    options.region = m_options.region;
    options.failureDomain = m_options.failureDomain;
    options.retryBudget.share = m_options.routing.retryBudget;
    if (m_options.routing.sharesOutcomes) {
      options.retryBudget.maxTokens = MaxRetryTokens();
      options.retryBudget.initialTokens = 0.0;
    }
    options.usesHealthEstimates = m_options.routing.sharesOutcomes;
    options.limitHosts = [this](const BackendServer& aServer) {
      return HostsInRegionOf(aServer);
    };
    options.domainCost = m_options.routing.domainCost;
    options.regionCost = m_options.routing.regionCost;
    service.router = std::make_unique<ServiceRouter>(
      options, Random(m_random.Bits()), m_hooks.record);
    if (m_options.routing.extraAttempts) {
      ExtraAttemptOptions extra;
      extra.share = *m_options.routing.extraAttempts;
      service.extraAttempts = std::make_unique<ExtraAttempts>(extra);
    }
    if (!m_options.routing.sharesOutcomes) {
      service.arbiter = RendezvousFirst(aName.Value(), m_hooks.aliveHosts());
    }
    service.verdictDueBy = kNever;
  }
  return service;
}

void
ServicePlane::UpdateServer(const BackendServer& aServer, TimePoint aNow)
{
  Service& service = FindOrCreate(aServer.service);
  m_cellsAreStale = true;
  if (aServer.state == ServerState::kGone) {
    service.router->RemoveServer(aServer.id);
  } else {
    service.router->SetServer(aServer, aNow);
  }
  if (service.detector) {
    service.detector->SetServers(service.router->MonitoredServers(), aNow);
  }
}

ServiceRouter*
ServicePlane::Find(const ServiceName& aService)
{
  const auto it = m_services.find(aService);
  return it == m_services.end() ? nullptr : it->second.router.get();
}

ExtraAttempts*
ServicePlane::FindExtraAttempts(const ServiceName& aService)
{
  const auto it = m_services.find(aService);
  return it == m_services.end() ? nullptr : it->second.extraAttempts.get();
}

std::vector<ServiceName>
ServicePlane::Services() const
{
  std::vector<ServiceName> names;
  for (const auto& [name, service] : m_services) {
    names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

bool
ServicePlane::IsArbiter(const ServiceName& aService) const
{
  const auto it = m_services.find(aService);
  return it != m_services.end() && it->second.detector != nullptr;
}

void
ServicePlane::HostsChanged()
{
  m_hostsChanged = true;
  m_cellsAreStale = true;
  for (auto& [name, service] : m_services) {
    service.router->LimitHostsChanged();
  }
}

// A region without entry hosts is served by all others.
std::vector<HostId>
ServicePlane::HostsInRegionOf(const BackendServer& aServer) const
{
  const std::vector<HostId> alive = m_hooks.aliveHosts();
  std::vector<HostId> inRegion;
  std::copy_if(alive.begin(),
               alive.end(),
               std::back_inserter(inRegion),
               [&](const HostId& aHost) {
                 return m_hooks.regionOf(aHost) == aServer.region;
               });
  return inRegion.empty() ? alive : inRegion;
}

std::size_t
ServicePlane::LimitedServers(TimePoint aNow) const
{
  std::size_t limited = 0;
  for (const auto& [name, service] : m_services) {
    limited += service.router->LimitedServers(aNow);
  }
  return limited;
}

void
ServicePlane::ForgetPaths()
{
  for (auto& [name, service] : m_services) {
    service.router->ForgetPaths();
  }
}

// The new detector starts from the restrictions that this host applies, so that
// a change of the arbiter does not readmit an unhealthy server.
void
ServicePlane::StartDetector(Service& aService, TimePoint aNow)
{
  OutlierDetectorOptions options;
  options.threshold = m_options.routing.ejectionThreshold;
  options.floor = m_options.routing.floor;
  aService.detector =
    std::make_unique<OutlierDetector>(options, m_hooks.record);
  const std::vector<MonitoredServer> servers =
    aService.router->MonitoredServers();
  aService.detector->SetServers(servers, aNow);
  std::vector<ServerHealth> restrictions;
  for (const MonitoredServer& server : servers) {
    if (const ServerHealth* health =
          aService.router->RestrictionOf(server.id)) {
      restrictions.push_back(*health);
    }
  }
  aService.detector->Adopt(restrictions, aNow);
  aService.detector->SetCutOffReporters(m_hooks.cutOffHosts(), aNow);
  aService.sentVersion.clear();
}

void
ServicePlane::Tick(TimePoint aNow)
{
  m_quarantine.Tick(aNow);
  if (m_options.routing.sharesOutcomes) {
    UpdateCells();
    ShareWithCells(aNow);
    return;
  }
  const bool hostsChanged = std::exchange(m_hostsChanged, false);
  std::vector<HostId> hosts;
  std::set<HostId> cutOff;
  if (hostsChanged) {
    hosts = m_hooks.aliveHosts();
    cutOff = m_hooks.cutOffHosts();
  }
  for (auto& [name, service] : m_services) {
    if (hostsChanged) {
      service.arbiter = RendezvousFirst(name.Value(), hosts);
    }
    const bool isArbiter = service.arbiter == m_options.self;
    const bool verdictMissing = IsDue(service.verdictDueBy, aNow);
    if (!service.detector && (isArbiter || verdictMissing)) {
      service.fallback = !isArbiter;
      StartDetector(service, aNow);
      m_hooks.record(Event("judging_started")
                       .With("service", name)
                       .With("fallback", service.fallback ? 1 : 0));
    } else if (service.detector && !isArbiter && !service.fallback) {
      service.detector.reset();
    } else if (isArbiter) {
      service.fallback = false;
    }
    if (hostsChanged && service.detector) {
      service.detector->SetCutOffReporters(cutOff, aNow);
    }
    ReportEvidence(name, service, aNow);
    if (service.detector) {
      TickDetector(name, service, aNow);
    }
  }
  CellMessages none;
  ShareLimits(none);
}

void
ServicePlane::ReportEvidence(const ServiceName& aName,
                             Service& aService,
                             TimePoint aNow)
{
  ServiceRouter& router = *aService.router;
  const bool urgent =
    router.HasBadEvidence() && IsDue(aService.nextUrgentReportAt, aNow);
  const bool regular =
    router.HasEvidence() && IsDue(aService.nextReportAt, aNow);
  if (!urgent && !regular) {
    return;
  }
  aService.nextUrgentReportAt = aNow + kUrgentInterval;
  aService.nextReportAt = aNow + kReportInterval;
  const std::vector<ReportedCounts> counts = router.TakeEvidence();
  if (aService.detector) {
    aService.detector->OnReport(
      { m_options.self, m_options.region }, counts, aNow);
    aService.reporters[m_options.self] = aNow + kReporterLifetime;
  }
  if (aService.arbiter == m_options.self || aService.arbiter.IsEmpty()) {
    return;
  }
  wire::Evidence evidence;
  wire::EvidenceReport* report = evidence.add_reports();
  report->set_service(aName.Value());
  for (const ReportedCounts& item : counts) {
    wire::ServerCounts* out = report->add_counts();
    out->set_server(item.server.Value());
    out->set_incarnation(item.incarnation);
    const double good =
      item.counts.total - item.counts.failures - item.counts.slow;
    out->set_successes(static_cast<std::uint32_t>(std::max(0.0, good)));
    out->set_failures(static_cast<std::uint32_t>(item.counts.failures));
    out->set_slow(static_cast<std::uint32_t>(item.counts.slow));
    out->set_broken(item.broken ? 1 : 0);
  }
  m_hooks.send(aService.arbiter, evidence);
  if (aService.verdictDueBy == kNever) {
    aService.verdictDueBy = aNow + kFallbackAfter;
  }
}

void
ServicePlane::UpdateCells()
{
  if (!std::exchange(m_cellsAreStale, false)) {
    return;
  }
  const std::vector<HostId> hosts = m_hooks.domainHosts();
  for (auto& [name, service] : m_services) {
    service.router->SetCell(SelectCell(
      m_options.self, hosts, service.router->ServersInDomain(), CellOptions()));
  }
}

static void
AddOutcomes(const ServiceName& aName,
            ServiceRouter& aRouter,
            wire::Evidence& aEvidence)
{
  wire::EvidenceReport* report = aEvidence.add_reports();
  report->set_service(aName.Value());
  for (const ReportedCounts& item : aRouter.TakeSharedOutcomes()) {
    wire::ServerCounts* out = report->add_counts();
    out->set_server(item.server.Value());
    out->set_incarnation(item.incarnation);
    out->set_failures(static_cast<std::uint32_t>(item.counts.failures));
    out->set_successes(
      static_cast<std::uint32_t>(item.counts.total - item.counts.failures));
  }
}

// Hosts of a cell send each other their load on its servers and the outcomes
// of their requests. Where the failure domain is a single cell, the fleet is
// small: outcomes then go to all hosts, which use all servers.
void
ServicePlane::ShareWithCells(TimePoint aNow)
{
  wire::Evidence forAllHosts;
  CellMessages messages;
  for (auto& [name, service] : m_services) {
    service.router->ExpirePeerLoads(aNow);
    const Cell& cell = service.router->CurrentCell();
    AddLoad(name, service, messages, aNow);
    if (service.router->HasSharedOutcomes()) {
      AddOutcomes(name,
                  *service.router,
                  cell.cells == 1 ? forAllHosts : messages[cell.peers]);
    }
  }
  if (forAllHosts.reports_size() > 0) {
    m_hooks.broadcast(forAllHosts);
  }
  ShareLimits(messages);
  for (const auto& [peers, evidence] : messages) {
    for (const HostId& peer : peers) {
      m_hooks.send(peer, evidence);
    }
  }
}

// All hosts need to know of a limit. Those of the cell, which share it, are
// told directly as well: they then agree on it while control is away.
void
ServicePlane::ShareLimits(CellMessages& aMessages)
{
  wire::Evidence forAllHosts;
  for (auto& [name, service] : m_services) {
    const std::vector<LimitReport> reports = service.router->TakeLimitReports();
    if (reports.empty()) {
      continue;
    }
    wire::ServerLimits limits;
    limits.set_service(name.Value());
    for (const LimitReport& report : reports) {
      wire::ServerLimit* limit = limits.add_servers();
      limit->set_server(report.server.Value());
      limit->set_incarnation(report.incarnation);
      limit->set_ended(!report.rate);
      if (report.rate) {
        limit->set_rate_milli(static_cast<std::uint64_t>(
          std::llround(report.rate->perSecond * 1e3)));
      }
    }
    *forAllHosts.add_limits() = limits;
    const Cell& cell = service.router->CurrentCell();
    if (!cell.peers.empty()) {
      *aMessages[cell.peers].add_limits() = limits;
    }
  }
  if (forAllHosts.limits_size() > 0) {
    m_hooks.broadcast(forAllHosts);
  }
}

void
ServicePlane::OnLimitReports(const wire::ServerLimits& aLimits, TimePoint aNow)
{
  ServiceRouter* router = Find(ServiceName(aLimits.service()));
  if (router == nullptr) {
    return;
  }
  for (const wire::ServerLimit& limit : aLimits.servers()) {
    LimitReport report;
    report.server = BackendServerId(limit.server());
    report.incarnation = limit.incarnation();
    if (!limit.ended()) {
      report.rate =
        RequestRate{ static_cast<double>(limit.rate_milli()) / 1e3 };
    }
    router->OnLimitReport(report, aNow);
  }
}

// Loads are sent on change, and repeatedly while they are not zero.
void
ServicePlane::AddLoad(const ServiceName& aName,
                      Service& aService,
                      CellMessages& aMessages,
                      TimePoint aNow)
{
  wire::ServiceLoad load;
  load.set_service(aName.Value());
  for (const auto& [server, outstanding] : aService.router->OwnLoad()) {
    wire::ServerLoad* item = load.add_servers();
    item->set_server(server.Value());
    item->set_outstanding(outstanding);
  }
  // The counts of waiting requests change often. A message is sent on its own
  // only when they begin or cease to wait.
  wire::ServiceLoad compared = load;
  const auto waiting = m_hooks.waiting
                         ? m_hooks.waiting(aName)
                         : std::map<std::uint32_t, std::uint32_t>();
  for (const auto& [priority, count] : waiting) {
    compared.add_waiting()->set_priority(priority);
    wire::WaitingRequests* item = load.add_waiting();
    item->set_priority(priority);
    item->set_count(count);
  }
  std::string text = compared.SerializeAsString();
  const bool idle = load.servers().empty() && waiting.empty();
  const bool changed = text != aService.sentLoad;
  if (!changed && (idle || !IsDue(aService.nextLoadAt, aNow))) {
    return;
  }
  aService.sentLoad = std::move(text);
  aService.nextLoadAt = aNow + kLoadRefresh;
  // Not part of the comparison above: a request alone causes no message.
  if (aService.extraAttempts) {
    const ExtraAttemptCounts counts = aService.extraAttempts->OwnCounts(aNow);
    load.set_recent_requests(counts.requests);
    load.set_recent_extra_attempts(counts.extraAttempts);
  }
  *aMessages[aService.router->CurrentCell().peers].add_loads() = load;
}

void
ServicePlane::OnSharedOutcomes(const wire::EvidenceReport& aReport,
                               TimePoint aNow)
{
  ServiceRouter* router = Find(ServiceName(aReport.service()));
  if (router == nullptr) {
    return;
  }
  for (const wire::ServerCounts& item : aReport.counts()) {
    const BackendServerId server(item.server());
    const std::uint32_t failures = std::min(item.failures(), kMaxOutcomes);
    const std::uint32_t successes = std::min(item.successes(), kMaxOutcomes);
    for (std::uint32_t i = 0; i < failures; ++i) {
      router->OnSharedOutcome(server, item.incarnation(), false, aNow);
    }
    for (std::uint32_t i = 0; i < successes; ++i) {
      router->OnSharedOutcome(server, item.incarnation(), true, aNow);
    }
  }
}

void
ServicePlane::OnEvidence(const HostId& aFrom,
                         const wire::Evidence& aEvidence,
                         TimePoint aNow)
{
  for (const wire::EvidenceReport& report : aEvidence.reports()) {
    if (m_options.routing.sharesOutcomes) {
      OnSharedOutcomes(report, aNow);
    } else {
      OnReport(aFrom, report, aNow);
    }
  }
  for (const wire::ServiceLoad& load : aEvidence.loads()) {
    ServiceRouter* router = Find(ServiceName(load.service()));
    if (router == nullptr) {
      continue;
    }
    std::map<BackendServerId, std::uint32_t> outstanding;
    for (const wire::ServerLoad& server : load.servers()) {
      outstanding[BackendServerId(server.server())] = server.outstanding();
    }
    std::map<std::uint32_t, std::uint32_t> waiting;
    for (const wire::WaitingRequests& item : load.waiting()) {
      waiting[item.priority()] = std::min(item.count(), kMaxWaiting);
    }
    router->SetPeerLoad(aFrom, outstanding, waiting, aNow);
    if (ExtraAttempts* extra = FindExtraAttempts(ServiceName(load.service()))) {
      extra->OnPeerCounts(
        aFrom, { load.recent_requests(), load.recent_extra_attempts() }, aNow);
    }
  }
  for (const wire::ServerLimits& limits : aEvidence.limits()) {
    OnLimitReports(limits, aNow);
  }
  for (const wire::Verdict& verdict : aEvidence.verdicts()) {
    OnVerdict(aFrom, verdict, aNow);
  }
  for (const wire::PoisonNotice& notice : aEvidence.poison()) {
    OnQuarantineNotice(aFrom, notice, aNow);
  }
}

void
ServicePlane::OnReport(const HostId& aFrom,
                       const wire::EvidenceReport& aReport,
                       TimePoint aNow)
{
  const auto it = m_services.find(ServiceName(aReport.service()));
  if (it == m_services.end() || !it->second.detector ||
      it->second.arbiter != m_options.self) {
    return;
  }
  std::vector<ReportedCounts> counts;
  for (const wire::ServerCounts& item : aReport.counts()) {
    const double failures = item.failures();
    const double slow = item.slow();
    counts.push_back({ BackendServerId(item.server()),
                       item.incarnation(),
                       { item.successes() + failures + slow, failures, slow },
                       item.broken() != 0 });
  }
  Service& service = it->second;
  service.reporters[aFrom] = aNow + kReporterLifetime;
  service.detector->OnReport({ aFrom, m_hooks.regionOf(aFrom) }, counts, aNow);
  if (service.sentVersion.count(aFrom) == 0) {
    SendVerdict(it->first, service, aFrom, aNow);
  }
}

void
ServicePlane::TickDetector(const ServiceName& aName,
                           Service& aService,
                           TimePoint aNow)
{
  aService.detector->Tick(aNow);
  ApplyOwnDecisions(aService, aNow);
  for (auto it = aService.reporters.begin(); it != aService.reporters.end();) {
    if (IsDue(it->second, aNow)) {
      aService.sentVersion.erase(it->first);
      it = aService.reporters.erase(it);
    } else {
      ++it;
    }
  }
  if (aService.arbiter != m_options.self) {
    return;
  }
  const bool refresh = IsDue(aService.nextRefreshAt, aNow);
  if (refresh) {
    aService.nextRefreshAt = aNow + kVerdictRefresh;
  }
  const std::uint64_t version = aService.detector->Version();
  for (const auto& [host, until] : aService.reporters) {
    const auto sent = aService.sentVersion.find(host);
    const bool stale =
      sent == aService.sentVersion.end() || sent->second != version;
    if (host != m_options.self && (refresh || stale)) {
      SendVerdict(aName, aService, host, aNow);
    }
  }
}

void
ServicePlane::ApplyOwnDecisions(Service& aService, TimePoint aNow)
{
  aService.router->SetRestrictions(
    aService.detector->RestrictedServers(aNow),
    static_cast<std::uint32_t>(aService.reporters.size()),
    aNow + kVerdictLifetime);
}

void
ServicePlane::SendVerdict(const ServiceName& aName,
                          Service& aService,
                          const HostId& aTo,
                          TimePoint aNow)
{
  aService.sentVersion[aTo] = aService.detector->Version();
  wire::Evidence evidence;
  wire::Verdict* verdict = evidence.add_verdicts();
  verdict->set_service(aName.Value());
  verdict->set_version(aService.detector->Version());
  verdict->set_reporters(static_cast<std::uint32_t>(aService.reporters.size()));
  verdict->set_lifetime_us(kVerdictLifetime.count());
  for (const ServerHealth& health :
       aService.detector->RestrictedServers(aNow)) {
    wire::ServerVerdict* server = verdict->add_servers();
    server->set_server(health.id.Value());
    server->set_incarnation(health.incarnation);
    server->set_state(ToWire(health.state));
    server->set_weight_permille(
      static_cast<std::uint32_t>(health.weight * 1000));
    server->set_cause(health.cause == EjectionCause::kSlow ? "slow"
                                                           : "failures");
  }
  m_hooks.send(aTo, evidence);
}

void
ServicePlane::OnVerdict(const HostId& aFrom,
                        const wire::Verdict& aVerdict,
                        TimePoint aNow)
{
  const auto it = m_services.find(ServiceName(aVerdict.service()));
  // Accepts verdicts only from the arbiter that this host reports to: while the
  // arbiter changes, two hosts may act as arbiter.
  if (it == m_services.end() || it->second.arbiter != aFrom) {
    return;
  }
  Service& service = it->second;
  service.verdictDueBy = kNever;
  if (service.fallback) {
    service.fallback = false;
    service.detector.reset();
  }
  std::vector<ServerHealth> health;
  for (const wire::ServerVerdict& server : aVerdict.servers()) {
    ServerHealth item;
    item.id = BackendServerId(server.server());
    item.incarnation = server.incarnation();
    item.state = FromWire(server.state());
    item.cause = server.cause() == "slow" ? EjectionCause::kSlow
                                          : EjectionCause::kFailures;
    item.weight = server.weight_permille() / 1000.0;
    item.since = aNow;
    if (const ServerHealth* previous = service.router->RestrictionOf(item.id)) {
      item.since = previous->state == item.state ? previous->since : aNow;
    }
    health.push_back(item);
  }
  service.router->SetRestrictions(
    health, aVerdict.reporters(), aNow + ToSpan(aVerdict.lifetime_us()));
}

void
ServicePlane::OnBroken(const ServiceName& aService,
                       Fingerprint aFingerprint,
                       const BackendServerId& aServer,
                       TimePoint aStartedAt,
                       TimePoint aNow)
{
  if (!m_quarantine.IsEvidence(aFingerprint, aStartedAt)) {
    return;
  }
  const BrokenRun run{ aServer, aStartedAt, true };
  if (m_quarantine.OnBroken(aFingerprint, run, aNow)) {
    m_hooks.record(Event("request_quarantined")
                     .With("service", aService)
                     .With("fingerprint", aFingerprint));
    SendQuarantine(aService, aFingerprint, aNow);
    return;
  }
  if (ArbitratesRequestsOf(aService)) {
    return;
  }
  wire::PoisonNotice notice;
  notice.set_fingerprint(aFingerprint.Value());
  notice.set_broken_server(aServer.Value());
  notice.set_began_us_ago((aNow - aStartedAt).count());
  SendNotice(std::move(notice), aService);
}

void
ServicePlane::OnClosed(const ServiceName& aService,
                       Fingerprint aFingerprint,
                       const BackendServerId& aServer,
                       TimePoint aStartedAt,
                       TimePoint aNow)
{
  m_quarantine.OnClosed({ aService, aFingerprint, { aServer, aStartedAt } },
                        aNow);
}

void
ServicePlane::OnRefused(const BackendServerId& aServer, TimePoint aNow)
{
  for (const SuspectedRun& closed : m_quarantine.TakeClosed(aServer, aNow)) {
    OnBroken(
      closed.service, closed.fingerprint, aServer, closed.run.startedAt, aNow);
  }
}

void
ServicePlane::OnServed(const ServiceName& aService,
                       Fingerprint aFingerprint,
                       TimePoint aNow)
{
  if (m_quarantine.OnSuccess(aFingerprint, aNow)) {
    SendSuccess(aService, aFingerprint);
  }
}

bool
ServicePlane::ArbitratesRequestsOf(const ServiceName& aService) const
{
  const auto it = m_services.find(aService);
  return it != m_services.end() && it->second.arbiter == m_options.self;
}

void
ServicePlane::SendQuarantine(const ServiceName& aService,
                             Fingerprint aFingerprint,
                             TimePoint aNow)
{
  wire::PoisonNotice notice;
  notice.set_fingerprint(aFingerprint.Value());
  notice.set_remaining_us((m_quarantine.Until(aFingerprint) - aNow).count());
  notice.set_began_us_ago((aNow - m_quarantine.BeganAt(aFingerprint)).count());
  SendNotice(std::move(notice), aService);
}

// Hosts that do not know the field take it for a quarantine that has ended.
void
ServicePlane::SendSuccess(const ServiceName& aService, Fingerprint aFingerprint)
{
  wire::PoisonNotice notice;
  notice.set_fingerprint(aFingerprint.Value());
  notice.set_succeeded(true);
  SendNotice(std::move(notice), aService);
}

// The arbiter forwards notices to all hosts that report on the service.
void
ServicePlane::SendNotice(wire::PoisonNotice aNotice,
                         const ServiceName& aService)
{
  const auto it = m_services.find(aService);
  if (it == m_services.end()) {
    return;
  }
  aNotice.set_service(aService.Value());
  wire::Evidence evidence;
  *evidence.add_poison() = std::move(aNotice);
  if (m_options.routing.sharesOutcomes) {
    m_hooks.broadcast(evidence);
    return;
  }
  if (it->second.arbiter != m_options.self) {
    if (!it->second.arbiter.IsEmpty()) {
      m_hooks.send(it->second.arbiter, evidence);
    }
    return;
  }
  for (const auto& [host, until] : it->second.reporters) {
    if (host != m_options.self) {
      m_hooks.send(host, evidence);
    }
  }
}

void
ServicePlane::OnQuarantineNotice(const HostId& aFrom,
                                 const wire::PoisonNotice& aNotice,
                                 TimePoint aNow)
{
  if (aNotice.succeeded()) {
    OnSuccessNotice(aFrom, aNotice, aNow);
    return;
  }
  const ServiceName service(aNotice.service());
  const Fingerprint fingerprint(aNotice.fingerprint());
  const bool arbiter = ArbitratesRequestsOf(service);
  const TimePoint beganAt = aNow - ToSpan(aNotice.began_us_ago());
  if (!aNotice.broken_server().empty()) {
    const bool newlyQuarantined = m_quarantine.OnBroken(
      fingerprint, { BackendServerId(aNotice.broken_server()), beganAt }, aNow);
    if (arbiter && newlyQuarantined) {
      SendQuarantine(service, fingerprint, aNow);
    }
    return;
  }
  const bool wasQuarantined = m_quarantine.IsQuarantined(fingerprint, aNow);
  const bool adopted = m_quarantine.Adopt(
    fingerprint, beganAt, aNow + ToSpan(aNotice.remaining_us()));
  if (!adopted) {
    SendSuccess(service, fingerprint);
  } else if (arbiter && !wasQuarantined && aFrom != m_options.self) {
    SendQuarantine(service, fingerprint, aNow);
  }
}

void
ServicePlane::OnSuccessNotice(const HostId& aFrom,
                              const wire::PoisonNotice& aNotice,
                              TimePoint aNow)
{
  const ServiceName service(aNotice.service());
  const Fingerprint fingerprint(aNotice.fingerprint());
  const bool changed = m_quarantine.OnSuccessElsewhere(fingerprint, aNow);
  if (changed && ArbitratesRequestsOf(service) && aFrom != m_options.self) {
    SendSuccess(service, fingerprint);
  }
}

} // namespace fuchsiaramp
