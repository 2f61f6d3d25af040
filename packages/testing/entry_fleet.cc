#include "testing/entry_fleet.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace fuchsiaramp {

static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
static constexpr Duration kConnectTime = std::chrono::milliseconds(1);
static constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// One way between two entry hosts.
static constexpr Duration kForwardTime = std::chrono::milliseconds(1);
static constexpr Duration kAnnouncementInterval =
  std::chrono::milliseconds(600);
static constexpr Duration kControlDelay = std::chrono::milliseconds(20);
static constexpr Duration kCallerTimeout = std::chrono::seconds(10);
static constexpr int kMaxPoisonSends = 5;
static constexpr char kToken[] = "token";
static constexpr char kService[] = "profile";
static constexpr char kOpenHost[] = "profile.example";
// Open routes have one of these priorities.
static constexpr std::uint32_t kPriorities = 3;
static constexpr Duration kOpenRouteTimeout = std::chrono::seconds(4);
static constexpr Duration kOpenRouteObjective = std::chrono::milliseconds(1200);
static constexpr std::uint32_t kOpenRouteServers = 3;
// The longest time after which a caller gives up early.
static constexpr Duration kPatience = std::chrono::seconds(1);
static constexpr char kControlHost[] = "control-1";
static const std::string kServerAddress = "10.0.0.1:";
static const std::string kCallerAddress = "10.0.0.2:";

Deployment
AdzoaProfile()
{
  Deployment deployment;
  deployment.name = "adzoa";
  deployment.routing.ejectionThreshold = 7.0;
  return deployment;
}

Deployment
CalculosCalc()
{
  Deployment deployment;
  deployment.name = "calculos";
  deployment.slots = 6;
  deployment.domainDelay = std::chrono::milliseconds(1);
  deployment.routing.ejectionThreshold = 12.0;
  return deployment;
}

EntryDriver
MakeEntryNode(const EntryOptions& aOptions,
              const EntryHooks& aHooks,
              Random aRandom,
              TimePoint aNow)
{
  auto node = std::make_shared<EntryNode>(aOptions, aHooks, aRandom, aNow);
  EntryNode* raw = node.get();
  EntryDriver driver;
  driver.onRequest = [raw](const RequestHead& aHead, TimePoint aTime) {
    raw->OnRequest(aHead, aTime);
  };
  driver.onAttemptEnd = [raw](const AttemptEnd& aEnd, TimePoint aTime) {
    raw->OnAttemptEnd(aEnd, aTime);
  };
  driver.onMessage = [raw](const HostId& aFrom,
                           const wire::Envelope& aMessage,
                           TimePoint aTime) {
    raw->OnMessage(aFrom, aMessage, aTime);
  };
  driver.onAnnouncement = [raw](const wire::BackendServerRecord& aRecord,
                                TimePoint aTime) {
    raw->OnAnnouncement(aRecord, aTime);
  };
  driver.onProbeEnd = [raw](ProbeId aProbe, bool aConnected, TimePoint aTime) {
    raw->OnProbeEnd(aProbe, aConnected, aTime);
  };
  driver.onCallerDisconnected = [raw](RequestId aRequest, TimePoint aTime) {
    raw->OnCallerDisconnected(aRequest, aTime);
  };
  driver.leave = [raw](TimePoint aTime) { raw->Leave(aTime, aTime); };
  driver.tick = [raw](TimePoint aTime) { raw->Tick(aTime); };
  driver.isRestricted = [raw](const BackendServerId& aServer) {
    const ServiceRouter* router = raw->Services().Find(ServiceName(kService));
    if (router == nullptr) {
      return false;
    }
    const ServerHealth* health = router->RestrictionOf(aServer);
    return health != nullptr && health->state != HealthState::kRamp;
  };
  driver.owner = std::move(node);
  return driver;
}

static std::string
OpenRouteName(bool aRepeatable, std::uint32_t aPriority)
{
  return (aRepeatable ? "read-" : "once-") + std::to_string(aPriority);
}

EntryFleet::EntryFleet(Deployment aDeployment, FleetOptions aOptions)
  : m_deployment(std::move(aDeployment))
  , m_options(std::move(aOptions))
  , m_random(m_options.seed)
  , m_queue(FromMicros(1'000'000'000))
  , m_network({}, Random(m_options.seed + 1))
{
  const std::size_t domains =
    m_deployment.regions * m_deployment.domainsPerRegion;
  const auto domainOf = [&](std::size_t aIndex) {
    return FailureDomain("d" + std::to_string(aIndex % domains));
  };
  const auto regionOf = [&](std::size_t aIndex) {
    return Region("r" +
                  std::to_string(aIndex % domains % m_deployment.regions));
  };
  for (std::size_t i = 0; i < m_deployment.servers; ++i) {
    FakeServerOptions options;
    options.id = BackendServerId("server-" + std::to_string(i));
    options.region = regionOf(i);
    options.failureDomain = domainOf(i);
    options.slots = m_deployment.slots;
    options.meanServiceSeconds = m_deployment.meanServiceSeconds;
    m_serverIndex[options.id] = i;
    m_servers.push_back(
      std::make_unique<FakeServer>(options, m_queue, Random(m_random.Bits())));
  }
  for (std::size_t i = 0; i < m_deployment.entryHosts; ++i) {
    HostState host;
    host.id = HostId("entry-" + std::to_string(i));
    host.region = regionOf(i);
    host.domain = domainOf(i);
    m_hosts.push_back(std::move(host));
  }
  FakeNetworkOptions network;
  network.minDelay = m_deployment.domainDelay;
  network.maxDelay = m_deployment.domainDelay * 2;
  network.extraDelay = [this](const HostId& aFrom, const HostId& aTo) {
    const auto region = [this](const HostId& aHost) {
      for (const HostState& host : m_hosts) {
        if (host.id == aHost) {
          return host.region;
        }
      }
      return Region();
    };
    return region(aFrom) == region(aTo) ? Duration() : m_deployment.regionDelay;
  };
  m_network.SetOptions(network);
  wire::Command command;
  wire::PutLists* put = command.mutable_put_lists();
  put->set_change_id("initial");
  put->mutable_delta()->set_to_version(1);
  wire::Plan* plan = put->mutable_delta()->add_plans();
  plan->set_name("plan");
  for (const bool repeatable : { true, false }) {
    wire::Route* route = plan->add_routes();
    route->set_name(repeatable ? "read" : "once");
    route->set_path_prefix(repeatable ? "/read" : "/once");
    route->set_service(kService);
    route->set_repeatable(repeatable);
  }
  wire::Customer* customer = put->mutable_delta()->add_customers();
  customer->set_id("customer");
  customer->set_plan("plan");
  customer->set_token_hash(Sha256Hex(kToken));
  for (std::uint32_t priority = 0; priority < kPriorities; ++priority) {
    for (const bool repeatable : { true, false }) {
      const std::string name = OpenRouteName(repeatable, priority);
      wire::Route* route = put->mutable_delta()->add_open_routes();
      route->set_name(name);
      route->set_host(kOpenHost);
      route->set_path_prefix('/' + name + '/');
      route->set_service(kService);
      route->set_repeatable(repeatable);
      route->set_once_per_attempt(!repeatable);
      route->set_timeout_us(kOpenRouteTimeout.count());
      route->set_latency_objective_us(kOpenRouteObjective.count());
      route->set_max_servers(kOpenRouteServers);
      route->set_priority(priority);
    }
  }
  m_lists.Apply(command);
}

EntryOptions
EntryFleet::OptionsOf(std::size_t aHost) const
{
  const HostState& host = m_hosts[aHost];
  EntryOptions options;
  options.incarnation = host.incarnation;
  options.queueCapacity = m_options.queueCapacity;
  options.settings.host = host.id;
  options.settings.region = host.region;
  options.settings.failureDomain = host.domain;
  options.settings.callerAddress = CallerAddressOf(aHost);
  options.settings.messageAddress = host.id.Value();
  options.settings.routing = m_deployment.routing;
  options.settings.gracePeriod = m_options.gracePeriod;
  options.settings.announcementLifetime = std::chrono::seconds(2);
  options.settings.controlHosts.push_back({ HostId(kControlHost), "", "" });
  options.settings.seeds.push_back({ m_hosts[0].id, "", "" });
  options.settings.seeds.push_back({ m_hosts[1].id, "", "" });
  return options;
}

EntryHooks
EntryFleet::HooksOf(std::size_t aHost)
{
  EntryHooks hooks;
  const HostId id = m_hosts[aHost].id;
  hooks.send = [this, id](const HostId& aTo, const wire::Envelope& aMessage) {
    m_network.Send(id, aTo, aMessage, m_queue.Now());
  };
  hooks.startAttempt = [this, aHost](const AttemptStart& aStart) {
    return StartAttempt(aHost, aStart);
  };
  hooks.cancelAttempt = [this, aHost](AttemptId aAttempt) {
    CancelAttempt(aHost, aAttempt);
  };
  hooks.startProbe = [this, aHost](ProbeId aProbe,
                                   const std::string& aAddress) {
    StartProbe(aHost, aProbe, aAddress);
  };
  hooks.answer = [this, aHost](const FinalResponse& aResponse) {
    OnResponse(aHost, aResponse);
  };
  hooks.hostChanged = [](const wire::HostRecord&) {};
  hooks.record = [this, id](const Event& aEvent) {
    if (onEvent) {
      onEvent(id, aEvent);
    }
  };
  return hooks;
}

void
EntryFleet::StartHost(std::size_t aHost)
{
  HostState& host = m_hosts[aHost];
  ++host.incarnation;
  host.up = true;
  host.driver = m_options.factory(
    OptionsOf(aHost), HooksOf(aHost), Random(m_random.Bits()), m_queue.Now());
}

void
EntryFleet::KillHost(std::size_t aHost)
{
  HostState& host = m_hosts[aHost];
  host.up = false;
  ++host.generation;
  host.driver = EntryDriver();
  // Callers that lose their connection resend through another host.
  for (const auto& [id, pending] : host.pending) {
    if (pending.origin) {
      AttemptEnd broken;
      broken.outcome = AttemptOutcome::kBroken;
      EndForward(*pending.origin, broken);
    } else if (!pending.key.empty() && pending.sends < 3) {
      m_queue.At(m_queue.Now() + std::chrono::seconds(1),
                 [this, resend = pending] {
                   SendRequest(resend.key, resend.poison, resend.sends + 1);
                 });
    }
  }
  // After a restart the host numbers its attempts from one again.
  for (auto it = m_attemptRunIds.begin(); it != m_attemptRunIds.end();) {
    it = it->first.first == aHost ? m_attemptRunIds.erase(it) : ++it;
  }
  host.idle.clear();
  host.running.clear();
  host.pending.clear();
}

void
EntryFleet::LeaveHost(std::size_t aHost)
{
  if (m_hosts[aHost].up) {
    m_hosts[aHost].driver.leave(m_queue.Now());
  }
}

void
EntryFleet::Start()
{
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    StartHost(i);
  }
  for (std::size_t i = 0; i < m_servers.size(); ++i) {
    m_queue.At(m_queue.Now() +
                 Duration(m_random.Below(kAnnouncementInterval.count())),
               [this, i] { Announce(i); });
  }
  Tick();
  // Callers start when the hosts have discovered each other and the servers.
  m_queue.At(m_queue.Now() + std::chrono::seconds(5), [this] {
    ScheduleCaller();
    SchedulePoison();
  });
}

void
EntryFleet::Run(Duration aSpan)
{
  m_queue.RunUntil(m_queue.Now() + aSpan);
}

void
EntryFleet::Tick()
{
  const TimePoint now = m_queue.Now();
  for (HostState& host : m_hosts) {
    if (host.up) {
      host.driver.tick(now);
    }
  }
  // Between two ticks, messages are delivered close to their due times.
  const TimePoint next = now + kTickInterval;
  m_queue.At(next, [this] { Tick(); });
  std::function<void()> deliver = [this] {
    while (auto delivery = m_network.Next(m_queue.Now())) {
      if (delivery->to.Value() == kControlHost) {
        OnControlMessage(delivery->from, delivery->message);
        continue;
      }
      for (HostState& host : m_hosts) {
        if (host.id == delivery->to && host.up) {
          host.driver.onMessage(
            delivery->from, delivery->message, m_queue.Now());
        }
      }
    }
  };
  for (int i = 0; i < 10; ++i) {
    m_queue.At(now + kTickInterval / 10 * i, deliver);
  }
}

void
EntryFleet::Announce(std::size_t aServer)
{
  m_queue.At(m_queue.Now() + kAnnouncementInterval,
             [this, aServer] { Announce(aServer); });
  const FakeServer& server = *m_servers[aServer];
  if (server.Faults().down || m_notAnnouncing.count(aServer) != 0) {
    return;
  }
  wire::BackendServerRecord record;
  record.set_id(server.Options().id.Value());
  record.set_service(kService);
  record.set_address(AddressOf(aServer));
  record.set_region(server.Options().region.Value());
  record.set_failure_domain(server.Options().failureDomain.Value());
  record.set_slots(server.Options().slots);
  record.set_incarnation(server.Incarnation());
  if (m_leaving.count(aServer) != 0) {
    record.set_state(wire::BackendServerRecord::LEAVING);
  }
  // Each server announces itself to two entry hosts and skips hosts that are
  // down.
  int notified = 0;
  for (std::size_t i = 0; i < m_hosts.size() && notified < 2; ++i) {
    HostState& host = m_hosts[(aServer * 7 + i) % m_hosts.size()];
    if (host.up) {
      host.driver.onAnnouncement(record, m_queue.Now());
      ++notified;
    }
  }
}

void
EntryFleet::ScheduleCaller()
{
  const double slots =
    static_cast<double>(m_servers.size()) * m_deployment.slots;
  const double rate = m_options.load * slots / m_deployment.meanServiceSeconds;
  m_queue.At(
    m_queue.Now() + FromSeconds(m_random.Exponential(1.0 / rate)), [this] {
      if (m_options.openShare > 0.0 && m_random.Chance(m_options.openShare)) {
        SendOpenRequest();
        ScheduleCaller();
        return;
      }
      const bool keyed = m_random.Chance(m_options.keyedShare);
      SendRequest(keyed ? "key-" + std::to_string(m_nextKey++) : "", false, 1);
      ScheduleCaller();
    });
}

void
EntryFleet::SchedulePoison()
{
  static constexpr Duration kInterval = std::chrono::milliseconds(100);
  if (m_random.Chance(m_options.poisonRate * ToSeconds(kInterval))) {
    SendRequest("", true, 1);
  }
  m_queue.At(m_queue.Now() + kInterval, [this] { SchedulePoison(); });
}

void
EntryFleet::SendRequest(const std::string& aKey, bool aPoison, int aSends)
{
  HostState& host = m_hosts[m_random.Below(m_hosts.size())];
  RequestHead head;
  head.id = RequestId(m_nextRequest++);
  head.service = ServiceName(kService);
  head.token = kToken;
  head.path = aKey.empty() ? "/read/x" : "/once/x";
  head.key = IdempotencyKey(aKey);
  head.bodyHash = aKey;
  head.fingerprint = Fingerprint(aPoison ? 666 : head.id.Value() + 1000);
  SendTo(host, { {}, aPoison, aKey, aKey, aSends, head, std::nullopt });
}

void
EntryFleet::SendOpenRequest()
{
  HostState& host = m_hosts[m_random.Below(m_hosts.size())];
  const bool repeatable = m_random.Chance(0.5);
  const auto priority = static_cast<std::uint32_t>(m_random.Below(kPriorities));
  RequestHead head;
  head.id = RequestId(m_nextRequest++);
  head.host = kOpenHost;
  head.path = '/' + OpenRouteName(repeatable, priority) + "/x";
  head.fingerprint = Fingerprint(head.id.Value() + 1000);
  head.tokenless = true;
  const std::string runId = "send-" + std::to_string(head.id.Value());
  if (repeatable) {
    m_repeatableRunIds.insert(runId);
  }
  SendTo(host, { {}, false, "", runId, 1, head, std::nullopt });
}

// If the host is down, the caller gets no response and gives up.
void
EntryFleet::SendTo(HostState& aHost, PendingRequest aPending)
{
  if (!aHost.up) {
    return;
  }
  const TimePoint now = m_queue.Now();
  aPending.startedAt = now;
  aPending.head.deadline = now + kCallerTimeout;
  aPending.head.callerRequestId =
    "caller-" + std::to_string(aPending.head.id.Value());
  const RequestHead head = aPending.head;
  // The outcome of an earlier send does not apply to this one.
  m_lastOutcome.erase(aPending.runId);
  aHost.pending[head.id] = std::move(aPending);
  if (m_options.giveUpShare > 0.0 && m_random.Chance(m_options.giveUpShare)) {
    GiveUpLater(static_cast<std::size_t>(&aHost - m_hosts.data()), head.id);
  }
  aHost.driver.onRequest(head, now);
}

void
EntryFleet::GiveUpLater(std::size_t aHost, RequestId aRequest)
{
  m_queue.At(
    m_queue.Now() + FromSeconds(ToSeconds(kPatience) * m_random.Unit()),
    [this, aHost, aRequest, generation = m_hosts[aHost].generation] {
      HostState& host = m_hosts[aHost];
      if (host.generation == generation && host.pending.count(aRequest) != 0) {
        host.driver.onCallerDisconnected(aRequest, m_queue.Now());
      }
    });
}

Duration
EntryFleet::DelayTo(const HostState& aHost, const FakeServer& aServer) const
{
  return aHost.region == aServer.Options().region
           ? m_deployment.domainDelay
           : m_deployment.domainDelay + m_deployment.regionDelay;
}

std::size_t
EntryFleet::IndexOf(const BackendServerId& aServer) const
{
  return m_serverIndex.at(aServer);
}

// The port of a server's address is one above its index.
std::string
EntryFleet::AddressOf(std::size_t aServer)
{
  return kServerAddress + std::to_string(aServer + 1);
}

std::string
EntryFleet::CallerAddressOf(std::size_t aHost)
{
  return kCallerAddress + std::to_string(aHost + 1);
}

std::size_t
EntryFleet::IndexAtAddress(const std::string& aAddress)
{
  return std::stoul(aAddress.substr(kServerAddress.size())) - 1;
}

ConnectionKind
EntryFleet::StartAttempt(std::size_t aHost, const AttemptStart& aStart)
{
  if (aStart.forwards) {
    return ForwardRequest(aHost, aStart);
  }
  HostState& host = m_hosts[aHost];
  const std::size_t server = IndexOf(aStart.server);
  const TimePoint now = m_queue.Now();
  RunningAttempt attempt;
  attempt.server = server;
  attempt.startedAt = now;
  attempt.serverRequest = m_nextServerRequest++;
  const auto pending = host.pending.find(aStart.request);
  const bool counted =
    pending != host.pending.end() && !pending->second.runId.empty();
  std::vector<Connection>& idle = host.idle[server];
  while (!aStart.requiresNewConnection && !idle.empty() &&
         !attempt.connection) {
    const Connection connection = idle.back();
    idle.pop_back();
    attempt.connection = connection;
  }
  Duration delay = DelayTo(host, *m_servers[server]);
  const bool isNew = !attempt.connection.has_value();
  if (isNew) {
    attempt.connection = Connection();
    delay += kConnectTime + 2 * DelayTo(host, *m_servers[server]);
  }
  if (counted) {
    m_attemptRunIds[{ aHost, aStart.id }] = pending->second.runId;
  }
  const ConnectionKind kind =
    isNew ? ConnectionKind::kNew : ConnectionKind::kReused;
  const bool silent = attempt.connection->silent;
  attempt.isReused = !isNew;
  host.running[aStart.id] = attempt;
  const bool poison = pending != host.pending.end() && pending->second.poison;
  const std::uint64_t generation = host.generation;
  const bool cut = m_cutPaths.count({ aHost, server }) != 0;
  const auto scheduleEnd = [this, aHost, generation, id = aStart.id](
                             TimePoint aTime, const AttemptEnd& aEnd) {
    m_queue.At(aTime, [this, aHost, generation, id, aEnd] {
      if (m_hosts[aHost].generation == generation) {
        EndAttempt(aHost, id, aEnd);
      }
    });
  };
  AttemptEnd timeout;
  timeout.id = aStart.id;
  timeout.outcome = isNew ? AttemptOutcome::kTimeout : AttemptOutcome::kSilent;
  scheduleEnd(aStart.deadline, timeout);
  if (cut && isNew) {
    AttemptEnd refused;
    refused.id = aStart.id;
    refused.outcome = AttemptOutcome::kRefused;
    scheduleEnd(std::min(aStart.deadline, now + kConnectTimeout), refused);
  }
  if (cut || silent) {
    return kind;
  }
  m_queue.At(now + delay, [this, aHost, generation, id = aStart.id, poison] {
    if (m_hosts[aHost].generation == generation) {
      DeliverRequest(aHost, id, poison);
    }
  });
  return kind;
}

ConnectionKind
EntryFleet::ForwardRequest(std::size_t aHost, const AttemptStart& aStart)
{
  HostState& host = m_hosts[aHost];
  RunningAttempt attempt;
  attempt.forwards = true;
  host.running[aStart.id] = attempt;
  const ForwardOrigin origin{ aHost, host.generation, aStart.id };
  m_queue.At(m_queue.Now() + kForwardTime,
             [this, origin, sent = host.pending.at(aStart.request), aStart] {
               for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                 if (CallerAddressOf(i) != aStart.address) {
                   continue;
                 }
                 HostState& peer = m_hosts[i];
                 if (!peer.up) {
                   AttemptEnd refused;
                   refused.outcome = AttemptOutcome::kRefused;
                   EndForward(origin, refused);
                   return;
                 }
                 PendingRequest pending = sent;
                 pending.head.id = RequestId(m_nextRequest++);
                 pending.head.deadline = aStart.deadline;
                 pending.head.forwarded = true;
                 pending.origin = origin;
                 peer.pending[pending.head.id] = pending;
                 peer.driver.onRequest(pending.head, m_queue.Now());
                 return;
               }
             });
  return ConnectionKind::kNew;
}

void
EntryFleet::EndForward(const ForwardOrigin& aOrigin, AttemptEnd aEnd)
{
  aEnd.id = aOrigin.attempt;
  m_queue.At(m_queue.Now() + kForwardTime, [this, aOrigin, aEnd] {
    if (m_hosts[aOrigin.host].generation == aOrigin.generation) {
      EndAttempt(aOrigin.host, aOrigin.attempt, aEnd);
    }
  });
}

void
EntryFleet::StartProbe(std::size_t aHost,
                       ProbeId aProbe,
                       const std::string& aAddress)
{
  const std::size_t server = IndexAtAddress(aAddress);
  const bool cut = m_cutPaths.count({ aHost, server }) != 0;
  const bool connected = !cut && !m_servers[server]->Faults().down;
  const Duration span =
    cut ? kConnectTimeout : 2 * DelayTo(m_hosts[aHost], *m_servers[server]);
  m_queue.At(
    m_queue.Now() + span,
    [this, aHost, aProbe, connected, generation = m_hosts[aHost].generation] {
      HostState& host = m_hosts[aHost];
      if (host.generation == generation && host.driver.onProbeEnd) {
        host.driver.onProbeEnd(aProbe, connected, m_queue.Now());
      }
    });
}

void
EntryFleet::DeliverRequest(std::size_t aHost, AttemptId aAttempt, bool aPoison)
{
  HostState& host = m_hosts[aHost];
  const auto it = host.running.find(aAttempt);
  if (it == host.running.end()) {
    return;
  }
  const std::size_t server = it->second.server;
  std::string key;
  const auto owner = m_attemptRunIds.find({ aHost, aAttempt });
  if (owner != m_attemptRunIds.end()) {
    key = owner->second;
  }
  const TimePoint arrived = m_queue.Now();
  const bool isSilent = m_options.crashesAreSilent && it->second.isReused;
  const std::uint64_t generation = host.generation;
  const std::uint64_t accepted = m_servers[server]->AcceptedRequests();
  const Duration returnDelay = DelayTo(host, *m_servers[server]);
  m_servers[server]->HandleRequest(
    it->second.serverRequest,
    key,
    aPoison,
    [this, aHost, generation, aAttempt, arrived, returnDelay, isSilent](
      FakeResponse aResponse, std::uint32_t aLoad) {
      AttemptEnd end;
      end.id = aAttempt;
      end.reportedLoad = aLoad;
      switch (aResponse) {
        case FakeResponse::kOk:
          end.outcome = AttemptOutcome::kSuccess;
          end.status = 200;
          end.body = "done";
          break;
        case FakeResponse::kError:
          end.outcome = AttemptOutcome::kServerError;
          end.status = 500;
          break;
        case FakeResponse::kShed:
          end.outcome = AttemptOutcome::kShed;
          end.status = 503;
          break;
        case FakeResponse::kBroken:
          end.outcome =
            isSilent ? AttemptOutcome::kSilent : AttemptOutcome::kBroken;
          end.reportedLoad.reset();
          break;
        case FakeResponse::kRefused:
          end.outcome = AttemptOutcome::kRefused;
          end.reportedLoad.reset();
          break;
      }
      const Duration service = m_queue.Now() - arrived;
      m_queue.At(m_queue.Now() + returnDelay,
                 [this, aHost, generation, aAttempt, end, service] {
                   HostState& sender = m_hosts[aHost];
                   if (sender.generation != generation) {
                     return;
                   }
                   const auto running = sender.running.find(aAttempt);
                   if (running != sender.running.end()) {
                     running->second.serviceTime = service;
                   }
                   EndAttempt(aHost, aAttempt, end);
                 });
    });
  if (aPoison && m_servers[server]->AcceptedRequests() > accepted) {
    m_poisonRuns.push_back(arrived);
  }
}

void
EntryFleet::EndAttempt(std::size_t aHost,
                       AttemptId aAttempt,
                       const AttemptEnd& aEnd)
{
  HostState& host = m_hosts[aHost];
  const auto it = host.running.find(aAttempt);
  if (it == host.running.end()) {
    return;
  }
  RunningAttempt attempt = it->second;
  host.running.erase(it);
  m_attemptRunIds.erase({ aHost, aAttempt });
  if (attempt.forwards) {
    host.driver.onAttemptEnd(aEnd, m_queue.Now());
    return;
  }
  const bool isComplete = aEnd.outcome == AttemptOutcome::kSuccess ||
                          aEnd.outcome == AttemptOutcome::kServerError ||
                          aEnd.outcome == AttemptOutcome::kShed;
  if (isComplete) {
    host.idle[attempt.server].push_back(*attempt.connection);
  } else {
    m_servers[attempt.server]->Cancel(attempt.serverRequest);
  }
  host.lastServiceTime = attempt.serviceTime;
  host.driver.onAttemptEnd(aEnd, m_queue.Now());
}

void
EntryFleet::CancelAttempt(std::size_t aHost, AttemptId aAttempt)
{
  HostState& host = m_hosts[aHost];
  const auto it = host.running.find(aAttempt);
  if (it == host.running.end()) {
    return;
  }
  if (!it->second.forwards) {
    m_servers[it->second.server]->Cancel(it->second.serverRequest);
  }
  m_attemptRunIds.erase({ aHost, aAttempt });
  host.running.erase(it);
}

void
EntryFleet::OnResponse(std::size_t aHost, const FinalResponse& aResponse)
{
  HostState& host = m_hosts[aHost];
  const auto it = host.pending.find(aResponse.request);
  if (it == host.pending.end()) {
    return;
  }
  const PendingRequest pending = it->second;
  host.pending.erase(it);
  if (pending.origin) {
    AttemptEnd end;
    end.status = aResponse.status;
    end.outcome = aResponse.outcome == CallerOutcome::kNotRun
                    ? AttemptOutcome::kNotRun
                  : aResponse.outcome == CallerOutcome::kAnswered
                    ? AttemptOutcome::kSuccess
                    : AttemptOutcome::kServerError;
    EndForward(*pending.origin, end);
    return;
  }
  RequestResult result;
  result.host = aHost;
  result.outcome = aResponse.outcome;
  result.status = aResponse.status;
  result.latency = m_queue.Now() - pending.startedAt;
  result.addedLatency = result.latency - host.lastServiceTime;
  result.keyed = !pending.key.empty();
  result.key = pending.key;
  result.poison = pending.poison;
  m_results.push_back(result);
  if (!pending.runId.empty()) {
    m_lastOutcome[pending.runId] = result.outcome;
  }
  // Callers resend poison requests. They resend keyed requests that were not
  // answered, and a tenth of those that were.
  const bool resend =
    pending.poison
      ? pending.sends < kMaxPoisonSends
      : result.keyed && pending.sends < 3 &&
          (result.outcome != CallerOutcome::kAnswered || m_random.Chance(0.1));
  if (resend) {
    m_queue.At(m_queue.Now() + std::chrono::seconds(1), [this, pending] {
      SendRequest(pending.key, pending.poison, pending.sends + 1);
    });
  }
}

void
EntryFleet::OnControlMessage(const HostId& aFrom,
                             const wire::Envelope& aMessage)
{
  if (!m_controlUp) {
    return;
  }
  if (aMessage.has_evidence()) {
    RelayEvidence(aFrom, aMessage);
    return;
  }
  wire::Envelope reply;
  if (aMessage.has_lists_pull()) {
    const ListsState& lists = m_lists.ListsPart();
    wire::ListsPush* push = reply.mutable_lists_push();
    push->set_pull_id(aMessage.lists_pull().pull_id());
    push->set_confirmed(true);
    push->set_leader(kControlHost);
    push->add_group_leaders(kControlHost);
    push->add_group_leaders(kControlHost);
    push->set_current_version(lists.Current().Version().Value());
    for (const wire::ListsDelta& delta :
         lists.Since(ListsVersion(aMessage.lists_pull().have_version()))) {
      *push->add_deltas() = delta;
    }
  } else if (aMessage.has_control_request()) {
    wire::Command command = aMessage.control_request().command();
    command.set_leader_time_us(ToMicros(m_queue.Now()));
    wire::ControlReply* control = reply.mutable_control_reply();
    control->set_request_id(aMessage.control_request().request_id());
    control->set_group(aMessage.control_request().group());
    control->set_leader(kControlHost);
    *control->mutable_result() = m_ledger.Apply(command);
  } else {
    return;
  }
  m_queue.At(m_queue.Now() + kControlDelay, [this, aFrom, reply] {
    m_network.Send(HostId(kControlHost), aFrom, reply, m_queue.Now());
  });
}

void
EntryFleet::RelayEvidence(const HostId& aFrom, const wire::Envelope& aMessage)
{
  m_queue.At(m_queue.Now() + kControlDelay, [this, aFrom, aMessage] {
    for (const HostState& host : m_hosts) {
      if (host.id != aFrom) {
        m_network.Send(HostId(kControlHost), host.id, aMessage, m_queue.Now());
      }
    }
  });
}

Region
EntryFleet::RegionOfHost(std::size_t aIndex) const
{
  return m_hosts[aIndex].region;
}

void
EntryFleet::CutPath(std::size_t aHost, std::size_t aServer)
{
  m_cutPaths.insert({ aHost, aServer });
}

void
EntryFleet::CutOffHost(std::size_t aHost)
{
  for (std::size_t server = 0; server < m_servers.size(); ++server) {
    CutPath(aHost, server);
  }
}

void
EntryFleet::SilenceConnections()
{
  for (HostState& host : m_hosts) {
    for (auto& [server, connections] : host.idle) {
      for (Connection& connection : connections) {
        connection.silent = true;
      }
    }
  }
}

void
EntryFleet::SetAnnouncing(std::size_t aServer, bool aAnnouncing)
{
  if (aAnnouncing) {
    m_notAnnouncing.erase(aServer);
  } else {
    m_notAnnouncing.insert(aServer);
  }
}

bool
EntryFleet::IsRestricted(std::size_t aHost, std::size_t aServer) const
{
  const HostState& host = m_hosts[aHost];
  return host.up && host.driver.isRestricted(m_servers[aServer]->Options().id);
}

std::size_t
EntryFleet::RestrictingHosts(std::size_t aServer) const
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    count += IsRestricted(i, aServer) ? 1 : 0;
  }
  return count;
}

std::vector<RequestResult>
EntryFleet::TakeResults()
{
  std::vector<RequestResult> results;
  results.swap(m_results);
  return results;
}

std::size_t
EntryFleet::DoubleRuns() const
{
  std::map<std::string, int> runs;
  for (const auto& server : m_servers) {
    for (const auto& [key, count] : server->ExecutionCounts()) {
      runs[key] += count;
    }
  }
  return static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [this](const auto& aEntry) {
      return aEntry.second > 1 && m_repeatableRunIds.count(aEntry.first) == 0;
    }));
}

std::size_t
EntryFleet::FalseNotRuns() const
{
  std::set<std::string> ran;
  for (const auto& server : m_servers) {
    for (const auto& [key, count] : server->ExecutionCounts()) {
      ran.insert(key);
    }
  }
  return static_cast<std::size_t>(std::count_if(
    m_lastOutcome.begin(), m_lastOutcome.end(), [&](const auto& aItem) {
      return aItem.second == CallerOutcome::kNotRun &&
             ran.count(aItem.first) != 0;
    }));
}

} // namespace fuchsiaramp
