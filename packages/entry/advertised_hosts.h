// Selects the entry hosts that are advertised to callers of a failure domain.
//
// With fewer advertised hosts, each sees more outcomes of the servers of its
// failure domain; with more, there is capacity for more callers. Callers
// therefore get a share of the hosts of their failure domain, and hosts of the
// region if it has too few.
//
//   for (const wire::HostRecord* host :
//        SelectAdvertisedHosts(table, region, domain, options)) {
//     response.addresses.push_back(host->caller_address());
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

// The share of the hosts of a failure domain to advertise, given the share that
// is preferred and the link of a host in Mbit/s (0 if unknown). Hosts with
// narrow links are all advertised, since a few of them could not carry the
// callers.
double
ShareForLink(double aPreferredShare, double aLinkMbps);

// Best first. Hosts without an address that can be connected to are left out.
// Hosts that are cut off from the backend servers are replaced by
// the next closest ones, unless all hosts are. Every host with the same host
// table gets the same result.
std::vector<const wire::HostRecord*>
SelectAdvertisedHosts(
  const std::unordered_map<std::string, wire::HostRecord>& aHosts,
  const Region& aRegion,
  const FailureDomain& aDomain,
  const AdvertisingOptions& aOptions);

// Number of advertised hosts in a fleet with these numbers of hosts in its
// failure domains; at least one.
std::size_t
CountAdvertisedHosts(const std::vector<std::size_t>& aDomainSizes,
                     const AdvertisingOptions& aOptions);

} // namespace fuchsiaramp
