// Detects poison requests: those that break every backend server that runs
// them.
//
// A request whose connection broke on two different servers is quarantined for
// a limited time, identified by its fingerprint. The record of a request is
// removed when the request succeeds.
//
//   const bool added = quarantine.OnBroken(fingerprint, server, now);
//   if (quarantine.IsQuarantined(fingerprint, now)) { ... reject the request }
#pragma once

#include <set>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"

namespace fuchsiaramp {

class Quarantine
{
public:
  // Records a broken connection. Returns whether it put the fingerprint into
  // quarantine.
  bool OnBroken(Fingerprint aFingerprint,
                const BackendServerId& aServer,
                TimePoint aNow);
  void OnSuccess(Fingerprint aFingerprint);
  // Adopts a quarantine that another host reported.
  void Adopt(Fingerprint aFingerprint, TimePoint aUntil);

  bool IsQuarantined(Fingerprint aFingerprint, TimePoint aNow) const;
  TimePoint Until(Fingerprint aFingerprint) const;
  // Removes expired records.
  void Tick(TimePoint aNow);
  std::size_t size() const { return m_suspects.size(); }

private:
  struct Suspect
  {
    std::set<BackendServerId> brokenServers;
    TimePoint expiresAt;
    TimePoint quarantinedUntil; // the clock's origin if not quarantined
  };

  std::unordered_map<Fingerprint, Suspect> m_suspects;
};

} // namespace fuchsiaramp
