// Which entry hosts are alive, as one control host knows it.
//
// Entry hosts show themselves to the control host that they pull from. Control
// hosts tell each other of theirs when something changed, and otherwise send
// only a digest now and then; a host that misses something asks for it.
//
//   FleetTable table(self, region);
//   table.Heard(record, now);
//   if (auto view = table.TakeNews(now)) { ... to the other control hosts ... }
//   for (const wire::HostRecord& host : table.Near()) { ... }
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
  // An entry host pulled from this host.
  void Heard(const wire::HostRecord& aRecord, TimePoint aNow);
  // Returns whether the sender must be asked for its whole view.
  bool HeardView(const HostId& aFrom,
                 const wire::FleetView& aView,
                 TimePoint aNow);
  // Forgets what has been silent for too long.
  void Tick(TimePoint aNow);

  // What the other control hosts should hear now, if anything.
  std::optional<wire::FleetView> TakeNews(TimePoint aNow);
  // The entry hosts that pull from this host.
  wire::FleetView OwnView() const;

  // All entry hosts of a region, by name.
  std::vector<wire::HostRecord> Near(const Region& aRegion) const;
  // Grows with each change of Near() or DomainSizes().
  std::uint64_t Version() const { return m_version; }
  // The version in which a host last began to leave.
  std::uint64_t LeavingVersion() const { return m_leavingVersion; }
  // How many entry hosts each failure domain of the fleet has.
  const std::vector<std::size_t>& DomainSizes() const { return m_domainSizes; }

private:
  struct OwnHost
  {
    wire::HostRecord record;
    TimePoint heardAt;
  };
  struct View
  {
    wire::FleetView view;
    TimePoint heardAt;
  };

  void Merge();

  std::map<HostId, OwnHost> m_own;
  std::map<HostId, View> m_views; // of other control hosts
  std::map<std::string, wire::HostRecord> m_all;
  std::vector<std::size_t> m_domainSizes;
  std::uint64_t m_version = 1;
  std::set<std::string> m_leaving;
  std::uint64_t m_leavingVersion = 0;
  bool m_news = false;
  TimePoint m_refreshAt;
};

} // namespace fuchsiaramp
