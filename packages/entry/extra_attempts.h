// Decides when a second attempt of a slow request starts, for one service on
// one host, and limits the share of such attempts.
//
// The limit holds for the hosts of a cell together: within 10 s they start at
// most aOptions.share times the requests that they received. Hosts learn what
// the others of their cell received and started from the load that these send
// anyway. What a silent host received no longer counts, while what it started
// still does, so that a lost message cannot raise the limit.
//
//   ExtraAttempts extra({ 0.02 });
//   extra.OnRequest(now);
//   extra.OnResponse(route, latency, now);
//   if (auto at = extra.StartAt(route, { arrivedAt, startedAt, endBy })) {
//     ... at that time:
//     if (extra.Decide(situation, now) == ExtraAttemptDecision::kStart) {
//       extra.OnStarted(now);
//     }
//   }
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "routing/latency_tracker.h"

namespace fuchsiaramp {

struct ExtraAttemptOptions
{
  double share = 0.0; // maximum ratio of extra attempts to requests
  // A second attempt starts once the first takes longer than this share of the
  // responses.
  double delayQuantile = 0.95;
  // Below this delay, a second attempt would double requests that are slow
  // because of the network: the round trip to another region takes 40 ms.
  Duration minDelay = std::chrono::milliseconds(40);
  // Above this share of busy slots, a second attempt would delay the first
  // attempts of other requests.
  double maxBusyShare = 0.7;
};

enum class ExtraAttemptDecision
{
  kStart,
  kTooLate,  // it could not end in time
  kCapacity, // requests wait, or too many slots are busy
  kShare,    // the share of extra attempts is used up
  kBudget,   // the retry budget is used up
  kServers,  // no other server has a free slot
};

// Returns the name used in logs, such as "started" or "share".
const char*
ToText(ExtraAttemptDecision aDecision);

// Of one host within the last 10 s.
struct ExtraAttemptCounts
{
  std::uint32_t requests = 0;
  std::uint32_t extraAttempts = 0;
};

// The times of a running attempt. It should end by endBy.
struct ExtraAttemptTimes
{
  TimePoint startedAt;
  TimePoint endBy;
};

// What a decision depends on beside the limit on the share.
struct ExtraAttemptSituation
{
  std::string route;
  TimePoint endBy;
  std::size_t queued = 0; // requests that wait for a slot
  double busyShare = 0.0; // of the slots whose load is known
  bool hasBudget = false; // a token of the retry budget
};

// Counts events of the last 10 s, in steps of 0.5 s.
class RecentCount
{
public:
  void Add(TimePoint aNow);
  // Counts no event that is older than 10 s.
  std::uint32_t AtMost(TimePoint aNow) const { return Sum(kSteps, aNow); }
  // Counts every event that is not older than 10 s, and some that are.
  std::uint32_t AtLeast(TimePoint aNow) const { return Sum(kSteps + 1, aNow); }

private:
  static constexpr Duration kStep = std::chrono::milliseconds(500);
  static constexpr std::int64_t kSteps = 20;

  struct Step
  {
    std::int64_t index = -1;
    std::uint32_t count = 0;
  };

  std::uint32_t Sum(std::int64_t aSteps, TimePoint aNow) const;

  std::array<Step, kSteps + 1> m_steps{};
};

class ExtraAttempts
{
public:
  explicit ExtraAttempts(ExtraAttemptOptions aOptions);

  // A request of the service that this host received, repeatable or not.
  void OnRequest(TimePoint aNow);
  // A first attempt brought a response.
  void OnResponse(const std::string& aRoute, Duration aLatency, TimePoint aNow);
  // A first attempt was cancelled. Its response would have taken longer.
  void OnCancelled(const std::string& aRoute,
                   Duration aElapsed,
                   TimePoint aNow);
  // What another host of the cell reported.
  void OnPeerCounts(const HostId& aPeer,
                    const ExtraAttemptCounts& aCounts,
                    TimePoint aNow);

  // When to decide on a second attempt, or nothing if there is none: the share
  // is 0, or too few responses of the route are known.
  std::optional<TimePoint> StartAt(const std::string& aRoute,
                                   const ExtraAttemptTimes& aTimes) const;
  ExtraAttemptDecision Decide(const ExtraAttemptSituation& aSituation,
                              TimePoint aNow) const;
  void OnStarted(TimePoint aNow);

  // For reports to the other hosts of the cell.
  ExtraAttemptCounts OwnCounts(TimePoint aNow) const;
  // What counts towards the limit, of this host and its cell.
  ExtraAttemptCounts CellCounts(TimePoint aNow) const;
  // The time after which the second attempt of a route starts, if known.
  std::optional<Duration> Delay(const std::string& aRoute) const;
  std::size_t RouteCount() const { return m_routes.size(); }

private:
  struct RouteLatency
  {
    LatencyTracker tracker;
    int responses = 0; // until enough are known
    int responsesUntilUpdate = 0;
    TimePoint usedAt;
    Duration delay{};    // as of the last update
    Duration expected{}; // latency of a second attempt
  };
  struct Peer
  {
    ExtraAttemptCounts counts;
    TimePoint receivedAt;
  };

  RouteLatency& FindOrCreate(const std::string& aRoute, TimePoint aNow);
  const RouteLatency* FindKnown(const std::string& aRoute) const;
  void Add(RouteLatency& aRoute, Duration aLatency);

  ExtraAttemptOptions m_options;
  RecentCount m_requests;
  RecentCount m_extraAttempts;
  std::map<HostId, Peer> m_peers;
  std::map<std::string, RouteLatency> m_routes;
};

} // namespace fuchsiaramp
