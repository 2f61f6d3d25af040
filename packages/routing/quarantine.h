// Detects poison requests: those that crash every backend server that runs
// them.
//
// A server that crashes breaks all requests that it runs, so one crash says
// little about any of them. A request, identified by its fingerprint, is
// quarantined for a limited time once it was broken by three crashes on two
// servers or more, with no success meanwhile: a server that answers a request
// shows that other servers crashed for reasons of their own. A success counts
// against all attempts that had begun by then, whichever of the requests with
// the fingerprint it was and whichever host saw it.
//
//   if (quarantine.OnBroken(fingerprint, { server, startedAt, true }, now)) {
//     ... tell the other hosts
//   }
//   if (quarantine.OnSuccess(fingerprint, now)) { ... tell the other hosts }
//   if (quarantine.IsQuarantined(fingerprint, now)) { ... refuse the request }
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace fuchsiaramp {

// A connection that broke while its server may have run a request.
struct BrokenRun
{
  BackendServerId server;
  TimePoint startedAt;
  bool seenHere = false; // by this host
};

// A run that turned out to be broken, with its request.
struct SuspectedRun
{
  ServiceName service;
  Fingerprint fingerprint;
  BrokenRun run;
};

class Quarantine
{
public:
  Quarantine();

  // Returns whether a run that began then says anything about the request: it
  // does not if a run of the request succeeded since.
  bool IsEvidence(Fingerprint aFingerprint, TimePoint aStartedAt) const;
  // Records a broken run. Returns whether it put the request into quarantine.
  bool OnBroken(Fingerprint aFingerprint,
                const BrokenRun& aRun,
                TimePoint aNow);
  // A reused connection was closed without a response. If its server refuses
  // connections within a short time, it crashed.
  void OnClosed(const SuspectedRun& aRun, TimePoint aNow);
  // A server refused a connection. Returns the runs that its crash has broken,
  // which must be passed to OnBroken().
  std::vector<SuspectedRun> TakeClosed(const BackendServerId& aServer,
                                       TimePoint aNow);
  // Records a success that this host saw. Returns whether other hosts may hold
  // evidence against the request, which they should drop.
  bool OnSuccess(Fingerprint aFingerprint, TimePoint aNow);
  // Records a success that another host saw. Returns whether it removed
  // evidence.
  bool OnSuccessElsewhere(Fingerprint aFingerprint, TimePoint aAt);
  // Adopts a quarantine that another host reported. Returns false if a success
  // refutes the evidence for it, the first of which began at aBeganAt.
  bool Adopt(Fingerprint aFingerprint, TimePoint aBeganAt, TimePoint aUntil);

  bool IsQuarantined(Fingerprint aFingerprint, TimePoint aNow) const;
  TimePoint Until(Fingerprint aFingerprint) const;
  // When the first of the runs began for which the request is quarantined.
  TimePoint BeganAt(Fingerprint aFingerprint) const;
  // Removes expired records.
  void Tick(TimePoint aNow);
  std::size_t size() const { return m_suspects.size(); }

private:
  struct Crashes
  {
    int count = 0;
    TimePoint lastAt;
    TimePoint firstRunAt;
    TimePoint lastRunAt;
  };

  struct Suspect
  {
    std::map<BackendServerId, Crashes> servers;
    bool reported = false; // by this host
    TimePoint expiresAt;
    TimePoint beganAt;
    TimePoint quarantinedUntil; // the clock's origin if not quarantined
  };

  struct Success
  {
    Fingerprint fingerprint;
    TimePoint at; // the clock's origin if there was none
  };

  struct ClosedRun
  {
    SuspectedRun suspected;
    TimePoint closedAt;
  };

  const Success& SuccessOf(Fingerprint aFingerprint) const;
  void RecordSuccess(Fingerprint aFingerprint, TimePoint aAt);
  static bool IsPoison(const Suspect& aSuspect);

  std::unordered_map<Fingerprint, Suspect> m_suspects;
  // The last successes of recent requests, by a part of the fingerprint. Later
  // ones replace others in the same place.
  std::vector<Success> m_successes;
  std::vector<ClosedRun> m_closed;
};

} // namespace fuchsiaramp
