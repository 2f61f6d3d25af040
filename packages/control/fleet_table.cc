#include "control/fleet_table.h"

#include <tuple>
#include <utility>

#include "base/digest.h"

namespace fuchsiaramp {

// Entry hosts pull twice a second; they expire after three missed pulls in a
// row.
static constexpr Duration kEntryHostTimeout = std::chrono::milliseconds(1800);
static constexpr Duration kRefreshInterval = std::chrono::seconds(2);
// The view of a control host expires after two missed refreshes: by then, its
// entry hosts pull from other control hosts, and those that do not are off.
static constexpr Duration kViewLifetime = std::chrono::seconds(5);

// In a fleet of hundreds of hosts a merge takes milliseconds, and many hosts
// change together.
static constexpr Duration kMergeInterval = std::chrono::milliseconds(100);
static constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);

// With as many hosts as this, a failure domain provides the peers that its
// hosts need, and lists of the region would cost more than they are worth.
static constexpr std::size_t kMinHostsOfDomainView = 32;

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
    MergeWhenDue(aNow);
  }
}

void
FleetTable::MergeWhenDue(TimePoint aNow)
{
  m_isStale = true;
  if (IsDue(m_nextMergeAt, aNow)) {
    m_isStale = false;
    m_nextMergeAt = aNow + kMergeInterval;
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

// Keeps the hosts sorted, as they are in whole views.
static void
ApplyChanges(const wire::FleetView& aChanges, wire::FleetView& aView)
{
  std::map<std::string, wire::HostRecord> hosts;
  for (const wire::HostRecord& host : aView.hosts()) {
    hosts[host.host()] = host;
  }
  for (const std::string& host : aChanges.removed()) {
    hosts.erase(host);
  }
  for (const wire::HostRecord& host : aChanges.hosts()) {
    hosts[host.host()] = host;
  }
  aView.clear_hosts();
  for (auto& [name, host] : hosts) {
    *aView.add_hosts() = std::move(host);
  }
  aView.set_digest(aChanges.digest());
}

bool
FleetTable::UpdateView(const HostId& aFrom,
                       const wire::FleetView& aView,
                       TimePoint aNow)
{
  PeerView& existing = m_peerViews[aFrom];
  existing.receivedAt = aNow;
  if (existing.view.digest() == aView.digest()) {
    return false;
  }
  if (aView.whole()) {
    existing.view = aView;
  } else if (aView.base_digest() == 0 ||
             aView.base_digest() != existing.view.digest()) {
    return true;
  } else {
    ApplyChanges(aView, existing.view);
  }
  MergeWhenDue(aNow);
  return false;
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
  m_isStale = m_isStale || expiredHosts + expiredViews > 0;
  if (m_isStale) {
    MergeWhenDue(aNow);
  }
}

wire::FleetView
FleetTable::ChangesOfOwnView()
{
  wire::FleetView view;
  std::map<std::string, std::string> records;
  for (const auto& [id, host] : m_ownHosts) {
    std::string record = host.record.SerializeAsString();
    const auto sent = m_sentRecords.find(id.Value());
    if (sent == m_sentRecords.end() || sent->second != record) {
      *view.add_hosts() = host.record;
    }
    records.emplace(id.Value(), std::move(record));
  }
  for (const auto& [host, record] : m_sentRecords) {
    if (records.count(host) == 0) {
      view.add_removed(host);
    }
  }
  view.set_whole(m_sentDigest == 0);
  view.set_base_digest(m_sentDigest);
  m_sentRecords = std::move(records);
  m_sentDigest = OwnView().digest();
  view.set_digest(m_sentDigest);
  return view;
}

std::optional<wire::FleetView>
FleetTable::TakeUpdate(TimePoint aNow)
{
  if (m_ownHostsChanged && IsDue(m_nextUpdateAt, aNow)) {
    m_ownHostsChanged = false;
    m_nextUpdateAt = aNow + kUpdateInterval;
    m_nextRefreshAt = aNow + kRefreshInterval;
    return ChangesOfOwnView();
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
// incarnation, a leaving record wins, then the newest revision.
void
FleetTable::Merge()
{
  m_allHosts.clear();
  const auto add = [&](const wire::HostRecord& aRecord) {
    wire::HostRecord& record = m_allHosts[aRecord.host()];
    const auto rank = [](const wire::HostRecord& aHost) {
      return std::tuple(aHost.incarnation(),
                        aHost.state() == wire::HostRecord::LEAVING,
                        aHost.revision());
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
  m_hostsByDomain.clear();
  for (const auto& [host, record] : m_allHosts) {
    ++m_hostsByDomain[record.failure_domain()];
  }
  m_domainSizes.clear();
  for (const auto& [domain, size] : m_hostsByDomain) {
    m_domainSizes.push_back(size);
  }
  ++m_version;
  UpdateScopes(m_domains, [](const wire::HostRecord& aRecord) {
    return aRecord.failure_domain();
  });
  UpdateScopes(m_regions, [](const wire::HostRecord& aRecord) {
    return aRecord.region();
  });
}

void
FleetTable::UpdateScopes(
  Scopes& aScopes,
  const std::function<std::string(const wire::HostRecord&)>& aNameOf)
{
  Scopes current;
  for (const auto& [host, record] : m_allHosts) {
    Scope& scope = current[aNameOf(record)];
    scope.digest = Hash64(record.SerializeAsString(), scope.digest);
    if (record.state() == wire::HostRecord::LEAVING || record.cut_off()) {
      scope.withdrawn.insert(host);
    }
  }
  for (auto& [name, before] : aScopes) {
    current.try_emplace(name);
  }
  for (auto& [name, scope] : current) {
    const Scope& before = aScopes[name];
    scope.version = scope.digest == before.digest ? before.version : m_version;
    scope.withdrawnVersion =
      scope.withdrawn == before.withdrawn ? before.withdrawnVersion : m_version;
  }
  aScopes = std::move(current);
}

bool
FleetTable::IsDomainView(const FailureDomain& aDomain) const
{
  const auto it = m_hostsByDomain.find(aDomain.Value());
  return it != m_hostsByDomain.end() && it->second >= kMinHostsOfDomainView;
}

const FleetTable::Scope&
FleetTable::ScopeNear(const Region& aRegion, const FailureDomain& aDomain) const
{
  static const Scope kNone;
  const bool domainView = IsDomainView(aDomain);
  const Scopes& scopes = domainView ? m_domains : m_regions;
  const auto it = scopes.find(domainView ? aDomain.Value() : aRegion.Value());
  return it == scopes.end() ? kNone : it->second;
}

std::vector<wire::HostRecord>
FleetTable::HostsNear(const Region& aRegion, const FailureDomain& aDomain) const
{
  std::vector<wire::HostRecord> hosts = HostsInRegion(aRegion);
  if (IsDomainView(aDomain)) {
    std::erase_if(hosts, [&](const wire::HostRecord& aHost) {
      return aHost.failure_domain() != aDomain.Value();
    });
  }
  return hosts;
}

std::uint64_t
FleetTable::NearVersion(const Region& aRegion,
                        const FailureDomain& aDomain) const
{
  return ScopeNear(aRegion, aDomain).version;
}

std::uint64_t
FleetTable::NearWithdrawnVersion(const Region& aRegion,
                                 const FailureDomain& aDomain) const
{
  return ScopeNear(aRegion, aDomain).withdrawnVersion;
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
