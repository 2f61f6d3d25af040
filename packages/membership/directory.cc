#include "membership/directory.h"

#include <algorithm>
#include <utility>

namespace fuchsiaramp {

// Key of the record from the control hosts; no host has an empty name.
static const std::string kControlWatcher;
// Bounds the memory for servers that never report again.
static constexpr std::size_t kMaxLapsedWhileLeaving = 10'000;

Directory::Directory(WatcherAlive aWatcherAlive, ChangedHook aChanged)
  : m_watcherAlive(std::move(aWatcherAlive))
  , m_changed(std::move(aChanged))
{
}

void
Directory::Update(const wire::BackendServerRecord& aRecord)
{
  const BackendServerId id(aRecord.id());
  m_watches[id][aRecord.watcher()] = aRecord;
  Evaluate(id);
}

void
Directory::UpdateFromControl(const wire::BackendServerRecord& aRecord)
{
  const BackendServerId id(aRecord.id());
  // Routers treat a server that moved to another service as a new server, so it
  // is reported as gone from the former service first.
  const auto existing = m_servers.find(id);
  if (existing != m_servers.end() &&
      existing->second.service.Value() != aRecord.service()) {
    BackendServer former = existing->second;
    former.state = ServerState::kGone;
    m_servers.erase(existing);
    m_changed(former);
  }
  m_watches[id].clear();
  m_watches[id][kControlWatcher] = aRecord;
  Evaluate(id);
  if (aRecord.state() == wire::BackendServerRecord::GONE) {
    m_watches.erase(id);
    ForgetLeaving(aRecord);
  }
}

// A server that only stopped reporting may report again as the same
// incarnation, which is still leaving.
void
Directory::ForgetLeaving(const wire::BackendServerRecord& aRecord)
{
  const BackendServerId id(aRecord.id());
  if (!aRecord.lapsed()) {
    m_leavingIncarnation.erase(id);
    return;
  }
  if (m_leavingIncarnation.count(id) == 0) {
    return;
  }
  m_lapsedWhileLeaving.push_back(id);
  if (m_lapsedWhileLeaving.size() > kMaxLapsedWhileLeaving) {
    const BackendServerId oldest = m_lapsedWhileLeaving.front();
    m_lapsedWhileLeaving.pop_front();
    if (m_servers.count(oldest) == 0) {
      m_leavingIncarnation.erase(oldest);
    }
  }
}

void
Directory::WatcherChanged(const HostId& aWatcher)
{
  std::vector<BackendServerId> affected;
  for (const auto& [id, watches] : m_watches) {
    if (watches.count(aWatcher.Value()) != 0) {
      affected.push_back(id);
    }
  }
  for (const BackendServerId& id : affected) {
    Evaluate(id);
  }
}

void
Directory::MarkLeaving(const BackendServerId& aServer)
{
  const auto it = m_servers.find(aServer);
  if (it != m_servers.end()) {
    m_leavingIncarnation[aServer] = it->second.incarnation;
    Evaluate(aServer);
  }
}

const BackendServer*
Directory::Find(const BackendServerId& aServer) const
{
  const auto it = m_servers.find(aServer);
  return it == m_servers.end() ? nullptr : &it->second;
}

void
Directory::Evaluate(const BackendServerId& aServer)
{
  const wire::BackendServerRecord* newest = nullptr;
  for (const auto& [watcher, record] : m_watches[aServer]) {
    if (!newest || record.incarnation() > newest->incarnation()) {
      newest = &record;
    }
  }
  if (!newest) {
    return;
  }
  const std::uint64_t incarnation = newest->incarnation();
  bool up = false;
  bool leaving = m_leavingIncarnation[aServer] == incarnation;
  for (const auto& [watcher, record] : m_watches[aServer]) {
    if (record.incarnation() != incarnation) {
      continue;
    }
    const bool alive =
      watcher == kControlWatcher ||
      m_watcherAlive(HostId(watcher), record.watcher_incarnation());
    up = up || (alive && record.state() != wire::BackendServerRecord::GONE);
    leaving = leaving || record.state() == wire::BackendServerRecord::LEAVING;
  }
  BackendServer server;
  server.id = aServer;
  server.service = ServiceName(newest->service());
  server.address = newest->address();
  server.region = Region(newest->region());
  server.failureDomain = FailureDomain(newest->failure_domain());
  server.slots = std::max(1U, newest->slots());
  server.maxConnections = newest->max_connections();
  server.incarnation = incarnation;
  if (newest->has_cold_us()) {
    server.warmUpRemaining = Duration(newest->cold_us());
  }
  server.state = !up       ? ServerState::kGone
                 : leaving ? ServerState::kLeaving
                           : ServerState::kUp;
  const auto existing = m_servers.find(aServer);
  const bool same = existing != m_servers.end() &&
                    existing->second.incarnation == server.incarnation &&
                    existing->second.state == server.state &&
                    existing->second.address == server.address &&
                    existing->second.slots == server.slots;
  const bool neverKnown =
    existing == m_servers.end() && server.state == ServerState::kGone;
  if (same || neverKnown) {
    return;
  }
  if (server.state == ServerState::kGone) {
    m_servers.erase(aServer);
  } else {
    m_servers[aServer] = server;
  }
  m_changed(server);
}

} // namespace fuchsiaramp
