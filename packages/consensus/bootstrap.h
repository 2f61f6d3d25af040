// Decides when blank control hosts form a new group.
//
// A group is formed only when every control host of the settings reports a
// blank disk in answer to this host's own probe. If one of them is not blank, a
// group exists, and this host waits to be added to it: hosts that lost their
// disks can therefore never found a second, empty group beside the first.
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
  // aHosts are the control hosts of the settings; aSelf is one of them.
  Bootstrap(MemberId aSelf, std::vector<HostId> aHosts);

  void OnReply(const HostId& aFrom,
               const wire::RaftMessage& aReply,
               TimePoint aNow);
  bool IsUnanimous(TimePoint aNow) const;
  wire::Configuration InitialConfiguration() const;
  static std::uint64_t ClusterIdOf(const wire::Configuration& aConfiguration);

private:
  struct Report
  {
    std::uint64_t diskId = 0;
    bool blank = false;
    TimePoint validUntil;
  };

  MemberId m_self;
  std::vector<HostId> m_hosts;
  std::map<HostId, Report> m_reports;
};

} // namespace fuchsiaramp
