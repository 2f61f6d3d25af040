// Simulates one service whose servers have fault episodes: periods of some
// seconds in which a server fails most of its requests at once. Entry hosts
// choose servers with the production ServiceRouter.
//
// Servers are spread over failure domains, with a few entry hosts each. Healthy
// servers fail few requests. The model counts the outcomes that callers see, so
// that a placement rule can be evaluated before it runs on a whole deployment.
//
//   FaultEpisodeModel model(options);
//   FaultEpisodeResult result = model.Run(std::chrono::seconds(60));
//   double lost = result.nonRepeatableFailed / result.nonRepeatable;
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "routing/service_router.h"
#include "testing/event_queue.h"

namespace fuchsiaramp {

struct FaultEpisodeOptions
{
  std::uint64_t seed = 1;
  std::size_t regions = 3;
  std::size_t domainsPerRegion = 2;
  std::size_t hostsPerDomain = 2;
  std::size_t serversPerDomain = 6;
  std::uint32_t slots = 2;
  double requestsPerSecond = 90.0; // all callers
  double repeatableShare = 0.25;
  double meanServiceSeconds = 0.2;
  double healthyFailureRate = 0.012; // share of requests
  double faultyFailureRate = 0.9;
  double meanHealthySeconds = 34.0; // mean time between episodes
  double meanEpisodeSeconds = 4.8;
  Duration queueTimeout = std::chrono::milliseconds(600);
  double retrySlack = 64.0; // of all hosts together
  // This many servers fail this share of their requests all the time and have
  // no episodes.
  std::size_t impairedServers = 0;
  double impairedFailureRate = 0.0;
  // For a share of sound servers below this, see neglectedMoments.
  double floorShare = 0.7;
};

struct FaultEpisodeResult
{
  double nonRepeatable = 0.0; // requests that must run at most once
  double nonRepeatableFailed = 0.0;
  double nonRepeatableRefused = 0.0; // no free slot within queueTimeout
  double repeatable = 0.0;
  double repeatableFailed = 0.0; // after any retry
  double outsideDomain = 0.0;    // attempts in another failure domain
  double episodes = 0.0;         // episodes that began
  double attempts = 0.0;
  double attemptsFailed = 0.0; // with an error of the server
  // Moments, of ten a second, at which some but fewer than floorShare of the
  // sound servers had got a request within 2 s, while of the requests that
  // ended then over a tenth, but under half, were not served.
  double neglectedMoments = 0.0;
  double unservedMoments = 0.0; // with that share of requests not served
};

class FaultEpisodeModel
{
public:
  explicit FaultEpisodeModel(FaultEpisodeOptions aOptions);

  FaultEpisodeResult Run(Duration aSpan);

private:
  struct Server
  {
    BackendServer record;
    bool impaired = false;
    bool faulty = false;
    TimePoint soundSince;
    TimePoint lastArrivalAt;
    std::uint32_t running = 0;
  };
  struct Host
  {
    HostId id;
    std::size_t domain = 0;
    std::unique_ptr<ServiceRouter> router;
  };
  struct Request
  {
    bool repeatable = false;
    std::size_t host = 0;
    TimePoint arrivedAt;
    std::set<BackendServerId> excluded;
  };

  Region RegionOf(std::size_t aDomain) const;
  void AddServers();
  void AddHosts();
  void ScheduleStateChange(std::size_t aServer);
  void ScheduleArrival();
  void ScheduleTick();
  void PlaceRequest(Request aRequest);
  void StartAttempt(const Request& aRequest, std::size_t aServer);
  void FinishAttempt(Request aRequest,
                     std::size_t aServer,
                     AttemptOutcome aOutcome,
                     TimePoint aStartedAt);
  void ShareUpdates();
  double FailureRateOf(const Server& aServer) const;
  void OnEnd(bool aServed);
  void ScheduleCheck();
  bool NeglectsSoundServers() const;

  FaultEpisodeOptions m_options;
  Random m_random;
  EventQueue m_queue;
  std::vector<Server> m_servers;
  std::vector<Host> m_hosts;
  FaultEpisodeResult m_result;
  // Requests that ended lately, and whether they were served.
  std::deque<std::pair<TimePoint, bool>> m_ended;
};

} // namespace fuchsiaramp
