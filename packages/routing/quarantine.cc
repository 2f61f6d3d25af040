#include "routing/quarantine.h"

#include <algorithm>

namespace fuchsiaramp {

static constexpr std::size_t kBrokenServers = 2;
static constexpr Duration kSuspicion = std::chrono::seconds(60);
static constexpr Duration kQuarantine = std::chrono::seconds(60);
static constexpr std::size_t kMaxSuspects = 10'000;

bool
Quarantine::OnBroken(Fingerprint aFingerprint,
                     const BackendServerId& aServer,
                     TimePoint aNow)
{
  const bool known = m_suspects.count(aFingerprint) != 0;
  if (!known && m_suspects.size() >= kMaxSuspects) {
    return false;
  }
  Suspect& suspect = m_suspects[aFingerprint];
  suspect.broken.insert(aServer);
  suspect.forgetAt = std::max(suspect.forgetAt, aNow + kSuspicion);
  const bool already = !IsDue(suspect.quarantinedUntil, aNow);
  if (suspect.broken.size() < kBrokenServers || already) {
    return false;
  }
  Adopt(aFingerprint, aNow + kQuarantine);
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
  suspect.forgetAt = std::max(suspect.forgetAt, aUntil);
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
    it = IsDue(it->second.forgetAt, aNow) ? m_suspects.erase(it) : ++it;
  }
}

} // namespace fuchsiaramp
