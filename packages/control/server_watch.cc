#include "control/server_watch.h"

#include <utility>

namespace fuchsiaramp {

ServerWatch::ServerWatch(HostId aSelf, Duration aLifetime)
  : m_self(std::move(aSelf))
  , m_lifetime(aLifetime)
{
}

void
ServerWatch::RecordRenewal(const wire::BackendServerRecord& aRecord,
                           TimePoint aNow)
{
  m_expiresAt[aRecord.id()] = aNow + m_lifetime;
}

// A watched server from which this host has received no renewal yet, for
// instance after a restart, gets a full lifetime to renew.
std::vector<wire::BackendServerRecord>
ServerWatch::TakeExpired(const ServersState& aServers,
                         const std::function<bool(const HostId&)>& aWatchesFor,
                         TimePoint aNow)
{
  std::vector<wire::BackendServerRecord> expired;
  std::unordered_map<std::string, TimePoint> watched;
  for (const wire::BackendServerRecord* server : aServers.Live()) {
    const HostId watcher(server->watcher());
    if (watcher != m_self && !aWatchesFor(watcher)) {
      continue;
    }
    const auto existing = m_expiresAt.find(server->id());
    const TimePoint expiresAt =
      existing == m_expiresAt.end() ? aNow + m_lifetime : existing->second;
    watched[server->id()] = expiresAt;
    if (IsDue(expiresAt, aNow)) {
      expired.push_back(WithoutReports(*server));
      watched[server->id()] = aNow + m_lifetime;
    }
  }
  m_expiresAt = std::move(watched);
  return expired;
}

} // namespace fuchsiaramp
