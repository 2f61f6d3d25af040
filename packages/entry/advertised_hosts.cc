#include "entry/advertised_hosts.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

#include "base/digest.h"
#include "membership/record_check.h"

namespace fuchsiaramp {

// Links of at least this bandwidth carry the callers of several hosts.
static constexpr double kWideLinkMbps = 200.0;

double
ShareForLink(double aPreferredShare, double aLinkMbps)
{
  const bool narrow = aLinkMbps > 0.0 && aLinkMbps < kWideLinkMbps;
  return narrow ? 1.0 : aPreferredShare;
}

// Number of hosts advertised to callers of a failure domain with aHosts hosts.
static std::size_t
CountInDomain(std::size_t aHosts, const AdvertisingOptions& aOptions)
{
  const double share = aOptions.share * static_cast<double>(aHosts);
  return std::max(aOptions.minHosts,
                  static_cast<std::size_t>(std::lround(share)));
}

static bool
IsAvailable(const wire::HostRecord& aHost)
{
  return aHost.state() == wire::HostRecord::ALIVE &&
         IsConnectableAddress(aHost.caller_address());
}

static bool
AreAllCutOff(const std::unordered_map<std::string, wire::HostRecord>& aHosts)
{
  return std::all_of(aHosts.begin(), aHosts.end(), [](const auto& aItem) {
    const wire::HostRecord& host = aItem.second;
    return !IsAvailable(host) || host.cut_off();
  });
}

std::vector<const wire::HostRecord*>
SelectAdvertisedHosts(
  const std::unordered_map<std::string, wire::HostRecord>& aHosts,
  const Region& aRegion,
  const FailureDomain& aDomain,
  const AdvertisingOptions& aOptions)
{
  // Closest first; rendezvous hashing orders hosts at the same distance.
  using Rank = std::pair<int, std::uint64_t>;
  std::vector<std::pair<Rank, const wire::HostRecord*>> ranked;
  const std::uint64_t seed = Hash64(aDomain.Value());
  const bool allCutOff = AreAllCutOff(aHosts);
  // Includes hosts that are cut off: their callers need as many others.
  std::size_t inDomain = 0;
  for (const auto& [name, record] : aHosts) {
    if (!IsAvailable(record)) {
      continue;
    }
    const bool sameDomain = record.failure_domain() == aDomain.Value();
    const bool sameRegion = record.region() == aRegion.Value();
    const int distance = sameDomain ? 0 : (sameRegion ? 1 : 2);
    inDomain += sameDomain ? 1 : 0;
    if (allCutOff || !record.cut_off()) {
      ranked.push_back({ { distance, Hash64(name, seed) }, &record });
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const std::size_t count =
    std::min(CountInDomain(inDomain, aOptions), ranked.size());
  std::vector<const wire::HostRecord*> advertised;
  for (std::size_t i = 0; i < count; ++i) {
    advertised.push_back(ranked[i].second);
  }
  return advertised;
}

std::size_t
CountAdvertisedHosts(const std::vector<std::size_t>& aDomainSizes,
                     const AdvertisingOptions& aOptions)
{
  std::size_t advertised = 0;
  for (const std::size_t size : aDomainSizes) {
    advertised += std::min(size, CountInDomain(size, aOptions));
  }
  return std::max<std::size_t>(advertised, 1);
}

} // namespace fuchsiaramp
