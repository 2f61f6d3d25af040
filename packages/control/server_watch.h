// Tells a control host which backend servers have been silent for too long.
//
// A server renews with one control host at a time, its watcher, which the table
// of servers names. A watcher that cannot be reached is stood in for by the
// leader.
//
//   ServerWatch watch(self, lifetime);
//   watch.Heard(record, now);
//   for (const auto& record : watch.TakeSilent(servers, standsIn, now)) { ... }
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "state/servers_state.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class ServerWatch
{
public:
  // aLifetime: how long a server may be silent.
  ServerWatch(HostId aSelf, Duration aLifetime);

  void Heard(const wire::BackendServerRecord& aRecord, TimePoint aNow);

  // The records of servers whose silence became too long, marked as lapsed.
  // aStandsIn says whether this host watches for another one.
  std::vector<wire::BackendServerRecord> TakeSilent(
    const ServersState& aServers,
    const std::function<bool(const HostId&)>& aStandsIn,
    TimePoint aNow);

private:
  HostId m_self;
  Duration m_lifetime;
  std::unordered_map<std::string, TimePoint> m_silentAt; // by server
};

} // namespace fuchsiaramp
