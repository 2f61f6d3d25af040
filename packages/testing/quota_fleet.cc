#include "testing/quota_fleet.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace fuchsiaramp {

static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
static constexpr Duration kElectionInterval = std::chrono::milliseconds(50);
static constexpr Duration kLease = std::chrono::milliseconds(800);
static constexpr Duration kElectionTimeout = std::chrono::milliseconds(1000);
static constexpr Duration kMaxListsDelay = std::chrono::milliseconds(100);

struct QuotaFleet::Waiting
{
  std::string team;
  TimePoint offeredAt;
  TimePoint permitUntil; // on the clock of the host
};

struct QuotaFleet::Host
{
  std::size_t index = 0;
  HostId id;
  bool isControl = false;
  bool isAlive = true;
  std::uint64_t incarnation = 0;
  Duration clockOffset{};
  TimePoint frozenUntil;
  std::deque<std::function<void()>> inbox; // while frozen
  HostId knownLeader;
  std::uint64_t knownTerm = 0;
  std::map<std::string, QuotaLimit> limits;
  std::unique_ptr<QuotaAllocator> allocator;
  std::unique_ptr<QuotaBroker> broker;
  std::unique_ptr<QuotaClient> client;
  std::uint64_t nextRequest = 1;
  std::map<std::uint64_t, Waiting> requests;
};

QuotaFleet::QuotaFleet(QuotaFleetOptions aOptions, std::uint64_t aSeed)
  : m_options(aOptions)
  , m_random(aSeed)
  , m_events(FromMicros(100'000'000))
{
  const std::size_t count = m_options.controlHosts + m_options.entryHosts;
  for (std::size_t i = 0; i < count; ++i) {
    auto host = std::make_unique<Host>();
    host->index = i;
    host->isControl = i < m_options.controlHosts;
    host->id =
      HostId((host->isControl ? "control-" : "entry-") + std::to_string(i));
    host->clockOffset = std::chrono::seconds(m_random.Below(100'000));
    m_indexes[host->id] = i;
    m_hosts.push_back(std::move(host));
    Start(i);
    m_events.At(Now() + Duration(m_random.Below(
                          static_cast<std::uint64_t>(kTickInterval.count()))),
                [this, i] { Tick(i); });
  }
  Heal();
  Elect();
}

QuotaFleet::~QuotaFleet() = default;

TimePoint
QuotaFleet::LocalTime(const Host& aHost) const
{
  return Now() + aHost.clockOffset;
}

std::size_t
QuotaFleet::DomainOf(std::size_t aHost) const
{
  return (aHost < m_options.controlHosts ? aHost
                                         : aHost - m_options.controlHosts) %
         m_options.domains;
}

void
QuotaFleet::Start(std::size_t aHost)
{
  Host& host = *m_hosts[aHost];
  host.isAlive = true;
  host.incarnation = m_nextIncarnation++;
  host.inbox.clear();
  host.requests.clear();
  host.knownLeader = HostId();
  host.knownTerm = 0;
  const auto limitOf =
    [&host](const TeamName& aTeam) -> std::optional<QuotaLimit> {
    const auto it = host.limits.find(aTeam.Value());
    return it == host.limits.end() ? std::nullopt : std::optional(it->second);
  };
  if (!host.isControl) {
    QuotaClientHooks hooks;
    hooks.send = [this, aHost](const HostId& aTo,
                               const wire::QuotaRequest& aRequest) {
      wire::Envelope envelope;
      *envelope.mutable_quota_request() = aRequest;
      Send(aHost, aTo, envelope);
    };
    hooks.controlHosts = [this, aHost](TimePoint) {
      // Nearest first: same domain, same region, others.
      std::vector<std::pair<int, HostId>> ranked;
      for (std::size_t i = 0; i < m_options.controlHosts; ++i) {
        const std::size_t left = DomainOf(aHost);
        const std::size_t right = DomainOf(i);
        const int rank = left == right ? 0 : left / 2 == right / 2 ? 1 : 2;
        ranked.emplace_back(rank, m_hosts[i]->id);
      }
      std::ranges::sort(ranked);
      std::vector<HostId> hosts;
      hosts.reserve(ranked.size());
      for (const auto& [rank, control] : ranked) {
        hosts.push_back(control);
      }
      return hosts;
    };
    hooks.decided = [this, &host](const QuotaDecision& aDecision, TimePoint) {
      OnDecision(host, aDecision);
    };
    host.client = std::make_unique<QuotaClient>(std::move(hooks));
    return;
  }
  QuotaAllocatorHooks allocatorHooks;
  allocatorHooks.send = [this, aHost](const HostId& aTo,
                                      const wire::QuotaLease& aLease) {
    wire::Envelope envelope;
    *envelope.mutable_quota_lease() = aLease;
    Send(aHost, aTo, envelope);
  };
  allocatorHooks.limitOf = limitOf;
  allocatorHooks.record = [](const Event&) {};
  host.allocator = std::make_unique<QuotaAllocator>(std::move(allocatorHooks));
  QuotaBrokerHooks brokerHooks;
  brokerHooks.sendReport = [this, aHost](const HostId& aTo,
                                         const wire::QuotaReport& aReport) {
    wire::Envelope envelope;
    *envelope.mutable_quota_report() = aReport;
    Send(aHost, aTo, envelope);
  };
  brokerHooks.sendGrant = [this, aHost](const HostId& aTo,
                                        const wire::QuotaGrant& aGrant) {
    wire::Envelope envelope;
    *envelope.mutable_quota_grant() = aGrant;
    Send(aHost, aTo, envelope);
  };
  brokerHooks.limitOf = limitOf;
  brokerHooks.hasLimits = [&host] { return !host.limits.empty(); };
  host.broker = std::make_unique<QuotaBroker>(std::move(brokerHooks),
                                              m_random.Bits() >> 24);
}

void
QuotaFleet::Tick(std::size_t aHost)
{
  m_events.At(Now() + kTickInterval, [this, aHost] { Tick(aHost); });
  Host& host = *m_hosts[aHost];
  if (!host.isAlive || Now() < host.frozenUntil) {
    return;
  }
  while (!host.inbox.empty()) {
    const auto next = std::move(host.inbox.front());
    host.inbox.pop_front();
    next();
  }
  if (!host.isControl) {
    host.client->Tick(LocalTime(host));
    return;
  }
  // Lists and the leader reach control hosts that the majority reaches.
  if (m_leader && AreConnected(aHost, *m_leader) && m_random.Chance(0.3)) {
    host.limits = m_limits;
    host.knownLeader = m_hosts[*m_leader]->id;
    host.knownTerm = m_term;
  }
  if (HasLease(aHost)) {
    std::set<HostId> hosts;
    for (std::size_t i = 0; i < m_options.controlHosts; ++i) {
      hosts.insert(m_hosts[i]->id);
    }
    host.knownLeader = host.id;
    host.knownTerm = m_term;
    host.allocator->Lead(m_term, hosts, LocalTime(host));
  }
  host.broker->SetLeader(host.knownLeader, host.knownTerm, LocalTime(host));
  host.broker->Tick(LocalTime(host));
  FlushHost(host);
}

bool
QuotaFleet::HasLease(std::size_t aHost) const
{
  return m_leader == aHost && Now() < m_leaseUntil;
}

bool
QuotaFleet::AreConnected(std::size_t aLeft, std::size_t aRight) const
{
  return m_groups[aLeft] == m_groups[aRight];
}

bool
QuotaFleet::HasMajority(std::size_t aHost) const
{
  std::size_t reached = 0;
  for (std::size_t i = 0; i < m_options.controlHosts; ++i) {
    const Host& other = *m_hosts[i];
    reached +=
      other.isAlive && other.frozenUntil <= Now() && AreConnected(aHost, i) ? 1
                                                                            : 0;
  }
  const Host& host = *m_hosts[aHost];
  return host.isAlive && host.frozenUntil <= Now() &&
         2 * reached > m_options.controlHosts;
}

void
QuotaFleet::Elect()
{
  m_events.At(Now() + kElectionInterval, [this] { Elect(); });
  if (m_leader && HasMajority(*m_leader)) {
    m_leaseUntil = Now() + kLease;
    return;
  }
  if (m_leader && Now() < m_leaseUntil - kLease + kElectionTimeout) {
    return;
  }
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < m_options.controlHosts; ++i) {
    if (HasMajority(i)) {
      candidates.push_back(i);
    }
  }
  m_leader.reset();
  if (!candidates.empty()) {
    m_leader = candidates[m_random.Below(candidates.size())];
    ++m_term;
    m_leaseUntil = Now() + kLease;
  }
}

std::optional<std::size_t>
QuotaFleet::Leader() const
{
  return m_leader;
}

void
QuotaFleet::ChangeLeader()
{
  m_leader.reset();
}

void
QuotaFleet::SetLimit(const std::string& aTeam, QuotaLimit aLimit)
{
  m_limits[aTeam] = aLimit;
  for (std::size_t i = 0; i < m_options.controlHosts; ++i) {
    if (!m_leader || AreConnected(i, *m_leader)) {
      const Duration delay(
        m_random.Below(static_cast<std::uint64_t>(kMaxListsDelay.count())));
      m_events.At(Now() + delay, [this, i, aTeam, aLimit] {
        m_hosts[i]->limits[aTeam] = aLimit;
      });
    }
  }
}

void
QuotaFleet::Freeze(std::size_t aHost, Duration aSpan)
{
  m_hosts[aHost]->frozenUntil = Now() + aSpan;
}

void
QuotaFleet::Kill(std::size_t aHost)
{
  m_hosts[aHost]->isAlive = false;
}

void
QuotaFleet::Restart(std::size_t aHost)
{
  Start(aHost);
  if (m_leader == aHost) {
    m_leader.reset();
  }
}

void
QuotaFleet::Heal()
{
  m_groups.assign(m_hosts.size(), 0);
}

Duration
QuotaFleet::Delay(std::size_t aFrom, std::size_t aTo)
{
  const std::size_t left = DomainOf(aFrom);
  const std::size_t right = DomainOf(aTo);
  const Duration base = left == right           ? m_options.domainDelay / 4
                        : left / 2 == right / 2 ? m_options.domainDelay
                                                : m_options.regionDelay;
  const auto span = static_cast<std::uint64_t>(base.count()) / 10 + 1;
  return base + Duration(m_random.Below(span));
}

void
QuotaFleet::Send(std::size_t aFrom,
                 const HostId& aTo,
                 const wire::Envelope& aMessage)
{
  ++m_messages;
  m_messageBytes += aMessage.ByteSizeLong();
  const std::size_t to = m_indexes.at(aTo);
  const bool isLocal = to == aFrom;
  if (!isLocal &&
      (!AreConnected(aFrom, to) || m_random.Chance(m_options.loss))) {
    return;
  }
  TimePoint at = Now() + (isLocal ? Duration() : Delay(aFrom, to));
  // Connections keep the order of messages. Late ones came over another.
  TimePoint& last = m_lastDelivery[{ aFrom, to }];
  if (m_random.Chance(m_options.late)) {
    at += Duration(
      m_random.Below(static_cast<std::uint64_t>(m_options.lateBy.count())));
  } else {
    at = last = std::max(at, last);
  }
  const std::uint64_t incarnation = m_hosts[aFrom]->incarnation;
  m_events.At(at, [this, to, aFrom, incarnation, aMessage] {
    Deliver(to, aFrom, incarnation, aMessage);
  });
}

void
QuotaFleet::Deliver(std::size_t aTo,
                    std::size_t aFrom,
                    std::uint64_t aIncarnation,
                    const wire::Envelope& aMessage)
{
  Host& host = *m_hosts[aTo];
  // The transport drops messages of earlier processes of a host.
  if (!host.isAlive || aIncarnation < m_hosts[aFrom]->incarnation) {
    return;
  }
  if (Now() < host.frozenUntil || !host.inbox.empty()) {
    host.inbox.push_back([this, &host, aFrom, aIncarnation, aMessage] {
      Receive(host, aFrom, aIncarnation, aMessage);
    });
    return;
  }
  Receive(host, aFrom, aIncarnation, aMessage);
}

void
QuotaFleet::Receive(Host& aHost,
                    std::size_t aFrom,
                    std::uint64_t aIncarnation,
                    const wire::Envelope& aMessage)
{
  const TimePoint now = LocalTime(aHost);
  const HostId& from = m_hosts[aFrom]->id;
  if (aMessage.has_quota_grant() && aHost.client) {
    aHost.client->OnGrant(from, aMessage.quota_grant(), now);
  } else if (aMessage.has_quota_request() && aHost.broker) {
    aHost.broker->OnRequest(from, aMessage.quota_request(), now);
  } else if (aMessage.has_quota_lease() && aHost.broker) {
    aHost.broker->OnLease(from, aMessage.quota_lease(), now);
  } else if (aMessage.has_quota_report() && HasLease(aHost.index)) {
    aHost.allocator->OnReport(from, aIncarnation, aMessage.quota_report(), now);
  }
  FlushHost(aHost);
}

void
QuotaFleet::FlushHost(Host& aHost)
{
  if (aHost.broker) {
    aHost.broker->Flush(LocalTime(aHost));
  } else {
    aHost.client->Flush(LocalTime(aHost));
  }
}

void
QuotaFleet::Offer(const std::string& aTeam, std::size_t aEntry, TimePoint aAt)
{
  const std::size_t index = EntryIndex(aEntry);
  m_events.At(aAt, [this, index, aTeam, aAt] {
    Host& host = *m_hosts[index];
    if (!host.isAlive) {
      return;
    }
    if (Now() < host.frozenUntil || !host.inbox.empty()) {
      host.inbox.push_back(
        [this, &host, aTeam, aAt] { Arrive(host, aTeam, aAt); });
      return;
    }
    Arrive(host, aTeam, aAt);
  });
}

void
QuotaFleet::Arrive(Host& aHost, const std::string& aTeam, TimePoint aOfferedAt)
{
  ++m_outcomes[aTeam].offered;
  const std::uint64_t id = aHost.nextRequest++;
  aHost.requests[id] = { aTeam, aOfferedAt, TimePoint() };
  const QuotaDecision decision =
    aHost.client->Take(TeamName(aTeam), RequestId(id), LocalTime(aHost));
  if (decision.state == QuotaState::kGranted) {
    StartRequest(aHost, id, decision.permitUntil);
  }
  aHost.client->Flush(LocalTime(aHost));
}

void
QuotaFleet::OnDecision(Host& aHost, const QuotaDecision& aDecision)
{
  const auto it = aHost.requests.find(aDecision.request.Value());
  if (it == aHost.requests.end()) {
    return;
  }
  QuotaOutcomes& outcomes = m_outcomes[it->second.team];
  switch (aDecision.state) {
    case QuotaState::kGranted:
      StartRequest(aHost, it->first, aDecision.permitUntil);
      return;
    case QuotaState::kDenied:
      ++outcomes.denied;
      break;
    default:
      ++outcomes.unknown;
      break;
  }
  aHost.requests.erase(it);
}

void
QuotaFleet::StartRequest(Host& aHost, std::uint64_t aRequest, TimePoint aUntil)
{
  aHost.requests.at(aRequest).permitUntil = aUntil;
  if (!m_random.Chance(m_options.queued)) {
    RunRequest(aHost, aRequest);
    return;
  }
  const Duration wait(
    m_random.Below(static_cast<std::uint64_t>(m_options.queueTime.count())));
  m_events.At(Now() + wait, [this, &aHost, aRequest, i = aHost.incarnation] {
    if (aHost.isAlive && aHost.incarnation == i) {
      const auto run = [this, &aHost, aRequest] {
        RunRequest(aHost, aRequest);
      };
      if (Now() < aHost.frozenUntil || !aHost.inbox.empty()) {
        aHost.inbox.push_back(run);
      } else {
        run();
      }
    }
  });
}

// A request whose permit expired while it was queued takes another one.
void
QuotaFleet::RunRequest(Host& aHost, std::uint64_t aRequest)
{
  const auto it = aHost.requests.find(aRequest);
  if (it == aHost.requests.end()) {
    return;
  }
  const Waiting request = it->second;
  const TimePoint now = LocalTime(aHost);
  if (IsDue(request.permitUntil, now)) {
    const TeamName team(request.team);
    aHost.client->Return(team, request.permitUntil, now);
    const QuotaDecision decision =
      aHost.client->Take(team, RequestId(aRequest), now);
    if (decision.state != QuotaState::kGranted) {
      aHost.client->Flush(now);
      return;
    }
  }
  aHost.requests.erase(it);
  QuotaOutcomes& outcomes = m_outcomes[request.team];
  ++outcomes.run;
  outcomes.longestWait =
    std::max(outcomes.longestWait, Now() - request.offeredAt);
  m_runs[request.team].push_back(Now());
}

std::vector<TimePoint>
QuotaFleet::RunTimes(const std::string& aTeam, TimePoint aSince)
{
  std::vector<TimePoint> times;
  std::ranges::copy_if(m_runs[aTeam],
                       std::back_inserter(times),
                       [aSince](TimePoint aTime) { return aTime >= aSince; });
  return times;
}

std::size_t
QuotaFleet::MostRunIn(Duration aWindow,
                      const std::string& aTeam,
                      TimePoint aSince)
{
  const std::vector<TimePoint> times = RunTimes(aTeam, aSince);
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] > aWindow) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return most;
}

QuotaClientCounters
QuotaFleet::ClientCounters() const
{
  QuotaClientCounters sum;
  for (const auto& host : m_hosts) {
    if (host->client) {
      const QuotaClientCounters& counters = host->client->Counters();
      sum.granted += counters.granted;
      sum.denied += counters.denied;
      sum.waited += counters.waited;
      sum.unknown += counters.unknown;
      sum.expired += counters.expired;
      sum.messages += counters.messages;
    }
  }
  return sum;
}

QuotaBrokerCounters
QuotaFleet::BrokerCounters() const
{
  QuotaBrokerCounters sum;
  for (const auto& host : m_hosts) {
    if (host->broker) {
      sum.granted += host->broker->Counters().granted;
      sum.denied += host->broker->Counters().denied;
      sum.unknown += host->broker->Counters().unknown;
      sum.reports += host->broker->Counters().reports;
    }
  }
  return sum;
}

} // namespace fuchsiaramp
