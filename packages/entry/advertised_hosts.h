// Which entry hosts the callers of a failure domain are sent to.
//
// Few hosts know the load of the servers nearby better than many; many have
// room for more callers. So callers are sent to a share of the hosts of their
// failure domain, and to hosts of the region where it has too few.
//
//   for (const wire::HostRecord* host :
//        SelectAdvertisedHosts(table, Region("east"), FailureDomain("east-a"),
//        options)) {
//     answer.addresses.push_back(host->caller_address());
//   }
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct AdvertisingOptions
{
  double share = 0.0; // of the hosts of the failure domain
  std::size_t minHosts = 2;
};

// Best first. Every host that knows the same hosts gives the same answer.
std::vector<const wire::HostRecord*>
SelectAdvertisedHosts(
  const std::unordered_map<std::string, wire::HostRecord>& aHosts,
  const Region& aRegion,
  const FailureDomain& aDomain,
  const AdvertisingOptions& aOptions);

// How many hosts callers are sent to in a fleet with that many hosts in each
// failure domain; one at least.
std::size_t
CountAdvertisedHosts(const std::vector<std::size_t>& aDomainSizes,
                     const AdvertisingOptions& aOptions);

} // namespace fuchsiaramp
