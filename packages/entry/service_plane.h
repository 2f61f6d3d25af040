// The services of one entry host: a router for each, an outlier detector for
// those that this host arbitrates, and the exchange of evidence and verdicts.
//
// The arbiter of a service is the live entry host that ranks first by
// rendezvous hashing. A host that reports evidence but receives no verdict for
// some time detects outliers by its own evidence until it receives one. Hosts
// that share outcomes need no arbiter: each decides by what all observe.
//
//   plane.UpdateServer(server, now);
//   ServiceRouter* router = plane.Find(service);
//   plane.Tick(now);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "entry/extra_attempts.h"
#include "membership/directory.h"
#include "routing/outlier_detector.h"
#include "routing/quarantine.h"
#include "routing/service_router.h"
#include "settings/settings.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct ServicePlaneOptions
{
  HostId self;
  Region region;
  FailureDomain failureDomain;
  RoutingSettings routing;
};

struct ServicePlaneHooks
{
  std::function<void(const HostId&, const wire::Evidence&)> send;
  // Advertised entry hosts of the same failure domain, which are divided into
  // cells; used if hosts share outcomes.
  std::function<std::vector<HostId>()> domainHosts;
  // Sends to all entry hosts, through control; used if hosts share outcomes.
  std::function<void(const wire::Evidence&)> broadcast;
  std::function<std::vector<HostId>()> aliveHosts; // including this one
  // Entry hosts, including this one, that reach no backend server.
  std::function<std::set<HostId>()> cutOffHosts;
  std::function<Region(const HostId&)> regionOf;
  // The requests that wait here for a slot and can still be in time, by
  // priority; used if hosts share outcomes.
  std::function<std::map<std::uint32_t, std::uint32_t>(const ServiceName&)>
    waiting;
  EventHook record;
};

class ServicePlane
{
public:
  ServicePlane(ServicePlaneOptions aOptions,
               ServicePlaneHooks aHooks,
               Random aRandom);

  void UpdateServer(const BackendServer& aServer, TimePoint aNow);
  // Null if no backend server of the service was ever announced.
  ServiceRouter* Find(const ServiceName& aService);
  // Null if the settings do not limit extra attempts, or if no backend server
  // of the service was ever announced.
  ExtraAttempts* FindExtraAttempts(const ServiceName& aService);
  void OnEvidence(const HostId& aFrom,
                  const wire::Evidence& aEvidence,
                  TimePoint aNow);
  void Tick(TimePoint aNow);
  // The number of hosts that share the retry budgets of all services.
  void SetRetryBudgetHosts(std::size_t aHosts);
  std::size_t RetryBudgetHosts() const { return m_retryBudgetHosts; }
  std::size_t LimitedServers(TimePoint aNow) const;
  // The set of live hosts changed, or the state of one of them.
  void HostsChanged();
  // Forgets what requests showed about the paths from this host to servers.
  void ForgetPaths();

  // A connection broke during an attempt of this request that began at
  // aStartedAt.
  void OnBroken(const ServiceName& aService,
                Fingerprint aFingerprint,
                const BackendServerId& aServer,
                TimePoint aStartedAt,
                TimePoint aNow);
  // A reused connection was closed without a response to this request.
  void OnClosed(const ServiceName& aService,
                Fingerprint aFingerprint,
                const BackendServerId& aServer,
                TimePoint aStartedAt,
                TimePoint aNow);
  // A server refused a connection.
  void OnRefused(const BackendServerId& aServer, TimePoint aNow);
  // A server answered this request.
  void OnServed(const ServiceName& aService,
                Fingerprint aFingerprint,
                TimePoint aNow);
  const Quarantine& RequestQuarantine() const { return m_quarantine; }

  std::vector<ServiceName> Services() const;
  bool IsArbiter(const ServiceName& aService) const;

private:
  struct Service
  {
    std::unique_ptr<ServiceRouter> router;
    std::unique_ptr<ExtraAttempts> extraAttempts; // if the settings limit them
    HostId arbiter; // empty if hosts share outcomes
    // Set while this host detects outliers of the service.
    std::unique_ptr<OutlierDetector> detector;
    std::map<HostId, TimePoint> reporters; // with their expiry
    std::map<HostId, std::uint64_t> sentVersion;
    TimePoint nextReportAt;
    TimePoint nextUrgentReportAt;
    TimePoint nextRefreshAt;
    TimePoint verdictDueBy; // kNever if no verdict is awaited
    bool fallback = false;
    std::string sentLoad; // last sent to the cell, serialised
    TimePoint nextLoadAt;
  };
  // Messages by receivers. Services with the same cell share a message.
  using CellMessages = std::map<std::vector<HostId>, wire::Evidence>;

  double MaxRetryTokens() const;
  Service& FindOrCreate(const ServiceName& aName);
  void StartDetector(Service& aService, TimePoint aNow);
  void ReportEvidence(const ServiceName& aName,
                      Service& aService,
                      TimePoint aNow);
  void TickDetector(const ServiceName& aName,
                    Service& aService,
                    TimePoint aNow);
  void SendVerdict(const ServiceName& aName,
                   Service& aService,
                   const HostId& aTo,
                   TimePoint aNow);
  void OnReport(const HostId& aFrom,
                const wire::EvidenceReport& aReport,
                TimePoint aNow);
  void OnVerdict(const HostId& aFrom,
                 const wire::Verdict& aVerdict,
                 TimePoint aNow);
  void OnQuarantineNotice(const HostId& aFrom,
                          const wire::PoisonNotice& aNotice,
                          TimePoint aNow);
  void OnSuccessNotice(const HostId& aFrom,
                       const wire::PoisonNotice& aNotice,
                       TimePoint aNow);
  bool ArbitratesRequestsOf(const ServiceName& aService) const;
  void SendQuarantine(const ServiceName& aService,
                      Fingerprint aFingerprint,
                      TimePoint aNow);
  void SendSuccess(const ServiceName& aService, Fingerprint aFingerprint);
  void SendNotice(wire::PoisonNotice aNotice, const ServiceName& aService);
  void UpdateCells();
  void ShareWithCells(TimePoint aNow);
  void AddLoad(const ServiceName& aName,
               Service& aService,
               CellMessages& aMessages,
               TimePoint aNow);
  void OnSharedOutcomes(const wire::EvidenceReport& aReport, TimePoint aNow);
  void ShareLimits(CellMessages& aMessages);
  void OnLimitReports(const wire::ServerLimits& aLimits, TimePoint aNow);
  std::vector<HostId> HostsInRegionOf(const BackendServer& aServer) const;
  void ApplyOwnDecisions(Service& aService, TimePoint aNow);

  ServicePlaneOptions m_options;
  ServicePlaneHooks m_hooks;
  Random m_random;
  std::unordered_map<ServiceName, Service> m_services;
  Quarantine m_quarantine;
  bool m_hostsChanged = true;
  bool m_cellsAreStale = true;
  std::size_t m_retryBudgetHosts = 1;
};

} // namespace fuchsiaramp
