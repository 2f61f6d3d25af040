#include "routing/quarantine.h"

#include <algorithm>
#include <utility>

namespace fuchsiaramp {

static constexpr int kCrashesForQuarantine = 3;
static constexpr std::size_t kServersForQuarantine = 2;
static constexpr Duration kEvidenceLifetime = std::chrono::seconds(60);
static constexpr Duration kQuarantineDuration = std::chrono::seconds(60);
// After a quarantine, the evidence for it is kept for longer, so that one more
// crash renews it.
static constexpr Duration kEvidenceLifetimeAfterQuarantine =
  std::chrono::minutes(10);
// A server that crashed is not back earlier. Hosts learn of a crash from each
// other within this time.
static constexpr Duration kMinRestartTime = std::chrono::seconds(1);
static constexpr Duration kClosedLifetime = std::chrono::seconds(2);
static constexpr std::size_t kMaxSuspects = 10'000;
static constexpr std::size_t kMaxClosed = 1000;
static constexpr std::size_t kSuccesses = 4096;

Quarantine::Quarantine()
  : m_successes(kSuccesses)
{
}

const Quarantine::Success&
Quarantine::SuccessOf(Fingerprint aFingerprint) const
{
  static const Success kNone;
  const Success& success = m_successes[aFingerprint.Value() % kSuccesses];
  return success.fingerprint == aFingerprint ? success : kNone;
}

void
Quarantine::RecordSuccess(Fingerprint aFingerprint, TimePoint aAt)
{
  Success& success = m_successes[aFingerprint.Value() % kSuccesses];
  if (success.fingerprint != aFingerprint || success.at < aAt) {
    success = { aFingerprint, aAt };
  }
}

bool
Quarantine::IsEvidence(Fingerprint aFingerprint, TimePoint aStartedAt) const
{
  return SuccessOf(aFingerprint).at < aStartedAt;
}

bool
Quarantine::IsPoison(const Suspect& aSuspect)
{
  int crashes = 0;
  for (const auto& [server, item] : aSuspect.servers) {
    crashes += item.count;
  }
  return crashes >= kCrashesForQuarantine &&
         aSuspect.servers.size() >= kServersForQuarantine;
}

bool
Quarantine::OnBroken(Fingerprint aFingerprint,
                     const BrokenRun& aRun,
                     TimePoint aNow)
{
  const bool tracked = m_suspects.count(aFingerprint) != 0;
  if (!IsEvidence(aFingerprint, aRun.startedAt) ||
      (!tracked && m_suspects.size() >= kMaxSuspects)) {
    return false;
  }
  Suspect& suspect = m_suspects[aFingerprint];
  suspect.reported = suspect.reported || aRun.seenHere;
  suspect.expiresAt = std::max(suspect.expiresAt, aNow + kEvidenceLifetime);
  Crashes& crashes = suspect.servers[aRun.server];
  // One crash breaks several runs, at several hosts.
  const bool isNew =
    crashes.count == 0 || aRun.startedAt >= crashes.lastAt + kMinRestartTime;
  if (isNew) {
    ++crashes.count;
    crashes.lastAt = aNow;
  }
  crashes.firstRunAt = crashes.count == 1 && isNew
                         ? aRun.startedAt
                         : std::min(crashes.firstRunAt, aRun.startedAt);
  crashes.lastRunAt = std::max(crashes.lastRunAt, aRun.startedAt);
  if (!isNew || !IsPoison(suspect) || IsQuarantined(aFingerprint, aNow)) {
    return false;
  }
  TimePoint beganAt = aRun.startedAt;
  for (const auto& [server, item] : suspect.servers) {
    beganAt = std::min(beganAt, item.firstRunAt);
  }
  return Adopt(aFingerprint, beganAt, aNow + kQuarantineDuration);
}

void
Quarantine::OnClosed(const SuspectedRun& aRun, TimePoint aNow)
{
  if (m_closed.size() < kMaxClosed &&
      IsEvidence(aRun.fingerprint, aRun.run.startedAt)) {
    m_closed.push_back({ aRun, aNow });
  }
}

std::vector<SuspectedRun>
Quarantine::TakeClosed(const BackendServerId& aServer, TimePoint aNow)
{
  std::vector<SuspectedRun> broken;
  std::erase_if(m_closed, [&](ClosedRun& aClosed) {
    if (aClosed.suspected.run.server != aServer) {
      return false;
    }
    if (!IsDue(aClosed.closedAt + kClosedLifetime, aNow)) {
      broken.push_back(std::move(aClosed.suspected));
    }
    return true;
  });
  return broken;
}

bool
Quarantine::OnSuccess(Fingerprint aFingerprint, TimePoint aNow)
{
  RecordSuccess(aFingerprint, aNow);
  const auto it = m_suspects.find(aFingerprint);
  if (it == m_suspects.end()) {
    return false;
  }
  const Suspect& suspect = it->second;
  const bool tellOthers = suspect.reported ||
                          suspect.servers.size() >= kServersForQuarantine ||
                          suspect.quarantinedUntil != TimePoint();
  m_suspects.erase(it);
  return tellOthers;
}

bool
Quarantine::OnSuccessElsewhere(Fingerprint aFingerprint, TimePoint aAt)
{
  RecordSuccess(aFingerprint, aAt);
  const auto it = m_suspects.find(aFingerprint);
  if (it == m_suspects.end()) {
    return false;
  }
  Suspect& suspect = it->second;
  std::size_t removed =
    std::erase_if(suspect.servers, [aAt](const auto& aServer) {
      return aServer.second.lastRunAt <= aAt;
    });
  if (suspect.beganAt <= aAt && suspect.quarantinedUntil != TimePoint()) {
    suspect.quarantinedUntil = TimePoint();
    ++removed;
  }
  if (suspect.servers.empty() && suspect.quarantinedUntil == TimePoint()) {
    m_suspects.erase(it);
  }
  return removed > 0;
}

bool
Quarantine::Adopt(Fingerprint aFingerprint,
                  TimePoint aBeganAt,
                  TimePoint aUntil)
{
  if (!IsEvidence(aFingerprint, aBeganAt)) {
    return false;
  }
  Suspect& suspect = m_suspects[aFingerprint];
  suspect.beganAt = aBeganAt;
  suspect.quarantinedUntil = std::max(suspect.quarantinedUntil, aUntil);
  suspect.expiresAt =
    std::max(suspect.expiresAt, aUntil + kEvidenceLifetimeAfterQuarantine);
  return true;
}

bool
Quarantine::IsQuarantined(Fingerprint aFingerprint, TimePoint aNow) const
{
  const auto it = m_suspects.find(aFingerprint);
  return it != m_suspects.end() && !IsDue(it->second.quarantinedUntil, aNow);
}

TimePoint
Quarantine::Until(Fingerprint aFingerprint) const
{
  const auto it = m_suspects.find(aFingerprint);
  return it == m_suspects.end() ? TimePoint() : it->second.quarantinedUntil;
}

TimePoint
Quarantine::BeganAt(Fingerprint aFingerprint) const
{
  const auto it = m_suspects.find(aFingerprint);
  return it == m_suspects.end() ? TimePoint() : it->second.beganAt;
}

void
Quarantine::Tick(TimePoint aNow)
{
  std::erase_if(m_suspects, [aNow](const auto& aSuspect) {
    return IsDue(aSuspect.second.expiresAt, aNow);
  });
  std::erase_if(m_closed, [aNow](const ClosedRun& aClosed) {
    return IsDue(aClosed.closedAt + kClosedLifetime, aNow);
  });
}

} // namespace fuchsiaramp
