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
//   for (const auto& host : table.HostsNear(region, domain)) { ... }
#pragma once

#include <cstdint>
#include <functional>
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
  // Removes entry hosts and views that were not renewed in time, and merges
  // changes that came close together.
  void Tick(TimePoint aNow);

  // Returns the update that is due for the other control hosts, if any.
  std::optional<wire::FleetView> TakeUpdate(TimePoint aNow);
  // The full view of the entry hosts that pull from this host.
  wire::FleetView OwnView() const;

  // All entry hosts of a region, sorted by name.
  std::vector<wire::HostRecord> HostsInRegion(const Region& aRegion) const;
  // The entry hosts that an entry host of the failure domain needs to know:
  // those of the domain if they are many, otherwise those of the region.
  std::vector<wire::HostRecord> HostsNear(const Region& aRegion,
                                          const FailureDomain& aDomain) const;
  // The version in which HostsNear() last changed.
  std::uint64_t NearVersion(const Region& aRegion,
                            const FailureDomain& aDomain) const;
  // The version in which a host of HostsNear() last began or ended to leave.
  std::uint64_t NearWithdrawnVersion(const Region& aRegion,
                                     const FailureDomain& aDomain) const;
  // Increases with each change of the table.
  std::uint64_t Version() const { return m_version; }
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

  // The hosts of a failure domain or region.
  struct Scope
  {
    std::uint64_t digest = 0;
    std::uint64_t version = 0;
    // Hosts that callers must not use: they leave or are cut off.
    std::set<std::string> withdrawn;
    std::uint64_t withdrawnVersion = 0;
  };
  using Scopes = std::map<std::string, Scope>;

  // Merges now or, if the last merge was recent, later.
  void MergeWhenDue(TimePoint aNow);
  void Merge();
  wire::FleetView ChangesOfOwnView();
  void UpdateScopes(
    Scopes& aScopes,
    const std::function<std::string(const wire::HostRecord&)>& aNameOf);
  bool IsDomainView(const FailureDomain& aDomain) const;
  const Scope& ScopeNear(const Region& aRegion,
                         const FailureDomain& aDomain) const;

  std::map<HostId, OwnHost> m_ownHosts;
  std::map<HostId, PeerView> m_peerViews; // of other control hosts
  std::map<std::string, wire::HostRecord> m_allHosts;
  std::vector<std::size_t> m_domainSizes;
  std::uint64_t m_version = 1;
  Scopes m_domains;
  Scopes m_regions;
  std::map<std::string, std::size_t> m_hostsByDomain;
  bool m_isStale = false; // changes are not merged yet
  TimePoint m_nextMergeAt;
  bool m_ownHostsChanged = false;
  TimePoint m_nextUpdateAt;
  TimePoint m_nextRefreshAt;
  // The own view that was last sent: serialized records by host.
  std::map<std::string, std::string> m_sentRecords;
  std::uint64_t m_sentDigest = 0; // 0 if none was sent
};

} // namespace fuchsiaramp
