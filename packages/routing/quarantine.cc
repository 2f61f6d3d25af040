#include "routing/quarantine.h"

#include <algorithm>

namespace fuchsiaramp {

static constexpr std::size_t kBrokenServersForQuarantine = 2;
static constexpr Duration kSuspectLifetime = std::chrono::seconds(60);
static constexpr Duration kQuarantineDuration = std::chrono::seconds(60);
static constexpr std::size_t kMaxSuspects = 10'000;

bool
Quarantine::OnBroken(Fingerprint aFingerprint,
                     const BackendServerId& aServer,
                     TimePoint aNow)
{
  const bool tracked = m_suspects.count(aFingerprint) != 0;
  if (!tracked && m_suspects.size() >= kMaxSuspects) {
    return false;
  }
  Suspect& suspect = m_suspects[aFingerprint];
  suspect.brokenServers.insert(aServer);
  suspect.expiresAt = std::max(suspect.expiresAt, aNow + kSuspectLifetime);
  const bool alreadyQuarantined = !IsDue(suspect.quarantinedUntil, aNow);
  if (suspect.brokenServers.size() < kBrokenServersForQuarantine ||
      alreadyQuarantined) {
    return false;
  }
  Adopt(aFingerprint, aNow + kQuarantineDuration);
  return true;
}

void
Quarantine::OnSuccess(Fingerprint aFingerprint)
{
  m_suspects.erase(aFingerprint);
}

void
Quarantine::Adopt(Fingerprint aFingerprint, TimePoint aUntil)
{
  Suspect& suspect = m_suspects[aFingerprint];
  suspect.quarantinedUntil = std::max(suspect.quarantinedUntil, aUntil);
  suspect.expiresAt = std::max(suspect.expiresAt, aUntil);
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

void
Quarantine::Tick(TimePoint aNow)
{
  for (auto it = m_suspects.begin(); it != m_suspects.end();) {
    it = IsDue(it->second.expiresAt, aNow) ? m_suspects.erase(it) : ++it;
  }
}

} // namespace fuchsiaramp
