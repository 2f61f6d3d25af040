// The backend servers of each service, as the merged view of all watches.
//
// A server is in use while at least one live watcher says that it is up; it is
// leaving as soon as any watcher of its newest incarnation says so.
//
//   directory.Update(record, IsWatcherAlive);
//   for (const BackendServer& server : directory.ServersOf(service)) { ... }
#pragma once

#include <cstdint>
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
  // How much longer it is slow after its start; empty when it did not say.
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
  // What control says of a server counts alone: watchers are not asked.
  void UpdateFromControl(const wire::BackendServerRecord& aRecord);
  // Re-evaluates the servers that a host watches after its state changed.
  void WatcherChanged(const HostId& aWatcher);
  // The server itself said in an answer that it is leaving.
  void MarkLeaving(const BackendServerId& aServer);

  const BackendServer* Find(const BackendServerId& aServer) const;
  const std::unordered_map<BackendServerId, BackendServer>& All() const
  {
    return m_servers;
  }

private:
  void Evaluate(const BackendServerId& aServer);

  WatcherAlive m_watcherAlive;
  ChangedHook m_changed;
  std::unordered_map<BackendServerId,
                     std::map<std::string, wire::BackendServerRecord>>
    m_watches;
  std::unordered_map<BackendServerId, std::uint64_t> m_leavingIncarnation;
  std::unordered_map<BackendServerId, BackendServer> m_servers;
};

} // namespace fuchsiaramp
