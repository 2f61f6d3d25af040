// Selects the entry host to which a host that is cut off from the backend
// servers forwards a request.
//
//   const wire::HostRecord* peer =
//     SelectForwardingPeer(hosts, { self, region, domain, {} }, random);
#pragma once

#include <set>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/random.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct ForwardingOrigin
{
  HostId self;
  Region region;
  FailureDomain domain;
  std::set<HostId> excluded; // hosts that were tried before
};

// Returns a random one of the closest hosts that are alive and not cut off, or
// null if there is none.
const wire::HostRecord*
SelectForwardingPeer(
  const std::unordered_map<std::string, wire::HostRecord>& aHosts,
  const ForwardingOrigin& aOrigin,
  Random& aRandom);

} // namespace fuchsiaramp
