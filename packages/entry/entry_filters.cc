#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "base/digest.h"
#include "base/invariant.h"
#include "base/text.h"
#include "entry/entry_node.h"

namespace fuchsiaramp {

static constexpr Duration kRetryAfterFailedClaim = std::chrono::seconds(1);
static constexpr Duration kClaimTimeout = std::chrono::seconds(2);
static constexpr Duration kFenceTimeout = std::chrono::seconds(1);
// How long this host tries to record the outcome of a request in the ledger.
static constexpr Duration kReportTimeout = std::chrono::minutes(10);
static constexpr std::size_t kMaxKeyLength = 200; // bytes
static constexpr double kMinStartRate = 1e-3;     // requests per second
// Callers that are told to wait for longer give up; they may as well try again.
static constexpr double kMaxWaitSeconds = 30.0;
// About the mean latency of a service, with which its rate is estimated.
static constexpr double kTypicalLatencyQuantile = 0.6;
// The latency that a queued request must still have left. In an overload all
// requests start at the last moment, so a request that takes longer ends late.
static constexpr double kReservedLatencyQuantile = 0.85;
// For how long a host leaves free slots to more urgent requests of other hosts.
// These learn of a free slot within two ticks of 20 ms and one message.
static constexpr Duration kMaxYield = std::chrono::milliseconds(60);

void
EntryNode::OnRequest(const RequestHead& aHead, TimePoint aNow)
{
  m_now = aNow;
  ++m_counters.requests;
  CountRequest(aNow);
  Request& request = m_requests[aHead.id];
  request.head = aHead;
  request.arrivedAt = aNow;
  static constexpr Filter kFilters[] = {
    &EntryNode::CheckServing,    &EntryNode::FindOpenRoute,
    &EntryNode::Authenticate,    &EntryNode::FindRoute,
    &EntryNode::CheckShutdown,   &EntryNode::CheckKey,
    &EntryNode::CheckQuarantine, &EntryNode::ForwardIfCutOff,
    &EntryNode::CheckService,    &EntryNode::CheckLimits,
    &EntryNode::CheckQuota,
  };
  for (const Filter filter : kFilters) {
    if ((this->*filter)(request, aNow) == FilterResult::kDone) {
      return;
    }
  }
  Enqueue(request, aNow);
}

// Control learns with the next pull that this host needs the outcomes that
// others observe, so the host pulls at once when its first requests arrive.
void
EntryNode::CountRequest(TimePoint aNow)
{
  m_recentRequests.Add({ 1.0, 0.0, 0.0 }, aNow);
  m_newestRequests.Add({ 1.0, 0.0, 0.0 }, aNow);
  const bool receives = ReceivesOutcomes();
  if (receives && !std::exchange(m_receivesOutcomes, receives)) {
    m_lists->PullNow();
  }
  m_receivesOutcomes = receives;
}

EntryNode::FilterResult
EntryNode::CheckServing(Request& aRequest, TimePoint aNow)
{
  if (m_lists->IsServing()) {
    return FilterResult::kContinue;
  }
  Refuse(aRequest,
         CallerOutcome::kNotRun,
         503,
         "this host has no confirmed lists yet; use another entry host",
         Jitter(kRetryWhileStarting),
         aNow);
  return FilterResult::kDone;
}

// Refuses what the lists here do not allow. A host that may have missed a
// change cannot say that they never did.
void
EntryNode::RefuseUnlisted(Request& aRequest,
                          std::uint32_t aStatus,
                          const std::string& aReason,
                          TimePoint aNow)
{
  if (m_lists->MayBeOutdated(aNow)) {
    Refuse(aRequest,
           CallerOutcome::kNotRun,
           503,
           "this host cannot confirm that its lists are current; use another "
           "entry host",
           Jitter(kRetryAtOtherHost),
           aNow);
    return;
  }
  Refuse(
    aRequest, CallerOutcome::kNotRun, aStatus, aReason, std::nullopt, aNow);
}

std::string
EntryNode::TokenHash(const Request& aRequest)
{
  const RequestHead& head = aRequest.head;
  return head.token.empty() ? head.tokenHash : Sha256Hex(head.token);
}

// An open route that is not public needs the key of a team if the lists hold
// any.
bool
EntryNode::CheckTeamKey(Request& aRequest,
                        const wire::Route& aRoute,
                        TimePoint aNow)
{
  const Lists& lists = m_lists->Current();
  aRequest.removesCredentials = lists.HasTeams();
  if (!lists.HasTeams() || aRoute.is_public()) {
    return true;
  }
  if (!CheckKeyLease(aRequest, aNow)) {
    return false;
  }
  const std::string hash = TokenHash(aRequest);
  const wire::Team* team =
    hash.empty() ? nullptr : lists.FindTeamByKeyHash(hash);
  if (team == nullptr) {
    ++m_counters.refusedKey;
    RefuseUnlisted(aRequest,
                   401,
                   "the key is missing or belongs to no team in these lists",
                   aNow);
    return false;
  }
  aRequest.team = TeamName(team->name());
  aRequest.customer = team->name();
  if (team->has_priority()) {
    aRequest.priority = team->priority();
  }
  return true;
}

// A key must have no effect on a request that its caller sends more than the
// lease after the key's removal was acknowledged. aNow is read once the whole
// request has arrived, so the request was sent earlier: whatever was
// acknowledged a lease before it was sent is in force here, however long its
// bytes were on their way or this process was frozen before it read them. What
// happens to the request later, a wait for a slot included, does not count.
bool
EntryNode::CheckKeyLease(Request& aRequest, TimePoint aNow)
{
  const std::optional<Duration>& lease = m_options.settings.keyLease;
  if (!lease) {
    return true;
  }
  const std::optional<Duration> age = m_lists->ListsConfirmedAge(aNow);
  const bool expired = !age || *age > *lease;
  if (expired != std::exchange(m_keyLeaseExpired, expired)) {
    m_hooks.record(Event(expired ? "key_lease_expired" : "key_lease_renewed")
                     .With("request", aRequest.head.id)
                     .With("lists_version", m_lists->Current().Version())
                     .With("from", m_lists->CurrentControlHost())
                     .With("confirmed_ms_ago", ToMillisText(age))
                     .With("lease_ms", lease->count() / 1000));
  }
  if (!expired) {
    return true;
  }
  ++m_counters.refusedKeyLease;
  Refuse(aRequest,
         CallerOutcome::kNotRun,
         503,
         "this host cannot confirm that the keys it knows are current; use "
         "another entry host",
         Jitter(kRetryAtOtherHost),
         aNow);
  return false;
}

void
EntryNode::AddCredentials(const Request& aRequest, AttemptStart& aStart)
{
  aStart.removesCredentials = aRequest.removesCredentials;
  if (!aStart.forwards) {
    aStart.team = aRequest.team;
  } else if (aRequest.removesCredentials) {
    aStart.tokenHash = TokenHash(aRequest);
  }
}

// Callers may use the open routes, which are selected by Host header and path,
// unless their token is that of a customer.
EntryNode::FilterResult
EntryNode::FindOpenRoute(Request& aRequest, TimePoint aNow)
{
  RequestHead& head = aRequest.head;
  const Lists& lists = m_lists->Current();
  const bool usesPlan =
    !head.tokenless && !head.token.empty() &&
    (!lists.HasTeams() ||
     lists.FindByTokenHash(Sha256Hex(head.token)) != nullptr);
  if (usesPlan) {
    return FilterResult::kContinue;
  }
  const wire::Route* route = lists.FindOpenRoute(head.host, head.path);
  if (route == nullptr) {
    if (!head.tokenless) {
      return FilterResult::kContinue;
    }
    RefuseUnlisted(aRequest,
                   404,
                   "no open route has this host and a prefix of this path",
                   aNow);
    return FilterResult::kDone;
  }
  aRequest.usesOpenRoute = true;
  aRequest.route = route->name();
  aRequest.repeatable = route->repeatable();
  aRequest.needsClaim = false;
  aRequest.priority = route->priority();
  aRequest.maxServers = static_cast<int>(route->max_servers());
  if (head.serversLeft) {
    aRequest.maxServers = std::min(aRequest.maxServers, *head.serversLeft);
  }
  aRequest.latencyObjective = Duration(route->latency_objective_us());
  if (!CheckTeamKey(aRequest, *route, aNow)) {
    return FilterResult::kDone;
  }
  head.deadline = std::min(head.deadline, aNow + Duration(route->timeout_us()));
  head.service = ChooseService(*route);
  return FilterResult::kContinue;
}

// Smooth weighted round robin: selects the service with the most credit, so
// that every sequence of requests stays close to the weights.
ServiceName
EntryNode::ChooseService(const wire::Route& aRoute)
{
  if (aRoute.split().empty()) {
    return ServiceName(aRoute.service());
  }
  std::map<std::string, double>& credits = m_splitCredits[aRoute.name()];
  double total = 0.0;
  const std::string* chosen = nullptr;
  for (const wire::ServiceShare& share : aRoute.split()) {
    // Each host starts with random credits. Otherwise, with few requests on
    // each of many hosts, all would go to the service with the largest share.
    const auto [credit, isNew] =
      credits.try_emplace(share.service(), share.weight() * m_random.Unit());
    credit->second += share.weight();
    total += share.weight();
    if (share.weight() > 0.0 &&
        (chosen == nullptr || credit->second > credits[*chosen])) {
      chosen = &share.service();
    }
  }
  CheckInvariant(chosen != nullptr, "a split has a weight above 0");
  credits[*chosen] -= total;
  return ServiceName(*chosen);
}

EntryNode::FilterResult
EntryNode::Authenticate(Request& aRequest, TimePoint aNow)
{
  if (aRequest.usesOpenRoute) {
    return FilterResult::kContinue;
  }
  const std::string hash = Sha256Hex(aRequest.head.token);
  const wire::Customer* customer = m_lists->Current().FindByTokenHash(hash);
  const bool authenticated = !aRequest.head.token.empty() &&
                             customer != nullptr &&
                             EqualConstantTime(customer->token_hash(), hash);
  if (!authenticated) {
    RefuseUnlisted(
      aRequest, 401, "the bearer token is missing or unknown", aNow);
    return FilterResult::kDone;
  }
  aRequest.customer = customer->id();
  return FilterResult::kContinue;
}

EntryNode::FilterResult
EntryNode::FindRoute(Request& aRequest, TimePoint aNow)
{
  if (aRequest.usesOpenRoute) {
    return FilterResult::kContinue;
  }
  const Lists& lists = m_lists->Current();
  const wire::Customer* customer =
    lists.FindCustomer(CustomerId(aRequest.customer));
  const wire::Route* route =
    lists.FindRoute(*customer, aRequest.head.service, aRequest.head.path);
  if (route == nullptr) {
    RefuseUnlisted(aRequest,
                   403,
                   "the customer's plan has no route for this service and path",
                   aNow);
    return FilterResult::kDone;
  }
  aRequest.repeatable = route->repeatable();
  aRequest.needsClaim = !aRequest.repeatable;
  aRequest.route = customer->plan() + '/' + route->name();
  aRequest.priority = lists.FindPlan(PlanName(customer->plan()))->priority();
  return FilterResult::kContinue;
}

EntryNode::FilterResult
EntryNode::CheckShutdown(Request& aRequest, TimePoint aNow)
{
  if (m_shutdown.Admits(aRequest.head.deadline, aNow)) {
    return FilterResult::kContinue;
  }
  RefuseLeaving(aRequest, aNow);
  return FilterResult::kDone;
}

void
EntryNode::RefuseLeaving(Request& aRequest, TimePoint aNow)
{
  ++m_counters.refusedLeaving;
  const bool hasPeer = std::ranges::any_of(
    m_membership->Table().Hosts(), [this](const auto& aHost) {
      return aHost.second.state() == wire::HostRecord::ALIVE &&
             aHost.first != m_options.settings.host.Value();
    });
  m_counters.refusedLeavingWithPeer += hasPeer ? 1 : 0;
  FailRequest(aRequest,
              nullptr,
              "this host is being stopped; use another entry host",
              Jitter(kRetryAtOtherHost),
              aNow);
}

EntryNode::FilterResult
EntryNode::CheckKey(Request& aRequest, TimePoint aNow)
{
  const std::string& key = aRequest.head.key.Value();
  const bool isValid =
    !key.empty() && key.size() <= kMaxKeyLength && IsUtf8(key);
  if (aRequest.needsClaim && !isValid) {
    Refuse(aRequest,
           CallerOutcome::kNotRun,
           400,
           "a request of this route needs an Idempotency-Key of 1 to 200 bytes "
           "of UTF-8 text",
           std::nullopt,
           aNow);
    return FilterResult::kDone;
  }
  return FilterResult::kContinue;
}

EntryNode::FilterResult
EntryNode::CheckQuarantine(Request& aRequest, TimePoint aNow)
{
  if (!IsQuarantined(aRequest, aNow)) {
    return FilterResult::kContinue;
  }
  RefuseQuarantined(aRequest, aNow);
  return FilterResult::kDone;
}

bool
EntryNode::IsQuarantined(const Request& aRequest, TimePoint aNow) const
{
  return m_services->RequestQuarantine().IsQuarantined(
    aRequest.head.fingerprint, aNow);
}

// The request may be a proper one whose servers crashed for other reasons, so
// its caller is told that it did not run and when to come back.
void
EntryNode::RefuseQuarantined(Request& aRequest, TimePoint aNow)
{
  FailRequest(aRequest,
              nullptr,
              "this request broke the connection of every backend server that "
              "ran it",
              m_services->RequestQuarantine().Until(aRequest.head.fingerprint) -
                aNow,
              aNow);
}

EntryNode::FilterResult
EntryNode::CheckService(Request& aRequest, TimePoint aNow)
{
  const ServiceRouter* router = m_services->Find(aRequest.head.service);
  if (router != nullptr && router->HasServers()) {
    return FilterResult::kContinue;
  }
  Refuse(aRequest,
         CallerOutcome::kNotRun,
         503,
         "no backend server of the service is announced",
         Jitter(kRetryWhileStarting),
         aNow);
  return FilterResult::kDone;
}

EntryNode::FilterResult
EntryNode::CheckLimits(Request& aRequest, TimePoint aNow)
{
  if (aRequest.usesOpenRoute) {
    return FilterResult::kContinue;
  }
  const Lists& lists = m_lists->Current();
  const wire::Customer* customer =
    lists.FindCustomer(CustomerId(aRequest.customer));
  const wire::Plan* plan = lists.FindPlan(PlanName(customer->plan()));
  const wire::Route* route =
    lists.FindRoute(*customer, aRequest.head.service, aRequest.head.path);
  const std::string byCustomer = "customer/" + aRequest.customer;
  const std::string byRoute = "route/" + plan->name() + '/' + route->name();
  std::string exceeded;
  if (!m_limiter->TryTake(byCustomer, plan->requests_per_second(), aNow)) {
    exceeded = byCustomer;
  } else if (!m_limiter->TryTake(byRoute, route->requests_per_second(), aNow)) {
    exceeded = byRoute;
  }
  if (exceeded.empty()) {
    return FilterResult::kContinue;
  }
  Refuse(aRequest,
         CallerOutcome::kNotRun,
         429,
         "the request limit of the plan is exceeded",
         m_limiter->NextAt(exceeded, aNow) - aNow,
         aNow);
  return FilterResult::kDone;
}

EntryNode::Admission&
EntryNode::AdmissionOf(const ServiceName& aService)
{
  return m_admissions.try_emplace(aService, m_options.queueCapacity)
    .first->second;
}

void
EntryNode::Enqueue(Request& aRequest, TimePoint aNow)
{
  const ServiceName service = aRequest.head.service;
  Admission& admission = AdmissionOf(service);
  ServiceRouter* router = m_services->Find(service);
  const Lists& lists = m_lists->Current();
  if (admission.routesVersion != lists.Version()) {
    admission.routesVersion = lists.Version();
    router->SetHasOnceOnly(lists.HasOnceOnlyRoute(service));
    router->SetOrdersOverCell(lists.HasTeams());
  }
  router->Retries().OnRequest();
  if (ExtraAttempts* extra = m_services->FindExtraAttempts(service)) {
    extra->OnRequest(aNow);
  }
  admission.arrivals.Add({ 1.0, 0.0, 0.0 }, aNow);
  const bool ordersOverCell = lists.HasTeams();
  if (ordersOverCell) {
    admission.arrivalsByPriority
      .try_emplace(aRequest.priority, kArrivalHalfLife)
      .first->second.Add({ 1.0, 0.0, 0.0 }, aNow);
  }
  aRequest.stage = Stage::kQueued;
  aRequest.wasQueued = true;
  const Duration latency = router->LatencyQuantile(kReservedLatencyQuantile);
  aRequest.startBy =
    std::max(aNow,
             std::min(aRequest.head.deadline - latency,
                      aNow + m_options.settings.routing.queueTimeout));
  aRequest.inTimeUntil = aRequest.startBy;
  if (aRequest.latencyObjective > Duration::zero()) {
    // In an overload, latencies contain the wait at servers and may exceed a
    // short objective. Its requests would then count as late when they arrive,
    // and follow all others.
    const Duration least =
      ordersOverCell ? aRequest.latencyObjective / 4 : Duration::min();
    aRequest.inTimeUntil =
      std::min(aRequest.startBy,
               aNow + std::max(aRequest.latencyObjective - latency, least));
  }
  aRequest.localOnlyUntil = aNow + m_options.settings.routing.maxLocalWait;
  // Callers of this host go first: the forwarding host has others to ask. A
  // request that is late wherever it runs is taken if it need not wait.
  const Duration acceptableWait =
    std::max(Duration(), (aRequest.inTimeUntil - aNow) / 2);
  if (aRequest.head.forwarded && EstimateWait(service, aNow) > acceptableWait) {
    ++m_counters.shed;
    Refuse(aRequest,
           CallerOutcome::kNotRun,
           503,
           "the service is at capacity",
           RetryAfterWait(EstimateWait(service, aNow)),
           aNow);
    return;
  }
  const auto dropped = admission.queue.Push(QueuedFrom(aRequest));
  if (dropped) {
    // It may be one that was attempted before and queued again.
    ++m_counters.shed;
    FailRequest(m_requests.at(*dropped),
                nullptr,
                "the service is at capacity",
                RetryAfterWait(EstimateWait(service, aNow)),
                aNow);
  }
  StartQueuedRequests(service, aNow);
}

// Randomises a delay, so that callers refused together do not retry together.
Duration
EntryNode::Jitter(Duration aSpan)
{
  return FromSeconds(ToSeconds(aSpan) * (0.5 + m_random.Unit()));
}

Duration
EntryNode::RetryAfterWait(Duration aWait)
{
  return Jitter(std::max(kRetryAfterShed, aWait));
}

// By Little's law, requests start at the rate of those that can run over their
// latency.
QueueRates
EntryNode::RatesOf(const ServiceName& aService, TimePoint aNow)
{
  const Admission& admission = AdmissionOf(aService);
  const ServiceRouter* router = m_services->Find(aService);
  const double running =
    std::clamp(router->Concurrency(aNow), 1.0, admission.limit.Limit());
  QueueRates rates;
  static constexpr double kPerSecond =
    std::numbers::ln2 / ToSeconds(kArrivalHalfLife);
  rates.arriving = admission.arrivals.At(aNow).total * kPerSecond;
  for (const auto& [priority, arrivals] : admission.arrivalsByPriority) {
    rates.arrivingByPriority[priority] = arrivals.At(aNow).total * kPerSecond;
  }
  const double hosts =
    static_cast<double>(router->CurrentCell().peers.size() + 1);
  for (const auto& [priority, waiting] : router->WaitingAtPeers()) {
    rates.waitingElsewhere[priority] = waiting / hosts;
  }
  rates.starting =
    running / ToSeconds(router->LatencyQuantile(kTypicalLatencyQuantile));
  if (const auto limited = router->CapacityIfAllLimited(aNow)) {
    rates.starting = std::min(rates.starting, limited->ownRate.perSecond);
    rates.nextStartAt = limited->nextAt;
  }
  return rates;
}

Duration
EntryNode::EstimateWait(const ServiceName& aService, TimePoint aNow)
{
  const double queued = static_cast<double>(AdmissionOf(aService).queue.size());
  const QueueRates rates = RatesOf(aService, aNow);
  const Duration wait =
    queued > 0.0
      ? FromSeconds(std::min(queued / std::max(rates.starting, kMinStartRate),
                             kMaxWaitSeconds))
      : Duration();
  const auto limited = m_services->Find(aService)->CapacityIfAllLimited(aNow);
  return limited ? std::max(wait, WaitForLimits(*limited, rates)) : wait;
}

// Callers that are refused by this host come back to any host. If all hosts get
// as many requests as this one, the limits of all servers together carry what
// arrives within a second in this time.
Duration
EntryNode::WaitForLimits(const LimitedCapacity& aCapacity,
                         const QueueRates& aRates) const
{
  const double arriving =
    aRates.arriving * static_cast<double>(m_services->RetryBudgetHosts());
  return FromSeconds(
    std::min(arriving / std::max(aCapacity.totalRate.perSecond, kMinStartRate),
             kMaxWaitSeconds));
}

// Refuses the queued requests that will not be served, so that their callers
// need not wait for it.
void
EntryNode::RefuseHopeless(const ServiceName& aService, TimePoint aNow)
{
  const auto hopeless =
    AdmissionOf(aService).queue.TakeHopeless(RatesOf(aService, aNow), aNow);
  for (RequestId id : hopeless) {
    ++m_counters.shed;
    FailRequest(m_requests.at(id),
                nullptr,
                "the service has no room before the request would be too late",
                RetryAfterWait(EstimateWait(aService, aNow)),
                aNow);
  }
}

// More urgent requests at the other hosts of the cell, and for a late request
// all that can be in time, get the free slots first. If they do not use them,
// because they cannot or a message was lost, the slots are not left idle.
bool
EntryNode::LeavesSlotToOthers(Admission& aAdmission,
                              const ServiceRouter& aRouter,
                              const Request& aRequest,
                              TimePoint aNow)
{
  const bool late = IsDue(aRequest.inTimeUntil, aNow);
  std::uint32_t ahead = 0;
  for (const auto& [priority, count] : aRouter.WaitingAtPeers()) {
    ahead += late || priority > aRequest.priority ? count : 0;
  }
  if (ahead == 0 || aRouter.FreeSlotsOfCell(aNow) > ahead) {
    aAdmission.yieldsUntil.reset();
    return false;
  }
  if (!aAdmission.yieldsUntil) {
    aAdmission.yieldsUntil = aNow + kMaxYield;
    ++m_counters.slotsLeft;
    m_hooks.record(Event("slot_left")
                     .With("request", aRequest.head.id)
                     .With("service", aRequest.head.service)
                     .With("priority", aRequest.priority)
                     .With("late", late ? 1 : 0)
                     .With("ahead", ahead)
                     .With("free", aRouter.FreeSlotsOfCell(aNow))
                     .AsDebug());
  }
  if (!IsDue(*aAdmission.yieldsUntil, aNow)) {
    return true;
  }
  aAdmission.yieldsUntil.reset();
  return false;
}

void
EntryNode::StartQueuedRequests(const ServiceName& aService, TimePoint aNow)
{
  const auto it = m_admissions.find(aService);
  if (it == m_admissions.end()) {
    return;
  }
  Admission& admission = it->second;
  ServiceRouter* router = m_services->Find(aService);
  while (!admission.queue.empty() &&
         static_cast<double>(router->Outstanding()) < admission.limit.Limit()) {
    const RequestId id = admission.queue.Pop(aNow)->request;
    Request& request = m_requests.at(id);
    if (IsQuarantined(request, aNow)) {
      RefuseQuarantined(request, aNow);
      continue;
    }
    if (LeavesSlotToOthers(admission, *router, request, aNow)) {
      admission.queue.Push(QueuedFrom(request));
      break;
    }
    if (!RenewPermit(request, aNow)) {
      continue;
    }
    const bool localOnly = !IsDue(request.localOnlyUntil, aNow);
    const auto server = router->Choose(
      { request.repeatable, request.excludedServers, localOnly }, aNow);
    if (!server) {
      admission.queue.Push(QueuedFrom(request));
      break;
    }
    ClaimOrStart(request, *server, aNow);
  }
  RefuseHopeless(aService, aNow);
}

// A slot is reserved before the claim, so that a key is claimed only when its
// request can start immediately.
void
EntryNode::ClaimOrStart(Request& aRequest,
                        const BackendServerId& aServer,
                        TimePoint aNow)
{
  if (!aRequest.needsClaim || !aRequest.claimAttempt.empty()) {
    StartAttempt(aRequest, aServer, aNow);
    return;
  }
  aRequest.reservedServer = aServer;
  aRequest.reservedAt = aNow;
  m_services->Find(aRequest.head.service)->OnStarted(aServer, aNow);
  StartClaim(aRequest, aNow);
}

void
EntryNode::ReleaseReservation(Request& aRequest, TimePoint aNow)
{
  if (!aRequest.reservedServer) {
    return;
  }
  AttemptReport report;
  report.outcome = AttemptOutcome::kCancelled;
  m_services->Find(aRequest.head.service)
    ->OnFinished(*aRequest.reservedServer, report, aNow);
  aRequest.reservedServer.reset();
}

wire::ClaimKey
EntryNode::KeyOf(const Request& aRequest) const
{
  wire::ClaimKey key;
  key.set_customer(aRequest.customer);
  key.set_service(aRequest.head.service.Value());
  key.set_key(aRequest.head.key.Value());
  return key;
}

void
EntryNode::StartClaim(Request& aRequest, TimePoint aNow)
{
  const wire::ClaimKey key = KeyOf(aRequest);
  if (!m_claims->CanSubmit()) {
    Refuse(aRequest,
           CallerOutcome::kNotRun,
           503,
           "the ledger cannot be reached; nothing was started",
           Jitter(kRetryAfterFailedClaim),
           aNow);
    return;
  }
  aRequest.stage = Stage::kClaiming;
  aRequest.claimAttempt = m_options.settings.host.Value() + '/' +
                          std::to_string(m_options.incarnation) + '/' +
                          std::to_string(m_nextClaim++);
  ++m_counters.claims;
  wire::Command command;
  wire::Claim* claim = command.mutable_claim();
  *claim->mutable_key() = key;
  claim->set_body_hash(aRequest.head.bodyHash);
  claim->set_attempt(aRequest.claimAttempt);
  const TimePoint deadline = std::min(AnswerBy(aRequest), aNow + kClaimTimeout);
  const RequestId id = aRequest.head.id;
  m_claims->Submit(std::move(command),
                   deadline,
                   aNow,
                   [this, id](const wire::CommandResult* aResult) {
                     OnClaimResult(id, aResult, m_now);
                   });
}

void
EntryNode::OnClaimResult(RequestId aRequest,
                         const wire::CommandResult* aResult,
                         TimePoint aNow)
{
  const auto it = m_requests.find(aRequest);
  if (it == m_requests.end()) {
    return;
  }
  Request& request = it->second;
  if (aResult == nullptr) {
    GiveUpClaim(request, aNow);
    return;
  }
  FinalResponse response;
  response.request = aRequest;
  switch (aResult->code()) {
    case wire::CommandResult::GRANTED: {
      request.keyIsFree = true;
      StartReserved(request, aNow);
      return;
    }
    case wire::CommandResult::ALREADY_FINISHED:
      response.outcome = CallerOutcome::kAnswered;
      response.status = 409;
      response.reason = "the request already ran; its response was not kept";
      // Hosts of former builds stored responses with any status.
      if (aResult->record().answer_kept() &&
          IsFinalStatus(aResult->record().status())) {
        response.stored = StoredResponse{ aResult->record().status(),
                                          aResult->record().content_type(),
                                          aResult->record().answer() };
      }
      break;
    case wire::CommandResult::IN_PROGRESS:
      response.outcome = CallerOutcome::kUnknown;
      response.status = 409;
      response.reason =
        "another attempt with this key is running or may have run";
      response.retryAfter = Jitter(kRetryAfterFailedClaim);
      break;
    case wire::CommandResult::BODY_MISMATCH:
      // Any request that ran with the key was a different one.
      request.keyIsFree = true;
      response.status = 422;
      response.reason = "the Idempotency-Key was used with another request";
      break;
    case wire::CommandResult::FULL:
      // A full ledger refuses only keys that it does not hold.
      request.keyIsFree = true;
      response.reason = "the ledger refused the claim: " + aResult->text();
      response.retryAfter = Jitter(kRetryAfterFailedClaim);
      break;
    default:
      response.reason = "the ledger refused the claim: " + aResult->text();
      response.retryAfter = Jitter(kRetryAfterFailedClaim);
      break;
  }
  request.claimAttempt.clear();
  Respond(request, response, aNow);
}

void
EntryNode::GiveUpClaim(Request& aRequest, TimePoint aNow)
{
  FinalResponse response;
  response.request = aRequest.head.id;
  response.reason = "the ledger did not answer in time";
  response.retryAfter = Jitter(kRetryAfterFailedClaim);
  Fence(aRequest, response, aNow);
}

void
EntryNode::StartReserved(Request& aRequest, TimePoint aNow)
{
  if (!m_shutdown.EndsInTime(aRequest.head.deadline)) {
    RefuseLeaving(aRequest, aNow);
    return;
  }
  const BackendServerId server = *aRequest.reservedServer;
  const ServiceRouter* router = m_services->Find(aRequest.head.service);
  if (!router->WasLimitedSince(server, aRequest.reservedAt, aNow)) {
    StartAttempt(aRequest, server, aNow);
    return;
  }
  ReleaseReservation(aRequest, aNow);
  if (!Requeue(aRequest, aNow)) {
    FailRequest(aRequest,
                nullptr,
                "the service is at capacity",
                Jitter(kRetryAfterShed),
                aNow);
  }
}

// Ends the claim of a request that did not run, so that a resend can be granted
// the key. Only then does the caller get the outcome not-run. If the ledger
// does not answer, the caller gets unknown, since a resend may still find the
// old claim.
void
EntryNode::Fence(Request& aRequest,
                 const FinalResponse& aResponse,
                 TimePoint aNow)
{
  CheckInvariant(!aRequest.mayHaveRun,
                 "only a request that did not run is fenced");
  ReleaseReservation(aRequest, aNow);
  // It must not be started while the ledger is told that it does not run.
  AdmissionOf(aRequest.head.service).queue.Remove(aRequest.head.id);
  aRequest.stage = Stage::kFencing;
  wire::Command command;
  wire::Finish* finish = command.mutable_finish();
  *finish->mutable_key() = KeyOf(aRequest);
  finish->set_attempt(aRequest.claimAttempt);
  finish->set_state(wire::LedgerRecord::NOT_RUN);
  aRequest.fenceUntil = aNow + kFenceTimeout;
  aRequest.fencedResponse = aResponse;
  const RequestId id = aRequest.head.id;
  m_claims->Submit(std::move(command),
                   aRequest.fenceUntil,
                   aNow,
                   [this, id](const wire::CommandResult* aResult) {
                     const auto it = m_requests.find(id);
                     if (it == m_requests.end()) {
                       return;
                     }
                     // OK means that no attempt holds the key and none ran.
                     const bool free =
                       aResult != nullptr &&
                       aResult->code() == wire::CommandResult::OK;
                     EndFence(it->second, free, m_now);
                   });
  // The fence is sent even if the caller cannot wait for the reply.
  if (IsDue(AnswerBy(aRequest), aNow)) {
    EndFence(aRequest, false, aNow);
  }
}

void
EntryNode::EndFence(Request& aRequest, bool aKeyIsFree, TimePoint aNow)
{
  aRequest.keyIsFree = aKeyIsFree;
  FinalResponse response = aRequest.fencedResponse;
  response.outcome =
    aKeyIsFree ? CallerOutcome::kNotRun : CallerOutcome::kUnknown;
  Respond(aRequest, response, aNow);
}

void
EntryNode::ReportFinished(const Request& aRequest,
                          const AttemptEnd& aEnd,
                          wire::LedgerRecord::State aState,
                          TimePoint aNow)
{
  wire::Command command;
  wire::Finish* finish = command.mutable_finish();
  *finish->mutable_key() = KeyOf(aRequest);
  finish->set_attempt(aRequest.claimAttempt);
  finish->set_state(aState);
  finish->set_status(aEnd.status);
  // The server may have sent any bytes, and the ledger must learn the outcome.
  finish->set_content_type(IsUtf8(aEnd.contentType) ? aEnd.contentType : "");
  finish->set_answer_kept(aEnd.body.has_value());
  finish->set_answer(aEnd.body.value_or(""));
  // The caller need not wait: a resend that reaches the ledger first gets
  // unknown.
  m_claims->Submit(std::move(command),
                   aNow + kReportTimeout,
                   aNow,
                   [](const wire::CommandResult*) {});
}

} // namespace fuchsiaramp
