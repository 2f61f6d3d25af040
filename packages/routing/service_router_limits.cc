// The limits that backend servers name: what this host may send them, and what
// it tells other hosts about them.
#include <algorithm>

#include "routing/rendezvous.h"
#include "routing/service_router.h"

namespace fuchsiaramp {

// Hosts that have no share of a limit learn from these reports that it stands.
static constexpr Duration kLimitReportInterval = std::chrono::seconds(4);

void
ServiceRouter::OnLimitNotice(ServerView& aView,
                             const AttemptReport& aReport,
                             TimePoint aNow)
{
  if (!aReport.limitNotice) {
    return;
  }
  const LimitReport report{ aView.server.id,
                            aView.server.incarnation,
                            aReport.limitNotice->rate };
  const bool changed = report.rate
                         ? aView.limit.OnNamed(*report.rate, aNow)
                         : aView.limit.OnNotNamed(aNow - aReport.latency, aNow);
  UpdateLimitRank(aView, aNow);
  if (changed) {
    OnLimitChanged(aView, report, "response", aNow);
  }
  const bool confirms = report.rate && aView.limit.IsInForce(aNow) &&
                        IsDue(aView.nextLimitReportAt, aNow);
  if (changed || confirms) {
    m_limitReports[report.server] = report;
    aView.nextLimitReportAt = aNow + kLimitReportInterval;
  }
}

void
ServiceRouter::OnLimitReport(const LimitReport& aReport, TimePoint aNow)
{
  const auto it = m_servers.find(aReport.server);
  if (it == m_servers.end() ||
      it->second.server.incarnation != aReport.incarnation) {
    return;
  }
  ServerView& view = it->second;
  const bool changed = aReport.rate ? view.limit.OnNamed(*aReport.rate, aNow)
                                    : view.limit.OnEnded(aNow);
  UpdateLimitRank(view, aNow);
  view.nextLimitReportAt = aNow + kLimitReportInterval;
  if (changed) {
    OnLimitChanged(view, aReport, "peer", aNow);
  }
}

void
ServiceRouter::OnLimitChanged(ServerView& aView,
                              const LimitReport& aReport,
                              const char* aSource,
                              TimePoint aNow)
{
  Event event(aReport.rate ? "server_limited" : "server_limit_ended");
  event.Add("server", aReport.server);
  event.Add("source", aSource);
  if (aReport.rate) {
    event.Add("per_second", aReport.rate->perSecond);
    event.Add("own_per_second", aView.limit.OwnRate(aNow).perSecond);
  }
  m_record(event);
}

std::vector<LimitReport>
ServiceRouter::TakeLimitReports()
{
  std::vector<LimitReport> reports;
  for (const auto& [server, report] : m_limitReports) {
    reports.push_back(report);
  }
  m_limitReports.clear();
  return reports;
}

std::vector<HostId>
ServiceRouter::LimitHosts(const ServerView& aView) const
{
  if (m_options.usesHealthEstimates && m_hasCell) {
    if (!aView.inCell) {
      return {};
    }
    std::vector<HostId> hosts = m_cell.peers;
    if (m_cell.containsSelf) {
      hosts.push_back(m_options.self);
    }
    return hosts;
  }
  return m_options.limitHosts ? m_options.limitHosts(aView.server)
                              : std::vector<HostId>{ m_options.self };
}

// Ranks are computed only for servers with a limit, since they cost a hash for
// each host.
void
ServiceRouter::UpdateLimitRank(ServerView& aView, TimePoint aNow)
{
  if (aView.limitHostsVersion == m_limitHostsVersion ||
      !aView.limit.IsInForce(aNow)) {
    return;
  }
  aView.limitHostsVersion = m_limitHostsVersion;
  const std::vector<HostId> hosts = LimitHosts(aView);
  const bool shares =
    std::find(hosts.begin(), hosts.end(), m_options.self) != hosts.end();
  const std::size_t rank =
    RendezvousRank(aView.server.id.Value(), m_options.self, hosts);
  aView.limit.SetRank(
    shares ? std::optional(rank) : std::nullopt, hosts.size(), aNow);
}

bool
ServiceRouter::WasLimitedSince(const BackendServerId& aServer,
                               TimePoint aReservedAt,
                               TimePoint aNow) const
{
  const auto it = m_servers.find(aServer);
  return it != m_servers.end() && it->second.limit.IsInForce(aNow) &&
         it->second.limit.NamedSince() > aReservedAt;
}

std::optional<LimitedCapacity>
ServiceRouter::CapacityIfAllLimited(TimePoint aNow) const
{
  LimitedCapacity capacity;
  capacity.nextAt = kNever;
  bool anyLimited = false;
  for (const ServerView* view : m_subset) {
    if (!IsUsable(*view, aNow)) {
      continue;
    }
    if (!view->limit.IsInForce(aNow)) {
      return std::nullopt;
    }
    anyLimited = true;
    capacity.ownRate.perSecond += view->limit.OwnRate(aNow).perSecond;
    capacity.totalRate.perSecond += view->limit.TotalRate(aNow).perSecond;
    capacity.nextAt = std::min(capacity.nextAt, view->limit.NextAt(aNow));
  }
  return anyLimited ? std::optional(capacity) : std::nullopt;
}

std::size_t
ServiceRouter::LimitedServers(TimePoint aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    m_servers.begin(), m_servers.end(), [aNow](const auto& aItem) {
      return aItem.second.limit.IsInForce(aNow);
    }));
}

} // namespace fuchsiaramp
