#include "control/server_watch.h"

#include <utility>

namespace fuchsiaramp {

ServerWatch::ServerWatch(HostId aSelf, Duration aLifetime)
  : m_self(std::move(aSelf))
  , m_lifetime(aLifetime)
{
}

void
ServerWatch::Heard(const wire::BackendServerRecord& aRecord, TimePoint aNow)
{
  m_silentAt[aRecord.id()] = aNow + m_lifetime;
}

// A server that this host should watch without having heard from it, as after
// a restart, gets a whole lifetime to renew.
std::vector<wire::BackendServerRecord>
ServerWatch::TakeSilent(const ServersState& aServers,
                        const std::function<bool(const HostId&)>& aStandsIn,
                        TimePoint aNow)
{
  std::vector<wire::BackendServerRecord> silent;
  std::unordered_map<std::string, TimePoint> watched;
  for (const wire::BackendServerRecord* server : aServers.Live()) {
    const HostId watcher(server->watcher());
    if (watcher != m_self && !aStandsIn(watcher)) {
      continue;
    }
    const auto known = m_silentAt.find(server->id());
    const TimePoint silentAt =
      known == m_silentAt.end() ? aNow + m_lifetime : known->second;
    watched[server->id()] = silentAt;
    if (IsDue(silentAt, aNow)) {
      wire::BackendServerRecord record = *server;
      record.set_state(wire::BackendServerRecord::GONE);
      record.set_lapsed(true);
      silent.push_back(record);
      watched[server->id()] = aNow + m_lifetime;
    }
  }
  m_silentAt = std::move(watched);
  return silent;
}

} // namespace fuchsiaramp
