#include "limits/quota_client.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace fuchsiaramp {

// More than a round trip to a control host in another region, and the time
// that a control host waits for the leader.
static constexpr Duration kReplyTimeout = std::chrono::milliseconds(80);
static constexpr Duration kGiveUpTimeout = std::chrono::milliseconds(400);
static constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);
static constexpr Duration kDemandHalfLife = std::chrono::milliseconds(700);
static constexpr Duration kIdleLifetime = std::chrono::seconds(10);
// Permits for this much demand are asked for ahead. Well below the lifetime of
// a permit, so that few expire.
static constexpr double kAheadSeconds = 0.25;
// With less demand, every fifth permit or more would expire unused.
static constexpr double kMinDemandAhead = 4.0; // requests per second
// A control host that has no permits to spare is not asked for them at once.
static constexpr Duration kAheadInterval = std::chrono::milliseconds(100);

QuotaClient::Team::Team(TimePoint aNow)
  : demand(kDemandHalfLife)
  , usedAt(aNow)
{
}

QuotaClient::QuotaClient(QuotaClientHooks aHooks)
  : m_hooks(std::move(aHooks))
{
}

std::uint32_t
QuotaClient::TakeExpired(Team& aTeam, TimePoint aNow)
{
  std::uint32_t expired = 0;
  while (!aTeam.permits.empty() && IsDue(aTeam.permits.front().until, aNow)) {
    expired += aTeam.permits.front().count;
    aTeam.permits.pop_front();
  }
  return expired;
}

bool
QuotaClient::TakePermit(Team& aTeam, TimePoint& aUntil, TimePoint aNow)
{
  m_counters.expired += TakeExpired(aTeam, aNow);
  if (aTeam.permits.empty()) {
    return false;
  }
  Permits& permits = aTeam.permits.front();
  aUntil = permits.until;
  if (--permits.count == 0) {
    aTeam.permits.pop_front();
  }
  return true;
}

// The permits to ask for beyond those for waiting requests.
std::uint32_t
QuotaClient::CountAhead(Team& aTeam, TimePoint aNow) const
{
  const double demand = aTeam.demand.At(aNow).total * std::numbers::ln2 /
                        ToSeconds(kDemandHalfLife);
  if (demand < kMinDemandAhead || !IsDue(aTeam.askAheadAt, aNow)) {
    return 0;
  }
  const auto target = static_cast<std::uint32_t>(demand * kAheadSeconds);
  std::uint32_t atHand = 0;
  for (const Permits& permits : aTeam.permits) {
    atHand += permits.count;
  }
  return 2 * atHand > target ? 0 : target - atHand;
}

QuotaDecision
QuotaClient::Take(const TeamName& aTeam, RequestId aRequest, TimePoint aNow)
{
  Team& team = m_teams.try_emplace(aTeam.Value(), aNow).first->second;
  team.usedAt = aNow;
  team.demand.Add({ 1.0, 0.0, 0.0 }, aNow);
  QuotaDecision decision;
  decision.team = aTeam;
  decision.request = aRequest;
  if (team.waiters.empty() && TakePermit(team, decision.permitUntil, aNow)) {
    decision.state = QuotaState::kGranted;
    ++m_counters.granted;
  } else {
    ++m_counters.waited;
    Waiter& waiter = team.waiters.emplace_back();
    waiter.request = aRequest;
    waiter.giveUpAt = aNow + kGiveUpTimeout;
    m_unsent.insert(aTeam.Value());
  }
  if (CountAhead(team, aNow) > 0) {
    m_unsent.insert(aTeam.Value());
  }
  return decision;
}

void
QuotaClient::Cancel(const TeamName& aTeam, RequestId aRequest)
{
  const auto it = m_teams.find(aTeam.Value());
  if (it != m_teams.end()) {
    std::erase_if(it->second.waiters, [aRequest](const Waiter& aWaiter) {
      return aWaiter.request == aRequest;
    });
  }
}

void
QuotaClient::Return(const TeamName& aTeam,
                    TimePoint aPermitUntil,
                    TimePoint aNow)
{
  const auto it = m_teams.find(aTeam.Value());
  if (it == m_teams.end() || IsDue(aPermitUntil, aNow)) {
    ++m_counters.expired;
    return;
  }
  Team& team = it->second;
  const auto next =
    std::ranges::find_if(team.permits, [aPermitUntil](const Permits& aPermits) {
      return aPermits.until > aPermitUntil;
    });
  team.permits.insert(next, { aPermitUntil, 1 });
  GiveTo(aTeam, team, 0, aNow);
}

// Gives the permits at hand to the requests that wait, first to those that the
// message asked for: others still get a reply to theirs.
void
QuotaClient::GiveTo(const TeamName& aName,
                    Team& aTeam,
                    std::uint64_t aAskId,
                    TimePoint aNow)
{
  const auto give = [&](bool aAsked) {
    for (auto it = aTeam.waiters.begin(); it != aTeam.waiters.end();) {
      if (aAsked && it->askId != aAskId) {
        ++it;
        continue;
      }
      QuotaDecision decision;
      if (!TakePermit(aTeam, decision.permitUntil, aNow)) {
        return;
      }
      decision.state = QuotaState::kGranted;
      decision.team = aName;
      decision.request = it->request;
      m_decisions.push_back(decision);
      ++m_counters.granted;
      it = aTeam.waiters.erase(it);
    }
  };
  give(true);
  give(false);
}

void
QuotaClient::Retry(const std::string& aTeam, Waiter& aWaiter)
{
  ++aWaiter.tried;
  aWaiter.askId = 0;
  m_unsent.insert(aTeam);
}

void
QuotaClient::OnGrant(const HostId& aFrom,
                     const wire::QuotaGrant& aGrant,
                     TimePoint aNow)
{
  const auto sent = m_sent.find(aGrant.request_id());
  if (sent == m_sent.end() || sent->second.to != aFrom) {
    return;
  }
  const TimePoint until = sent->second.sentAt + kPermitLifetime;
  const std::size_t hosts = m_hooks.controlHosts(aNow).size();
  for (const wire::QuotaPermits& permits : aGrant.permits()) {
    const auto it = m_teams.find(permits.team());
    if (it == m_teams.end()) {
      continue;
    }
    Team& team = it->second;
    if (IsDue(until, aNow)) {
      m_counters.expired += permits.count();
    } else if (permits.count() > 0) {
      const auto next =
        std::ranges::find_if(team.permits, [until](const Permits& aPermits) {
          return aPermits.until > until;
        });
      team.permits.insert(next, { until, permits.count() });
      GiveTo(TeamName(permits.team()), team, aGrant.request_id(), aNow);
    }
    for (auto waiter = team.waiters.begin(); waiter != team.waiters.end();) {
      if (waiter->askId != aGrant.request_id()) {
        ++waiter;
        continue;
      }
      if (permits.unknown()) {
        // After the last control host, Tick starts over with the first.
        if (waiter->tried + 1 < hosts) {
          Retry(permits.team(), *waiter);
        }
        ++waiter;
      } else if (permits.retry_after_us() > 0) {
        QuotaDecision decision;
        decision.state = QuotaState::kDenied;
        decision.team = TeamName(permits.team());
        decision.request = waiter->request;
        decision.retryAfter =
          std::min(Duration(permits.retry_after_us()), kMaxRetryAfter);
        decision.controlHost = aFrom;
        decision.leaseAge = Duration(permits.lease_age_us());
        m_decisions.push_back(decision);
        ++m_counters.denied;
        waiter = team.waiters.erase(waiter);
      } else {
        ++waiter;
      }
    }
  }
  Report(aNow);
}

void
QuotaClient::Tick(TimePoint aNow)
{
  std::erase_if(m_sent, [aNow](const auto& aSent) {
    return IsDue(aSent.second.sentAt + kPermitLifetime, aNow);
  });
  for (auto it = m_teams.begin(); it != m_teams.end();) {
    Team& team = it->second;
    m_counters.expired += TakeExpired(team, aNow);
    for (auto waiter = team.waiters.begin(); waiter != team.waiters.end();) {
      if (IsDue(waiter->giveUpAt, aNow)) {
        QuotaDecision decision;
        decision.state = QuotaState::kUnknown;
        decision.team = TeamName(it->first);
        decision.request = waiter->request;
        m_decisions.push_back(decision);
        ++m_counters.unknown;
        waiter = team.waiters.erase(waiter);
        continue;
      }
      if (waiter->askId == 0) {
        m_unsent.insert(it->first); // no control host was known before
      } else if (IsDue(waiter->askedAt + kReplyTimeout, aNow)) {
        Retry(it->first, *waiter);
      }
      ++waiter;
    }
    const bool isIdle = team.waiters.empty() && team.permits.empty() &&
                        IsDue(team.usedAt + kIdleLifetime, aNow);
    it = isIdle ? m_teams.erase(it) : std::next(it);
  }
  Flush(aNow);
}

void
QuotaClient::Flush(TimePoint aNow)
{
  if (m_unsent.empty()) {
    Report(aNow);
    return;
  }
  const std::vector<HostId> hosts = m_hooks.controlHosts(aNow);
  std::map<std::size_t, wire::QuotaRequest> messages; // by index of the host
  for (const std::string& name : std::exchange(m_unsent, {})) {
    const auto it = m_teams.find(name);
    if (it == m_teams.end() || hosts.empty()) {
      continue; // requests that wait are given up in time
    }
    Team& team = it->second;
    std::map<std::size_t, std::uint32_t> waiting;
    for (const Waiter& waiter : team.waiters) {
      if (waiter.askId == 0) {
        ++waiting[waiter.tried % hosts.size()];
      }
    }
    const std::uint32_t ahead = CountAhead(team, aNow);
    if (ahead > 0) {
      waiting.try_emplace(0, 0);
      team.askAheadAt = aNow + kAheadInterval;
    }
    for (const auto& [index, count] : waiting) {
      wire::QuotaRequest& message = messages[index];
      if (message.request_id() == 0) {
        message.set_request_id(m_nextRequest++);
      }
      wire::QuotaWant* want = message.add_wants();
      want->set_team(name);
      want->set_waiting(count);
      want->set_count(count + (index == 0 ? ahead : 0));
    }
    for (Waiter& waiter : team.waiters) {
      if (waiter.askId == 0) {
        waiter.askId = messages[waiter.tried % hosts.size()].request_id();
        waiter.askedAt = aNow;
      }
    }
  }
  for (const auto& [index, message] : messages) {
    m_sent[message.request_id()] = { hosts[index], aNow };
    ++m_counters.messages;
    m_hooks.send(hosts[index], message);
  }
  Report(aNow);
}

void
QuotaClient::Report(TimePoint aNow)
{
  for (const QuotaDecision& decision : std::exchange(m_decisions, {})) {
    m_hooks.decided(decision, aNow);
  }
}

} // namespace fuchsiaramp
