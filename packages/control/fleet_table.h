// The entry hosts that are alive, as seen by one control host.
//
// An entry host registers with the control host that it pulls from. A control
// host sends its own entry hosts to the other control hosts when they change,
// and otherwise only a periodic digest; a receiver whose copy differs from the
// digest requests the full view.
//
//   FleetTable table;
//   table.UpdateHost(record, now);
//   if (auto view = table.TakeUpdate(now)) { ... send to control hosts ... }
//   for (const auto& host : table.HostsInRegion(region)) { ... }
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class FleetTable
{
public:
  // Registers or renews an entry host that pulled from this host.
  void UpdateHost(const wire::HostRecord& aRecord, TimePoint aNow);
  // Stores the view of another control host. Returns whether the full view must
  // be requested from the sender.
  bool UpdateView(const HostId& aFrom,
                  const wire::FleetView& aView,
                  TimePoint aNow);
  // Removes entry hosts and views that were not renewed in time.
  void Tick(TimePoint aNow);

  // Returns the update that is due for the other control hosts, if any.
  std::optional<wire::FleetView> TakeUpdate(TimePoint aNow);
  // The full view of the entry hosts that pull from this host.
  wire::FleetView OwnView() const;

  // All entry hosts of a region, sorted by name.
  std::vector<wire::HostRecord> HostsInRegion(const Region& aRegion) const;
  // Increases with each change of HostsInRegion() or DomainSizes().
  std::uint64_t Version() const { return m_version; }
  // The version in which the set of leaving hosts last changed.
  std::uint64_t LeavingVersion() const { return m_leavingVersion; }
  // The number of entry hosts in each failure domain of the fleet.
  const std::vector<std::size_t>& DomainSizes() const { return m_domainSizes; }

private:
  struct OwnHost
  {
    wire::HostRecord record;
    TimePoint receivedAt;
  };
  struct PeerView
  {
    wire::FleetView view;
    TimePoint receivedAt;
  };

  void Merge();

  std::map<HostId, OwnHost> m_ownHosts;
  std::map<HostId, PeerView> m_peerViews; // of other control hosts
  std::map<std::string, wire::HostRecord> m_allHosts;
  std::vector<std::size_t> m_domainSizes;
  std::uint64_t m_version = 1;
  std::set<std::string> m_leaving;
  std::uint64_t m_leavingVersion = 0;
  bool m_ownHostsChanged = false;
  TimePoint m_nextRefreshAt;
};

} // namespace fuchsiaramp
