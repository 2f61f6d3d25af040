// The backend servers of all services, merged from the records of all watchers.
//
// A server is in use while at least one live watcher reports its newest
// incarnation as not gone. It is leaving once any watcher of that incarnation
// reports so.
//
//   Directory directory(isWatcherAlive, onChanged);
//   directory.Update(record);
//   const BackendServer* server = directory.Find(id);
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "wire/messages.h"

namespace fuchsiaramp {

enum class ServerState
{
  kUp,
  kLeaving,
  kGone,
};

struct BackendServer
{
  BackendServerId id;
  ServiceName service;
  std::string address; // IP:port
  Region region;
  FailureDomain failureDomain;
  std::uint32_t slots = 1;
  std::uint32_t maxConnections = 400;
  std::uint64_t incarnation = 0;
  // Remaining warm-up time after the start; empty if the server reports none.
  std::optional<Duration> warmUpRemaining;
  ServerState state = ServerState::kUp;
};

class Directory
{
public:
  using WatcherAlive =
    std::function<bool(const HostId& aHost, std::uint64_t aIncarnation)>;
  using ChangedHook = std::function<void(const BackendServer&)>;

  Directory(WatcherAlive aWatcherAlive, ChangedHook aChanged);

  void Update(const wire::BackendServerRecord& aRecord);
  // Replaces the records of all watchers: a record from a control host is
  // authoritative and does not depend on whether any watcher is alive.
  void UpdateFromControl(const wire::BackendServerRecord& aRecord);
  // Re-evaluates the servers that aWatcher watches; call it after the state of
  // that host changed.
  void WatcherChanged(const HostId& aWatcher);
  // Marks the current incarnation of a server as leaving, after the server
  // announced this in a response.
  void MarkLeaving(const BackendServerId& aServer);

  const BackendServer* Find(const BackendServerId& aServer) const;
  const std::unordered_map<BackendServerId, BackendServer>& All() const
  {
    return m_servers;
  }

private:
  void Evaluate(const BackendServerId& aServer);
  void ForgetLeaving(const wire::BackendServerRecord& aRecord);

  WatcherAlive m_watcherAlive;
  ChangedHook m_changed;
  std::unordered_map<BackendServerId,
                     std::map<std::string, wire::BackendServerRecord>>
    m_watches;
  std::unordered_map<BackendServerId, std::uint64_t> m_leavingIncarnation;
  std::deque<BackendServerId> m_lapsedWhileLeaving; // oldest first
  std::unordered_map<BackendServerId, BackendServer> m_servers;
};

} // namespace fuchsiaramp
