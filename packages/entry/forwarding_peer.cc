#include "entry/forwarding_peer.h"

#include <algorithm>
#include <vector>

#include "membership/record_check.h"

namespace fuchsiaramp {

const wire::HostRecord*
SelectForwardingPeer(
  const std::unordered_map<std::string, wire::HostRecord>& aHosts,
  const ForwardingOrigin& aOrigin,
  Random& aRandom)
{
  std::vector<const wire::HostRecord*> closest;
  int closestDistance = 0;
  for (const auto& [name, record] : aHosts) {
    const HostId host(name);
    if (record.state() != wire::HostRecord::ALIVE || record.cut_off() ||
        !IsConnectableAddress(record.caller_address()) ||
        host == aOrigin.self || aOrigin.excluded.count(host) != 0) {
      continue;
    }
    const bool sameDomain = record.failure_domain() == aOrigin.domain.Value();
    const bool sameRegion = record.region() == aOrigin.region.Value();
    const int distance = sameDomain ? 0 : (sameRegion ? 1 : 2);
    if (closest.empty() || distance < closestDistance) {
      closest.clear();
      closestDistance = distance;
    }
    if (distance == closestDistance) {
      closest.push_back(&record);
    }
  }
  if (closest.empty()) {
    return nullptr;
  }
  // The order of the table differs between runs.
  std::sort(closest.begin(),
            closest.end(),
            [](const wire::HostRecord* aLeft, const wire::HostRecord* aRight) {
              return aLeft->host() < aRight->host();
            });
  return closest[aRandom.Below(closest.size())];
}

} // namespace fuchsiaramp
