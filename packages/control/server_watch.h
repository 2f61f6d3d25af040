// Tracks renewals on a control host and finds the backend servers whose
// registration has expired.
//
// A server renews with one control host at a time, its watcher, which the table
// of servers names. The leader takes over from a watcher that it cannot reach.
//
//   ServerWatch watch(self, lifetime);
//   watch.RecordRenewal(record, now);
//   auto expired = watch.TakeExpired(servers, watchesFor, now);
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
  // aLifetime: the longest time between two renewals of a server.
  ServerWatch(HostId aSelf, Duration aLifetime);

  void RecordRenewal(const wire::BackendServerRecord& aRecord, TimePoint aNow);

  // Returns the records of the expired servers, marked as gone. Those that were
  // not leaving are marked as lapsed, too.
  // aWatchesFor returns whether this host takes over from the given watcher.
  std::vector<wire::BackendServerRecord> TakeExpired(
    const ServersState& aServers,
    const std::function<bool(const HostId&)>& aWatchesFor,
    TimePoint aNow);

private:
  HostId m_self;
  Duration m_lifetime;
  std::unordered_map<std::string, TimePoint> m_expiresAt; // by server
};

} // namespace fuchsiaramp
