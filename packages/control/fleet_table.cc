#include "control/fleet_table.h"

#include <utility>

#include "base/digest.h"

namespace fuchsiaramp {

// Entry hosts pull twice a second; they expire after three missed pulls in a
// row.
static constexpr Duration kEntryHostTimeout = std::chrono::milliseconds(1800);
static constexpr Duration kRefreshInterval = std::chrono::seconds(5);
// The view of a control host expires after two missed refreshes: by then, its
// entry hosts pull from other control hosts.
static constexpr Duration kViewLifetime = std::chrono::seconds(12);

static std::uint64_t
DigestOf(const wire::FleetView& aView)
{
  std::uint64_t digest = 1;
  for (const wire::HostRecord& host : aView.hosts()) {
    digest = Hash64(host.SerializeAsString(), digest);
  }
  return digest;
}

void
FleetTable::UpdateHost(const wire::HostRecord& aRecord, TimePoint aNow)
{
  OwnHost& host = m_ownHosts[HostId(aRecord.host())];
  const bool same =
    host.record.SerializeAsString() == aRecord.SerializeAsString();
  host.receivedAt = aNow;
  if (!same) {
    host.record = aRecord;
    m_ownHostsChanged = true;
    Merge();
  }
}

wire::FleetView
FleetTable::OwnView() const
{
  wire::FleetView view;
  for (const auto& [id, host] : m_ownHosts) {
    *view.add_hosts() = host.record;
  }
  view.set_digest(DigestOf(view));
  view.set_whole(true);
  return view;
}

bool
FleetTable::UpdateView(const HostId& aFrom,
                       const wire::FleetView& aView,
                       TimePoint aNow)
{
  PeerView& existing = m_peerViews[aFrom];
  existing.receivedAt = aNow;
  const bool same = existing.view.digest() == aView.digest();
  if (aView.whole() && !same) {
    existing.view = aView;
    Merge();
  }
  return !same && !aView.whole();
}

void
FleetTable::Tick(TimePoint aNow)
{
  const auto expiredHosts = std::erase_if(m_ownHosts, [&](const auto& aItem) {
    return IsDue(aItem.second.receivedAt + kEntryHostTimeout, aNow);
  });
  const auto expiredViews = std::erase_if(m_peerViews, [&](const auto& aItem) {
    return IsDue(aItem.second.receivedAt + kViewLifetime, aNow);
  });
  m_ownHostsChanged = m_ownHostsChanged || expiredHosts > 0;
  if (expiredHosts + expiredViews > 0) {
    Merge();
  }
}

std::optional<wire::FleetView>
FleetTable::TakeUpdate(TimePoint aNow)
{
  if (m_ownHostsChanged) {
    m_ownHostsChanged = false;
    m_nextRefreshAt = aNow + kRefreshInterval;
    return OwnView();
  }
  if (!IsDue(m_nextRefreshAt, aNow)) {
    return std::nullopt;
  }
  m_nextRefreshAt = aNow + kRefreshInterval;
  wire::FleetView refresh;
  refresh.set_digest(OwnView().digest());
  return refresh;
}

// An entry host that switches to another control host is in two views for a
// short time. The record with the newest incarnation wins; within an
// incarnation, a leaving record wins.
void
FleetTable::Merge()
{
  m_allHosts.clear();
  const auto add = [&](const wire::HostRecord& aRecord) {
    wire::HostRecord& record = m_allHosts[aRecord.host()];
    const auto rank = [](const wire::HostRecord& aHost) {
      return std::pair(aHost.incarnation(),
                       aHost.state() == wire::HostRecord::LEAVING);
    };
    if (record.host().empty() || rank(record) < rank(aRecord)) {
      record = aRecord;
    }
  };
  for (const auto& [id, view] : m_peerViews) {
    for (const wire::HostRecord& record : view.view.hosts()) {
      add(record);
    }
  }
  for (const auto& [id, host] : m_ownHosts) {
    add(host.record);
  }
  std::map<std::string, std::size_t> sizes;
  std::set<std::string> leaving;
  for (const auto& [host, record] : m_allHosts) {
    ++sizes[record.failure_domain()];
    if (record.state() == wire::HostRecord::LEAVING) {
      leaving.insert(host);
    }
  }
  m_domainSizes.clear();
  for (const auto& [domain, size] : sizes) {
    m_domainSizes.push_back(size);
  }
  ++m_version;
  if (leaving != m_leaving) {
    m_leaving = std::move(leaving);
    m_leavingVersion = m_version;
  }
}

std::vector<wire::HostRecord>
FleetTable::HostsInRegion(const Region& aRegion) const
{
  std::vector<wire::HostRecord> hosts;
  for (const auto& [host, record] : m_allHosts) {
    if (record.region() == aRegion.Value()) {
      hosts.push_back(record);
    }
  }
  return hosts;
}

} // namespace fuchsiaramp
