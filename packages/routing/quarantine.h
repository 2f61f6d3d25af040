// Finds requests that break every backend server that runs them.
//
// A request whose connection broke on two different servers is quarantined by
// its fingerprint for a while; one that succeeds is forgotten.
//
//   if (quarantine.OnBroken(fingerprint, server, now)) { ... newly quarantined
//   } if (quarantine.IsQuarantined(fingerprint, now)) { ... refuse at once }
#pragma once

#include <set>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"

namespace fuchsiaramp {

class Quarantine
{
public:
  // Returns whether the fingerprint has just become quarantined.
  bool OnBroken(Fingerprint aFingerprint,
                const BackendServerId& aServer,
                TimePoint aNow);
  void OnSuccess(Fingerprint aFingerprint);
  // Another host quarantined it.
  void Adopt(Fingerprint aFingerprint, TimePoint aUntil);

  bool IsQuarantined(Fingerprint aFingerprint, TimePoint aNow) const;
  TimePoint Until(Fingerprint aFingerprint) const;
  // Forgets what is no longer of use.
  void Tick(TimePoint aNow);
  std::size_t size() const { return m_suspects.size(); }

private:
  struct Suspect
  {
    std::set<BackendServerId> broken;
    TimePoint forgetAt;
    TimePoint quarantinedUntil; // the origin when not quarantined
  };

  std::unordered_map<Fingerprint, Suspect> m_suspects;
};

} // namespace fuchsiaramp
