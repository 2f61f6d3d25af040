#include "state/servers_state.h"

#include <utility>

namespace fuchsiaramp {

// GONE servers are retained so that their late reports are recognized, and so
// that followers receive the removal.
static constexpr std::size_t kMaxGoneServers = 20'000;

using Record = wire::BackendServerRecord;

bool
NamesNoIncarnation(const Record& aRecord)
{
  return aRecord.state() == Record::GONE && !aRecord.lapsed() &&
         aRecord.service().empty() && aRecord.incarnation() == 0;
}

Record
WithoutReports(const Record& aServer)
{
  Record ended = aServer;
  ended.set_state(Record::GONE);
  ended.set_lapsed(aServer.state() == Record::UP);
  return ended;
}

const Record*
ServersState::Find(const std::string& aId) const
{
  const auto it = m_servers.find(aId);
  return it == m_servers.end() ? nullptr : &it->second.record;
}

const Record*
ServersState::FindHolder(const std::string& aAddress) const
{
  const auto holder = m_holderOfAddress.find(aAddress);
  const Record* record =
    holder == m_holderOfAddress.end() ? nullptr : Find(holder->second);
  const bool holds = record != nullptr && record->state() != Record::GONE &&
                     record->address() == aAddress;
  return holds ? record : nullptr;
}

std::vector<const Record*>
ServersState::Live() const
{
  std::vector<const Record*> live;
  for (const auto& [id, entry] : m_servers) {
    if (entry.record.state() != Record::GONE) {
      live.push_back(&entry.record);
    }
  }
  return live;
}

// Reports carry a sequence number (the revision) that restarts with each
// incarnation. The incarnation number is the start time of the server.
bool
ServersState::IsOutdated(const Record& aRecord) const
{
  const Record* existing = Find(aRecord.id());
  if (existing != nullptr) {
    if (aRecord.incarnation() != existing->incarnation()) {
      return aRecord.incarnation() < existing->incarnation();
    }
    const bool ended = existing->state() == Record::GONE && !existing->lapsed();
    if (aRecord.lapsed() && aRecord.watcher() != existing->watcher()) {
      return true; // the server has moved to another watcher
    }
    const bool isDeregistration =
      aRecord.state() == Record::GONE && !aRecord.lapsed();
    // A deregistration has no sequence number and ends its incarnation no
    // matter when it arrives.
    return ended ||
           (!isDeregistration && aRecord.revision() < existing->revision());
  }
  return false;
}

static bool
IsSameForFollowers(const Record& aExisting, const Record& aRecord)
{
  return aExisting.incarnation() == aRecord.incarnation() &&
         aExisting.state() == aRecord.state() &&
         aExisting.lapsed() == aRecord.lapsed() &&
         aExisting.service() == aRecord.service() &&
         aExisting.address() == aRecord.address() &&
         aExisting.failure_domain() == aRecord.failure_domain() &&
         aExisting.slots() == aRecord.slots();
}

static bool
HasSameContent(const Record& aExisting, const Record& aRecord)
{
  return IsSameForFollowers(aExisting, aRecord) &&
         aExisting.watcher() == aRecord.watcher();
}

// Merges a report into the existing record. An incarnation that is LEAVING
// never returns to UP. A report without a service updates only the state, the
// watcher and whether the server expired.
static Record
Merged(const Record* aExisting, const Record& aRecord)
{
  Record merged = aRecord;
  if (aExisting == nullptr ||
      aExisting->incarnation() != aRecord.incarnation()) {
    return merged;
  }
  if (merged.service().empty()) {
    merged = *aExisting;
    merged.set_state(aRecord.state());
    merged.set_lapsed(aRecord.lapsed());
    merged.set_watcher(aRecord.watcher());
  }
  if (aExisting->state() == Record::LEAVING && merged.state() == Record::UP) {
    merged.set_state(Record::LEAVING);
  }
  return merged;
}

bool
ServersState::WouldChange(const Record& aRecord) const
{
  if (IsOutdated(aRecord)) {
    return false;
  }
  const Record* existing = Find(aRecord.id());
  return existing == nullptr ||
         !HasSameContent(*existing, Merged(existing, aRecord));
}

wire::CommandResult
ServersState::Report(const Record& aRecord)
{
  wire::CommandResult result;
  if (IsOutdated(aRecord)) {
    result.set_code(wire::CommandResult::STALE_ATTEMPT);
    return result;
  }
  const Record* existing = Find(aRecord.id());
  // The report changes the state of a server that is not in the table.
  const bool unknownServer = existing == nullptr && aRecord.service().empty();
  if (!unknownServer && WouldChange(aRecord)) {
    Put(Merged(existing, aRecord));
  }
  return result;
}

void
ServersState::Put(const Record& aRecord)
{
  Entry& entry = m_servers[aRecord.id()];
  const bool wasGone =
    entry.changedAt != 0 && entry.record.state() == Record::GONE;
  const bool sameForFollowers =
    entry.changedAt != 0 && IsSameForFollowers(entry.record, aRecord);
  m_byVersion.erase(entry.changedAt);
  entry.record = aRecord;
  entry.changedAt = ++m_version;
  if (!sameForFollowers) {
    entry.changedForFollowersAt = m_version;
    m_followerVersion = m_version;
  }
  m_byVersion[entry.changedAt] = aRecord.id();
  const bool gone = aRecord.state() == Record::GONE;
  m_goneCount += gone ? 1 : 0;
  m_goneCount -= wasGone ? 1 : 0;
  if (!gone) {
    RemoveOlderHolder(aRecord);
  }
  PruneGoneServers();
}

// Only the most recently started server holds an address; an older one becomes
// GONE. A late report of a former holder must not direct its requests to the
// server that runs there now.
void
ServersState::RemoveOlderHolder(const Record& aRecord)
{
  const Record* former = FindHolder(aRecord.address());
  if (former == nullptr || former->id() == aRecord.id()) {
    m_holderOfAddress[aRecord.address()] = aRecord.id();
    return;
  }
  const bool formerIsNewer = former->incarnation() > aRecord.incarnation();
  Record older = formerIsNewer ? aRecord : *former;
  if (!formerIsNewer) {
    m_holderOfAddress[aRecord.address()] = aRecord.id();
  }
  older.set_state(Record::GONE);
  older.set_lapsed(false);
  Put(older);
}

void
ServersState::PruneGoneServers()
{
  for (auto it = m_byVersion.begin();
       it != m_byVersion.end() && m_goneCount > kMaxGoneServers;) {
    const auto server = m_servers.find(it->second);
    if (server->second.record.state() != Record::GONE) {
      ++it;
      continue;
    }
    m_prunedVersion = it->first;
    const auto holder = m_holderOfAddress.find(server->second.record.address());
    if (holder != m_holderOfAddress.end() && holder->second == server->first) {
      m_holderOfAddress.erase(holder);
    }
    m_servers.erase(server);
    it = m_byVersion.erase(it);
    --m_goneCount;
  }
}

wire::ServersDelta
ServersState::Since(std::uint64_t aVersion) const
{
  wire::ServersDelta delta;
  delta.set_from_version(aVersion);
  delta.set_to_version(m_version);
  const bool full = aVersion == 0 || aVersion < m_prunedVersion;
  delta.set_full(full);
  for (auto it = m_byVersion.upper_bound(full ? 0 : aVersion);
       it != m_byVersion.end();
       ++it) {
    const Entry& entry = m_servers.at(it->second);
    const bool needed = full ? entry.record.state() != Record::GONE
                             : entry.changedForFollowersAt > aVersion;
    if (needed) {
      *delta.add_servers() = entry.record;
    }
  }
  return delta;
}

void
ServersState::Save(wire::StateSnapshot& aSnapshot) const
{
  wire::ServersDelta* servers = aSnapshot.mutable_servers();
  servers->set_to_version(m_version);
  servers->set_from_version(m_prunedVersion);
  for (const auto& [version, id] : m_byVersion) {
    *servers->add_servers() = m_servers.at(id).record;
  }
}

// The versions of entries are not saved. A restore assigns the latest versions
// in the saved order, so followers may receive more records than needed.
void
ServersState::Restore(const wire::StateSnapshot& aSnapshot)
{
  *this = ServersState();
  const auto& saved = aSnapshot.servers();
  const auto count = static_cast<std::uint64_t>(saved.servers_size());
  m_prunedVersion = saved.from_version();
  m_version = saved.to_version() - count;
  for (const Record& record : saved.servers()) {
    Entry& entry = m_servers[record.id()];
    entry.record = record;
    entry.changedAt = ++m_version;
    entry.changedForFollowersAt = m_version;
    m_byVersion[entry.changedAt] = record.id();
    if (record.state() == Record::GONE) {
      ++m_goneCount;
    } else {
      m_holderOfAddress[record.address()] = record.id();
    }
  }
  m_followerVersion = m_version;
}

} // namespace fuchsiaramp
