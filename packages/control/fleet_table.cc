#include "control/fleet_table.h"

#include <utility>

#include "base/digest.h"

namespace fuchsiaramp {

// Entry hosts pull twice a second; three misses in a row.
static constexpr Duration kEntrySilence = std::chrono::milliseconds(1800);
static constexpr Duration kRefresh = std::chrono::seconds(5);
// Views of a control host that missed two refreshes are dropped: its entry
// hosts have turned to others by then.
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
FleetTable::Heard(const wire::HostRecord& aRecord, TimePoint aNow)
{
  OwnHost& host = m_own[HostId(aRecord.host())];
  const bool same =
    host.record.SerializeAsString() == aRecord.SerializeAsString();
  host.heardAt = aNow;
  if (!same) {
    host.record = aRecord;
    m_news = true;
    Merge();
  }
}

wire::FleetView
FleetTable::OwnView() const
{
  wire::FleetView view;
  for (const auto& [id, host] : m_own) {
    *view.add_hosts() = host.record;
  }
  view.set_digest(DigestOf(view));
  view.set_whole(true);
  return view;
}

bool
FleetTable::HeardView(const HostId& aFrom,
                      const wire::FleetView& aView,
                      TimePoint aNow)
{
  View& known = m_views[aFrom];
  known.heardAt = aNow;
  const bool same = known.view.digest() == aView.digest();
  if (aView.whole() && !same) {
    known.view = aView;
    Merge();
  }
  return !same && !aView.whole();
}

void
FleetTable::Tick(TimePoint aNow)
{
  const auto dropped = std::erase_if(m_own, [&](const auto& aItem) {
    return IsDue(aItem.second.heardAt + kEntrySilence, aNow);
  });
  const auto lapsed = std::erase_if(m_views, [&](const auto& aItem) {
    return IsDue(aItem.second.heardAt + kViewLifetime, aNow);
  });
  m_news = m_news || dropped > 0;
  if (dropped + lapsed > 0) {
    Merge();
  }
}

std::optional<wire::FleetView>
FleetTable::TakeNews(TimePoint aNow)
{
  if (m_news) {
    m_news = false;
    m_refreshAt = aNow + kRefresh;
    return OwnView();
  }
  if (!IsDue(m_refreshAt, aNow)) {
    return std::nullopt;
  }
  m_refreshAt = aNow + kRefresh;
  wire::FleetView refresh;
  refresh.set_digest(OwnView().digest());
  return refresh;
}

// A host that changed over to another control host stands in two views for a
// moment; its own newest word counts, and that it leaves counts always.
void
FleetTable::Merge()
{
  m_all.clear();
  const auto add = [&](const wire::HostRecord& aRecord) {
    wire::HostRecord& record = m_all[aRecord.host()];
    const auto rank = [](const wire::HostRecord& aHost) {
      return std::pair(aHost.incarnation(),
                       aHost.state() == wire::HostRecord::LEAVING);
    };
    if (record.host().empty() || rank(record) < rank(aRecord)) {
      record = aRecord;
    }
  };
  for (const auto& [id, view] : m_views) {
    for (const wire::HostRecord& record : view.view.hosts()) {
      add(record);
    }
  }
  for (const auto& [id, host] : m_own) {
    add(host.record);
  }
  std::map<std::string, std::size_t> sizes;
  std::set<std::string> leaving;
  for (const auto& [host, record] : m_all) {
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
FleetTable::Near(const Region& aRegion) const
{
  std::vector<wire::HostRecord> hosts;
  for (const auto& [host, record] : m_all) {
    if (record.region() == aRegion.Value()) {
      hosts.push_back(record);
    }
  }
  return hosts;
}

} // namespace fuchsiaramp
