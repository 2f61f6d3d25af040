#include "state/servers_state.h"

#include <utility>

namespace fuchsiaramp {

// Servers that are gone are remembered so that their late reports are known as
// such, and so that followers hear that they are gone.
static constexpr std::size_t kMaxGone = 20'000;

using Record = wire::BackendServerRecord;

const Record*
ServersState::Find(const std::string& aId) const
{
  const auto it = m_servers.find(aId);
  return it == m_servers.end() ? nullptr : &it->second.record;
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

// Reports carry a sequence number (the revision) that starts anew with each
// incarnation, whose number is the time of its start.
bool
ServersState::IsOutdated(const Record& aRecord) const
{
  const Record* known = Find(aRecord.id());
  if (known != nullptr) {
    if (aRecord.incarnation() != known->incarnation()) {
      return aRecord.incarnation() < known->incarnation();
    }
    const bool ended = known->state() == Record::GONE && !known->lapsed();
    if (aRecord.lapsed() && aRecord.watcher() != known->watcher()) {
      return true; // the server has moved to another watcher
    }
    const bool goodbye = aRecord.state() == Record::GONE && !aRecord.lapsed();
    // A goodbye has no sequence number; it ends its incarnation whenever it
    // comes.
    return ended || (!goodbye && aRecord.revision() < known->revision());
  }
  return false;
}

static bool
SaysTheSame(const Record& aKnown, const Record& aRecord)
{
  return aKnown.incarnation() == aRecord.incarnation() &&
         aKnown.state() == aRecord.state() &&
         aKnown.lapsed() == aRecord.lapsed() &&
         aKnown.watcher() == aRecord.watcher() &&
         aKnown.service() == aRecord.service() &&
         aKnown.address() == aRecord.address() &&
         aKnown.failure_domain() == aRecord.failure_domain() &&
         aKnown.slots() == aRecord.slots();
}

// Leaving is for good within an incarnation.
static Record
Merged(const Record* aKnown, const Record& aRecord)
{
  Record merged = aRecord;
  if (aKnown == nullptr || aKnown->incarnation() != aRecord.incarnation()) {
    return merged;
  }
  if (merged.service().empty()) {
    merged = *aKnown;
    merged.set_state(aRecord.state());
    merged.set_lapsed(aRecord.lapsed());
    merged.set_watcher(aRecord.watcher());
  }
  if (aKnown->state() == Record::LEAVING && merged.state() == Record::UP) {
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
  const Record* known = Find(aRecord.id());
  return known == nullptr || !SaysTheSame(*known, Merged(known, aRecord));
}

wire::CommandResult
ServersState::Report(const Record& aRecord)
{
  wire::CommandResult result;
  if (IsOutdated(aRecord)) {
    result.set_code(wire::CommandResult::STALE_ATTEMPT);
    return result;
  }
  const Record* known = Find(aRecord.id());
  // Nothing is known of the server that this word could change.
  const bool empty = known == nullptr && aRecord.service().empty();
  if (!empty && WouldChange(aRecord)) {
    Put(Merged(known, aRecord));
  }
  return result;
}

void
ServersState::Put(const Record& aRecord)
{
  Entry& entry = m_servers[aRecord.id()];
  const bool wasGone =
    entry.changedAt != 0 && entry.record.state() == Record::GONE;
  m_byVersion.erase(entry.changedAt);
  entry.record = aRecord;
  entry.changedAt = ++m_version;
  m_byVersion[entry.changedAt] = aRecord.id();
  const bool gone = aRecord.state() == Record::GONE;
  m_gone += gone ? 1 : 0;
  m_gone -= wasGone ? 1 : 0;
  if (!gone) {
    EndFormerHolders(aRecord);
  }
  DropOldest();
}

// An address has one holder: the server that started last. A late report of a
// former holder must not take requests to what runs there now.
void
ServersState::EndFormerHolders(const Record& aRecord)
{
  const auto holder = m_holderOfAddress.find(aRecord.address());
  if (holder != m_holderOfAddress.end() && holder->second != aRecord.id()) {
    const Record* former = Find(holder->second);
    const bool live = former != nullptr && former->state() != Record::GONE &&
                      former->address() == aRecord.address();
    if (live) {
      const bool newer = former->incarnation() > aRecord.incarnation();
      Record loser = newer ? aRecord : *former;
      if (!newer) {
        m_holderOfAddress[aRecord.address()] = aRecord.id();
      }
      loser.set_state(Record::GONE);
      loser.set_lapsed(false);
      Put(loser);
      return;
    }
  }
  m_holderOfAddress[aRecord.address()] = aRecord.id();
}

void
ServersState::DropOldest()
{
  for (auto it = m_byVersion.begin();
       it != m_byVersion.end() && m_gone > kMaxGone;) {
    const auto server = m_servers.find(it->second);
    if (server->second.record.state() != Record::GONE) {
      ++it;
      continue;
    }
    m_droppedVersion = it->first;
    const auto holder = m_holderOfAddress.find(server->second.record.address());
    if (holder != m_holderOfAddress.end() && holder->second == server->first) {
      m_holderOfAddress.erase(holder);
    }
    m_servers.erase(server);
    it = m_byVersion.erase(it);
    --m_gone;
  }
}

wire::ServersDelta
ServersState::Since(std::uint64_t aVersion) const
{
  wire::ServersDelta delta;
  delta.set_from_version(aVersion);
  delta.set_to_version(m_version);
  const bool full = aVersion == 0 || aVersion < m_droppedVersion;
  delta.set_full(full);
  for (auto it = m_byVersion.upper_bound(full ? 0 : aVersion);
       it != m_byVersion.end();
       ++it) {
    const Record& record = m_servers.at(it->second).record;
    if (!full || record.state() != Record::GONE) {
      *delta.add_servers() = record;
    }
  }
  return delta;
}

void
ServersState::Save(wire::StateSnapshot& aSnapshot) const
{
  wire::ServersDelta* servers = aSnapshot.mutable_servers();
  servers->set_to_version(m_version);
  servers->set_from_version(m_droppedVersion);
  for (const auto& [version, id] : m_byVersion) {
    *servers->add_servers() = m_servers.at(id).record;
  }
}

// Versions of single entries are not saved: after a restore every entry counts
// as changed by the last change, so followers hear a little more than needed.
void
ServersState::Restore(const wire::StateSnapshot& aSnapshot)
{
  *this = ServersState();
  const auto& saved = aSnapshot.servers();
  const auto count = static_cast<std::uint64_t>(saved.servers_size());
  m_droppedVersion = saved.from_version();
  m_version = saved.to_version() - count;
  for (const Record& record : saved.servers()) {
    Entry& entry = m_servers[record.id()];
    entry.record = record;
    entry.changedAt = ++m_version;
    m_byVersion[entry.changedAt] = record.id();
    if (record.state() == Record::GONE) {
      ++m_gone;
    } else {
      m_holderOfAddress[record.address()] = record.id();
    }
  }
}

} // namespace fuchsiaramp
