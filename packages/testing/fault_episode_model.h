// A model of one service whose servers fall sick for some seconds now and then,
// as entry hosts place requests on it by the shipped router.
//
// Servers are spread over failure domains, with a few entry hosts each. A sick
// server fails most of its requests at once; a well one few. The model tells
// what callers get, so that a rule of placement can be judged before it is
// played on a whole deployment.
//
//   FaultEpisodeModel model(options);
//   FaultEpisodeResult result = model.Play(std::chrono::seconds(60));
//   double lost = result.onceFailed / result.once;
#pragma once

#include <cstdint>
#include <memory>
#include <set>
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
  double workSeconds = 0.2; // mean
  double wellFails = 0.012; // share of requests
  double sickFails = 0.9;
  double wellSeconds = 34.0; // mean length of a well time
  double sickSeconds = 4.8;  // and of a sick one
  Duration patience = std::chrono::milliseconds(600);
};

struct FaultEpisodeResult
{
  double once = 0.0; // requests that may run once only
  double onceFailed = 0.0;
  double onceRefused = 0.0; // no server had room in time
  double repeatable = 0.0;
  double repeatableFailed = 0.0; // after their retry
  double outside = 0.0;          // served in another failure domain
  double spells = 0.0;           // sick times that began
};

class FaultEpisodeModel
{
public:
  explicit FaultEpisodeModel(FaultEpisodeOptions aOptions);

  FaultEpisodeResult Play(Duration aSpan);

private:
  struct Server
  {
    BackendServer known;
    bool sick = false;
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
  void Turn(std::size_t aServer);
  void ScheduleArrival();
  void ScheduleTick();
  void Place(Request aRequest);
  void Run(const Request& aRequest, std::size_t aServer);
  void Finish(Request aRequest,
              std::size_t aServer,
              AttemptOutcome aOutcome,
              TimePoint aStartedAt);
  void ShareNews();

  FaultEpisodeOptions m_options;
  Random m_random;
  EventQueue m_queue;
  std::vector<Server> m_servers;
  std::vector<Host> m_hosts;
  FaultEpisodeResult m_result;
};

} // namespace fuchsiaramp
