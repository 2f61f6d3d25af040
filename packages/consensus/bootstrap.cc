#include "consensus/bootstrap.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace fuchsiaramp {

static constexpr Duration kReportLifetime = std::chrono::seconds(2);

Bootstrap::Bootstrap(MemberId aSelf, std::vector<HostId> aHosts)
  : m_self(std::move(aSelf))
  , m_hosts(std::move(aHosts))
{
}

// Replies echo the disk id of the probing host. A reply to a previous disk of
// this host is ignored.
void
Bootstrap::OnReply(const HostId& aFrom,
                   const wire::RaftMessage& aReply,
                   TimePoint aNow)
{
  if (aReply.to_disk() != m_self.diskId) {
    return;
  }
  m_reports[aFrom] = { aReply.from_disk(),
                       aReply.blank(),
                       aNow + kReportLifetime };
}

bool
Bootstrap::IsUnanimous(TimePoint aNow) const
{
  return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const HostId& aHost) {
    if (aHost == m_self.host) {
      return true;
    }
    const auto it = m_reports.find(aHost);
    return it != m_reports.end() && it->second.emptyDisk &&
           !IsDue(it->second.validUntil, aNow);
  });
}

wire::Configuration
Bootstrap::InitialConfiguration() const
{
  std::vector<HostId> hosts = m_hosts;
  std::sort(hosts.begin(), hosts.end());
  wire::Configuration configuration;
  for (const HostId& host : hosts) {
    wire::Member* member = configuration.add_members();
    member->set_host(host.Value());
    member->set_voter(true);
    member->set_disk_id(host == m_self.host ? m_self.diskId
                                            : m_reports.at(host).diskId);
  }
  return configuration;
}

std::uint64_t
Bootstrap::ClusterIdOf(const wire::Configuration& aConfiguration)
{
  std::string text;
  for (const wire::Member& member : aConfiguration.members()) {
    text += ToText(IdOf(member)) + ' ';
  }
  return std::max<std::uint64_t>(Hash64(text), 1);
}

} // namespace fuchsiaramp
