#include "entry/entry_node.h"

#include <algorithm>
#include <numbers>
#include <utility>

#include "base/digest.h"
#include "base/invariant.h"
#include "entry/advertised_hosts.h"
#include "membership/record_check.h"
#include "routing/rendezvous.h"

namespace fuchsiaramp {

static constexpr std::uint32_t kUnauthorized = 401;
// Half-life of the count of recent requests. An entry host that is not
// advertised to callers gets less than one request per second, from those who
// operate the hosts. From two per second on, receiving the outcomes that other
// hosts observe is worth its cost.
static constexpr Duration kRequestCountHalfLife = std::chrono::seconds(3);
static constexpr double kMinRequestsToReceiveOutcomes =
  2.0 * ToSeconds(kRequestCountHalfLife) / std::numbers::ln2;
// The first requests after a start show the rate sooner with a shorter
// half-life. Until a host receives outcomes, it repeats the failures of others.
static constexpr Duration kFirstRequestsHalfLife =
  std::chrono::milliseconds(500);
static constexpr double kMinFirstRequests =
  2.0 * ToSeconds(kFirstRequestsHalfLife) / std::numbers::ln2;
// One of this many requests served in time is logged.
static constexpr std::uint64_t kServedRequestsPerLogLine = 64;
static constexpr std::size_t kAddressesPerAnswer = 8;
// Entry hosts that share the callers of one service.
static constexpr std::size_t kHostsPerService = 24;

static AdvertisingOptions
GetAdvertisingOptions(const Settings& aSettings)
{
  return { ShareForLink(aSettings.sameDomainShare, aSettings.linkMbps),
           aSettings.minSameDomainAddresses };
}

std::string
EntryNode::ToMillisText(const std::optional<Duration>& aSpan)
{
  return aSpan ? std::to_string(aSpan->count() / 1000) : "never";
}

EntryNode::EntryNode(EntryOptions aOptions,
                     EntryHooks aHooks,
                     Random aRandom,
                     TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_hooks(std::move(aHooks))
  , m_random(aRandom.Bits())
  , m_now(aNow)
  , m_directory(
      [this](const HostId& aHost, std::uint64_t aIncarnation) {
        const wire::HostRecord* record =
          m_membership ? m_membership->Table().FindHost(aHost) : nullptr;
        return record != nullptr && m_membership->IsAlive(aHost) &&
               record->incarnation() == aIncarnation;
      },
      [this](const BackendServer& aServer) {
        m_services->UpdateServer(aServer, m_now);
      })
  , m_recentRequests(kRequestCountHalfLife)
  , m_newestRequests(kFirstRequestsHalfLife)
  , m_shutdown(m_options.settings.gracePeriod)
{
  CreateComponents(aRandom, aNow);
}

// Creates the components and connects their hooks to each other and to the
// adapter.
void
EntryNode::CreateComponents(Random& aRandom, TimePoint aNow)
{
  const Settings& settings = m_options.settings;
  std::vector<HostId> controlHosts;
  for (const PeerSettings& peer : settings.controlHosts) {
    controlHosts.push_back(peer.host);
  }
  const auto aliveHosts = [this] { return m_membership->AliveHosts(); };

  ServicePlaneHooks planeHooks;
  planeHooks.send = [this](const HostId& aTo, const wire::Evidence& aMessage) {
    wire::Envelope envelope;
    *envelope.mutable_evidence() = aMessage;
    m_hooks.send(aTo, envelope);
  };
  planeHooks.broadcast = [this](const wire::Evidence& aMessage) {
    const HostId relay = m_lists->CurrentControlHost();
    if (relay.IsEmpty()) {
      return; // no control host has confirmed the lists yet
    }
    wire::Envelope envelope;
    *envelope.mutable_evidence() = aMessage;
    m_hooks.send(relay, envelope);
  };
  planeHooks.domainHosts = [this] {
    const Settings& own = m_options.settings;
    std::vector<HostId> hosts;
    for (const wire::HostRecord* host :
         AdvertisedHosts(own.region, own.failureDomain)) {
      if (host->failure_domain() == own.failureDomain.Value()) {
        hosts.emplace_back(host->host());
      }
    }
    return hosts;
  };
  planeHooks.aliveHosts = aliveHosts;
  planeHooks.cutOffHosts = [this] {
    std::set<HostId> hosts;
    for (const auto& [name, record] : m_membership->Table().Hosts()) {
      if (record.cut_off()) {
        hosts.emplace(name);
      }
    }
    return hosts;
  };
  planeHooks.regionOf = [this](const HostId& aHost) {
    const wire::HostRecord* record = m_membership->Table().FindHost(aHost);
    return record == nullptr ? Region() : Region(record->region());
  };
  planeHooks.waiting = [this](const ServiceName& aService) {
    const auto it = m_admissions.find(aService);
    const bool shares = m_lists->Current().HasTeams();
    return !shares || it == m_admissions.end()
             ? std::map<std::uint32_t, std::uint32_t>()
             : it->second.queue.WaitingInTime(m_now);
  };
  planeHooks.record = m_hooks.record;
  m_services =
    std::make_unique<ServicePlane>(ServicePlaneOptions{ settings.host,
                                                        settings.region,
                                                        settings.failureDomain,
                                                        settings.routing },
                                   std::move(planeHooks),
                                   Random(aRandom.Bits()));

  ListsFollowerHooks listsHooks;
  listsHooks.sendPull = [this](const HostId& aTo,
                               const wire::ListsPull& aMessage) {
    wire::Envelope envelope;
    *envelope.mutable_lists_pull() = aMessage;
    m_hooks.send(aTo, envelope);
  };
  listsHooks.sendPush = [this](const HostId& aTo,
                               const wire::ListsPush& aMessage) {
    wire::Envelope envelope;
    *envelope.mutable_lists_push() = aMessage;
    m_hooks.send(aTo, envelope);
  };
  listsHooks.aliveHosts = aliveHosts;
  listsHooks.groupLeadersChanged =
    [this](const std::vector<std::string>& aLeaders) {
      m_claims->SetGroupLeaders(aLeaders);
    };
  listsHooks.controlHostsChanged = [this](const std::vector<HostId>& aHosts) {
    m_claims->SetControlHosts(aHosts);
    for (const HostId& host : aHosts) {
      // Control hosts learned only from control are identified by address.
      if (IsAddress(host.Value())) {
        wire::HostRecord record;
        record.set_host(host.Value());
        m_hooks.hostChanged(record);
      }
    }
  };
  listsHooks.serverChanged = [this](const wire::BackendServerRecord& aRecord) {
    if (aRecord.state() == wire::BackendServerRecord::LEAVING) {
      m_hooks.record(Event("server_leaving")
                       .With("server", aRecord.id())
                       .With("servers_version", m_lists->ServersVersion())
                       .With("from", m_lists->CurrentControlHost())
                       .With("confirmed_ms_ago",
                             ToMillisText(m_lists->ConfirmedAge(m_now))));
    }
    m_directory.UpdateFromControl(aRecord);
  };
  const bool membershipFromControl = settings.membershipByControl;
  listsHooks.ownRecord =
    [this, membershipFromControl]() -> std::optional<wire::HostRecord> {
    return membershipFromControl ? std::optional(m_membership->Self())
                                 : std::nullopt;
  };
  listsHooks.receivesOutcomes = [this] { return ReceivesOutcomes(); };
  listsHooks.entryHostsChanged =
    [this, membershipFromControl](const std::vector<wire::HostRecord>& aHosts) {
      if (membershipFromControl) {
        m_membership->SetHosts(aHosts, m_now);
      }
    };
  listsHooks.domainSizesChanged =
    [this, membershipFromControl](const std::vector<std::size_t>& aSizes) {
      if (membershipFromControl) {
        m_services->SetRetryBudgetHosts(CountAdvertisedHosts(
          aSizes, GetAdvertisingOptions(m_options.settings)));
      }
    };
  listsHooks.record = m_hooks.record;
  ListsFollowerOptions listsOptions;
  listsOptions.self = settings.host;
  listsOptions.region = settings.region;
  listsOptions.failureDomain = settings.failureDomain;
  listsOptions.controlHosts = controlHosts;
  listsOptions.pullInterval = settings.pullInterval;
  m_lists = std::make_unique<ListsFollower>(
    listsOptions, std::move(listsHooks), Random(aRandom.Bits()), aNow);

  m_claims = std::make_unique<CommandClient>(controlHosts, m_hooks.send);

  ServerReachabilityHooks reachabilityHooks;
  reachabilityHooks.servers = [this] { return ProbeTargets(); };
  reachabilityHooks.startProbe = m_hooks.startProbe;
  reachabilityHooks.changed = [this] { OnReachabilityChanged(); };
  m_reachability = std::make_unique<ServerReachability>(
    std::move(reachabilityHooks), Random(aRandom.Bits()));

  PlanLimiterHooks limiterHooks;
  limiterHooks.send = [this](const HostId& aTo,
                             const wire::LimitReport& aMessage) {
    wire::Envelope envelope;
    *envelope.mutable_limits() = aMessage;
    m_hooks.send(aTo, envelope);
  };
  limiterHooks.aliveHosts = aliveHosts;
  m_limiter =
    std::make_unique<PlanLimiter>(settings.host, std::move(limiterHooks), aNow);

  QuotaClientHooks quotaHooks;
  quotaHooks.send = [this](const HostId& aTo,
                           const wire::QuotaRequest& aMessage) {
    wire::Envelope envelope;
    *envelope.mutable_quota_request() = aMessage;
    m_hooks.send(aTo, envelope);
  };
  quotaHooks.controlHosts = [this](TimePoint aTime) {
    return m_lists->ControlHostsByDistance(aTime);
  };
  quotaHooks.decided = [this](const QuotaDecision& aDecision, TimePoint aTime) {
    OnQuotaDecision(aDecision, aTime);
  };
  m_quotas = std::make_unique<QuotaClient>(std::move(quotaHooks));

  MembershipHooks memberHooks;
  memberHooks.send = [this](const HostId& aTo, const wire::Gossip& aMessage) {
    wire::Envelope envelope;
    *envelope.mutable_gossip() = aMessage;
    m_hooks.send(aTo, envelope);
  };
  memberHooks.hostChanged = [this](const wire::HostRecord& aRecord) {
    m_hooks.hostChanged(aRecord);
    if (aRecord.cut_off()) {
      m_reachability->OnPeerCutOff(m_now);
    }
    m_directory.WatcherChanged(HostId(aRecord.host()));
    m_services->HostsChanged();
  };
  memberHooks.serverChanged = [this](const wire::BackendServerRecord& aRecord) {
    m_directory.Update(aRecord);
  };
  memberHooks.listsVersion = [this] {
    return m_lists->Current().Version().Value();
  };
  memberHooks.peerListsVersion = [this](const HostId& aPeer,
                                        std::uint64_t aVersion) {
    m_lists->OnPeerVersion(aPeer, aVersion, m_now);
  };
  memberHooks.record = m_hooks.record;
  MembershipOptions memberOptions;
  memberOptions.self.set_host(settings.host.Value());
  memberOptions.self.set_incarnation(m_options.incarnation);
  memberOptions.self.set_role("entry");
  memberOptions.self.set_region(settings.region.Value());
  memberOptions.self.set_failure_domain(settings.failureDomain.Value());
  // The message address is omitted if it equals the host's id.
  if (settings.messageAddress != settings.host.Value()) {
    memberOptions.self.set_message_address(settings.messageAddress);
  }
  memberOptions.gossipEnabled = !settings.membershipByControl;
  memberOptions.self.set_caller_address(settings.callerAddress);
  memberOptions.self.set_public_key(settings.keys.publicKey);
  memberOptions.announcementLifetime = settings.announcementLifetime;
  for (const PeerSettings& seed : settings.seeds) {
    memberOptions.seeds.push_back(seed.host);
  }
  m_membership = std::make_unique<Membership>(
    memberOptions, std::move(memberHooks), Random(aRandom.Bits()), aNow);
}

bool
EntryNode::ReceivesOutcomes() const
{
  return m_recentRequests.At(m_now).total >= kMinRequestsToReceiveOutcomes ||
         m_newestRequests.At(m_now).total >= kMinFirstRequests;
}

void
EntryNode::OnMessage(const HostId& aFrom,
                     const wire::Envelope& aMessage,
                     TimePoint aNow)
{
  m_now = aNow;
  switch (aMessage.body_case()) {
    case wire::Envelope::kGossip:
      m_membership->OnGossip(aFrom, aMessage.gossip(), aNow);
      break;
    case wire::Envelope::kListsPull:
      m_lists->OnPull(aFrom, aMessage.lists_pull(), aNow);
      break;
    case wire::Envelope::kListsPush:
      m_lists->OnPush(aFrom, aMessage.lists_push(), aNow);
      break;
    case wire::Envelope::kControlReply:
      m_claims->OnReply(aFrom, aMessage.control_reply(), aNow);
      break;
    case wire::Envelope::kEvidence:
      m_services->OnEvidence(aFrom, aMessage.evidence(), aNow);
      // Other hosts may have left free slots to the requests that wait here.
      for (const wire::ServiceLoad& load : aMessage.evidence().loads()) {
        const auto waits = m_admissions.find(ServiceName(load.service()));
        if (waits != m_admissions.end() && !waits->second.queue.empty()) {
          StartQueuedRequests(waits->first, aNow);
        }
      }
      break;
    case wire::Envelope::kLimits:
      m_limiter->OnReport(aFrom, aMessage.limits(), aNow);
      break;
    case wire::Envelope::kQuotaGrant:
      m_quotas->OnGrant(aFrom, aMessage.quota_grant(), aNow);
      FlushLater();
      break;
    default:
      break;
  }
}

void
EntryNode::OnAnnouncement(const wire::BackendServerRecord& aRecord,
                          TimePoint aNow)
{
  m_now = aNow;
  m_membership->Watch(aRecord, aNow);
}

// Returns the hosts that serve a service. The order rotates with each query, so
// that callers' first choices are spread evenly.
AddressResponse
EntryNode::OnAddressQuery(const ServiceName& aService, TimePoint aNow)
{
  std::vector<HostId> hosts;
  std::vector<HostId> cutOff;
  for (const HostId& host : m_membership->AliveHosts()) {
    const wire::HostRecord* record = m_membership->Table().FindHost(host);
    if (record->state() == wire::HostRecord::ALIVE &&
        IsConnectableAddress(record->caller_address())) {
      (record->cut_off() ? cutOff : hosts).push_back(host);
    }
  }
  if (hosts.empty()) {
    hosts.swap(cutOff);
  }
  hosts = RendezvousTop(aService.Value(), hosts, kHostsPerService);
  AddressResponse response;
  response.lifetime = m_options.settings.addressLifetime;
  if (hosts.empty()) {
    return response;
  }
  const std::size_t first = m_addressQueries++ % hosts.size();
  const std::size_t count = std::min(hosts.size(), kAddressesPerAnswer);
  for (std::size_t i = 0; i < count; ++i) {
    const HostId& host = hosts[(first + i) % hosts.size()];
    response.addresses.push_back(
      m_membership->Table().FindHost(host)->caller_address());
  }
  if (!IsLeaving()) {
    m_addressResponsesExpireAt =
      std::max(m_addressResponsesExpireAt, aNow + response.lifetime);
  }
  return response;
}

std::vector<const wire::HostRecord*>
EntryNode::AdvertisedHosts(const Region& aRegion,
                           const FailureDomain& aDomain) const
{
  return SelectAdvertisedHosts(m_membership->Table().Hosts(),
                               aRegion,
                               aDomain,
                               GetAdvertisingOptions(m_options.settings));
}

AddressResponse
EntryNode::OnFailureDomainQuery(const Region& aRegion,
                                const FailureDomain& aDomain,
                                TimePoint aNow)
{
  AddressResponse response;
  response.lifetime = m_options.settings.addressLifetime;
  for (const wire::HostRecord* host : AdvertisedHosts(aRegion, aDomain)) {
    response.addresses.push_back(host->caller_address());
  }
  if (!IsLeaving()) {
    m_addressResponsesExpireAt =
      std::max(m_addressResponsesExpireAt, aNow + response.lifetime);
  }
  return response;
}

void
EntryNode::AddControlHosts(const std::vector<HostId>& aHosts)
{
  m_lists->AddControlHosts(aHosts);
}

void
EntryNode::AddSeeds(const std::vector<HostId>& aSeeds)
{
  m_membership->AddSeeds(aSeeds);
}

void
EntryNode::Leave(TimePoint aNow, TimePoint aRequestedAt)
{
  if (IsLeaving()) {
    return;
  }
  m_now = aNow;
  m_membership->Leave(aNow);
  m_lists->PullNow();
  // Other hosts may return the address of this one until they learn that it
  // leaves, and callers keep those responses for one address lifetime.
  m_addressResponsesExpireAt =
    std::max(m_addressResponsesExpireAt,
             aNow + kLeavePropagationTime + m_options.settings.addressLifetime);
  m_shutdown.Begin(aRequestedAt, m_addressResponsesExpireAt);
  m_hooks.record(Event("leaving").With("held", m_requests.size()));
  std::vector<RequestId> late;
  for (const auto& [id, request] : m_requests) {
    const bool waits = IsWaiting(request);
    if (waits && !m_shutdown.EndsInTime(request.head.deadline)) {
      late.push_back(id);
    }
  }
  for (const RequestId id : late) {
    RefuseLeaving(m_requests.at(id), aNow);
  }
}

bool
EntryNode::MayExit(TimePoint aNow) const
{
  const bool reported =
    m_claims->PendingCount() == 0 || IsDue(m_shutdown.ExitBy(), aNow);
  return m_shutdown.IsClosed(aNow) && m_requests.empty() && reported;
}

void
EntryNode::Tick(TimePoint aNow)
{
  m_now = aNow;
  m_membership->Tick(aNow);
  m_lists->Tick(aNow);
  m_claims->Tick(aNow);
  m_services->Tick(aNow);
  m_limiter->Tick(aNow);
  m_quotas->Tick(aNow);
  m_reachability->Tick(aNow);
  ReleaseDeferredRetries(aNow);
  CheckOverdue(aNow);
  CheckDeadlines(aNow);
  std::vector<ServiceName> waiting;
  for (const auto& [service, admission] : m_admissions) {
    if (!admission.queue.empty()) {
      waiting.push_back(service);
    }
  }
  for (const ServiceName& service : waiting) {
    StartQueuedRequests(service, aNow);
  }
}

void
EntryNode::Flush(TimePoint aNow)
{
  m_now = aNow;
  m_quotas->Flush(aNow);
}

void
EntryNode::FlushLater()
{
  if (m_hooks.flushNeeded && m_quotas->NeedsFlush()) {
    m_hooks.flushNeeded();
  }
}

bool
EntryNode::IsWaiting(const Request& aRequest)
{
  return aRequest.stage == Stage::kAwaitingQuota ||
         aRequest.stage == Stage::kQueued ||
         aRequest.stage == Stage::kRetryDeferred;
}

void
EntryNode::Refuse(Request& aRequest,
                  CallerOutcome aOutcome,
                  std::uint32_t aStatus,
                  const std::string& aReason,
                  std::optional<Duration> aRetryAfter,
                  TimePoint aNow)
{
  FinalResponse response;
  response.request = aRequest.head.id;
  response.outcome = aOutcome;
  response.status = aStatus;
  response.reason = aReason;
  response.retryAfter = aRetryAfter;
  Respond(aRequest, response, aNow);
}

void
EntryNode::Respond(Request& aRequest,
                   const FinalResponse& aResponse,
                   TimePoint aNow)
{
  FinalResponse response = aResponse;
  response.hadExtraAttempt = aRequest.extraAttempt.has_value();
  const bool keyed = !aRequest.head.key.IsEmpty();
  const bool identified = response.status != kUnauthorized;
  // An earlier request with the same key may have come through any host; only
  // the ledger can confirm that it did not run.
  if (response.outcome == CallerOutcome::kNotRun && keyed && identified &&
      !aRequest.keyIsFree) {
    response.outcome = CallerOutcome::kUnknown;
  }
  CheckInvariant(response.outcome != CallerOutcome::kNotRun ||
                   (!aRequest.mayHaveRun && aRequest.runningAttempts.empty()),
                 "a request answered with not-run did not run");
  CancelAttempts(aRequest, aNow);
  ReleaseReservation(aRequest, aNow);
  ReleasePermit(aRequest, aNow);
  switch (response.outcome) {
    case CallerOutcome::kAnswered:
      ++m_counters.answered;
      break;
    case CallerOutcome::kNotRun:
      ++m_counters.notRun;
      break;
    case CallerOutcome::kUnknown:
      ++m_counters.unknown;
      break;
  }
  RecordResponse(aRequest, response, aNow);
  const ServiceName service = aRequest.head.service;
  const auto admission = m_admissions.find(service);
  if (admission != m_admissions.end()) {
    admission->second.queue.Remove(aRequest.head.id);
  }
  m_requests.erase(aRequest.head.id);
  m_hooks.answer(response);
}

// Logs one line for each request that was not served in time, with what caused
// it, and for a sample of the others.
void
EntryNode::RecordResponse(const Request& aRequest,
                          const FinalResponse& aResponse,
                          TimePoint aNow)
{
  const Duration spent = aNow - aRequest.arrivedAt;
  const bool late = aRequest.latencyObjective > Duration::zero() &&
                    spent > aRequest.latencyObjective;
  const bool served =
    aResponse.outcome == CallerOutcome::kAnswered && aResponse.status < 500;
  const bool timely = served && !late;
  const char* name = "request_failed";
  if (served) {
    name = late ? "request_late" : "request_served";
  } else if (aResponse.outcome == CallerOutcome::kNotRun) {
    name = "request_refused";
  }
  const TimePoint began = std::min(aRequest.firstAttemptAt, aNow);
  Event event(name);
  event.Add("request", aRequest.head.id);
  event.Add("caller_request", aRequest.head.callerRequestId);
  event.Add("service", aRequest.head.service);
  event.Add("customer", aRequest.customer);
  event.Add("lists_version", m_lists->Current().Version());
  event.Add("outcome", ToText(aResponse.outcome));
  event.Add("status", aResponse.status);
  event.Add("attempts", aRequest.attemptsStarted);
  if (aRequest.extraAttempt) {
    event.Add("extra_attempt", *aRequest.extraAttempt);
    event.Add("extra_attempt_won", aResponse.relay == aRequest.extraAttempt);
  }
  event.Add("waited_ms", (began - aRequest.arrivedAt).count() / 1000);
  event.Add("ms", spent.count() / 1000);
  if (!served) {
    AddLoad(aRequest.head.service, event);
    event.Add("reason", aResponse.reason);
    if (aRequest.removesCredentials) {
      event.Add("confirmed_ms_ago",
                ToMillisText(m_lists->ListsConfirmedAge(aNow)));
    }
  }
  const bool sampled =
    timely && m_timelyResponses++ % kServedRequestsPerLogLine == 0;
  if (IsLeaving()) {
    event.Add("leaving", true);
  }
  if (sampled) {
    event.Add("one_of", kServedRequestsPerLogLine);
  }
  // The outcomes of a host that leaves are the last that are known of it.
  const bool detail = timely && !sampled && !IsLeaving();
  m_hooks.record(detail ? std::move(event).AsDebug() : std::move(event));
}

// Adds the load that this host saw when it decided.
void
EntryNode::AddLoad(const ServiceName& aService, Event& aEvent) const
{
  const auto admission = m_admissions.find(aService);
  const ServiceRouter* router = m_services->Find(aService);
  if (admission == m_admissions.end() || router == nullptr) {
    return;
  }
  aEvent.Add("queued", admission->second.queue.size());
  aEvent.Add("running", router->Outstanding());
  aEvent.Add("slots", router->TotalSlots());
  aEvent.Add("limit", admission->second.limit.Limit());
  std::uint64_t elsewhere = 0;
  for (const auto& [priority, count] : router->WaitingAtPeers()) {
    elsewhere += count;
  }
  aEvent.Add("waiting_elsewhere", elsewhere);
}

} // namespace fuchsiaramp
