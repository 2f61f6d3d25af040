// Decides when control hosts with empty disks form a new group.
//
// A group is formed only when every control host in the settings has reported
// an empty disk in reply to a probe of this host. If any disk holds data, a
// group exists already and this host waits to be added to it. Hosts that lost
// their disks can therefore never form a second, empty group.
//
//   bootstrap.OnReply(host, reply, now);
//   if (bootstrap.IsUnanimous(now)) Form(bootstrap.InitialConfiguration());
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "consensus/configuration.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class Bootstrap
{
public:
  // aHosts are the control hosts in the settings, including aSelf.
  Bootstrap(MemberId aSelf, std::vector<HostId> aHosts);

  void OnReply(const HostId& aFrom,
               const wire::RaftMessage& aReply,
               TimePoint aNow);
  // Whether every other host has a valid report of an empty disk.
  bool IsUnanimous(TimePoint aNow) const;
  wire::Configuration InitialConfiguration() const;
  // The hash of the member list; never 0, which means that there is no cluster.
  static std::uint64_t ClusterIdOf(const wire::Configuration& aConfiguration);

private:
  struct Report
  {
    std::uint64_t diskId = 0;
    bool emptyDisk = false;
    TimePoint validUntil;
  };

  MemberId m_self;
  std::vector<HostId> m_hosts;
  std::map<HostId, Report> m_reports;
};

} // namespace fuchsiaramp
