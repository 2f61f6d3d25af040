#include "membership/record_table.h"

#include <tuple>

#include "base/digest.h"

namespace fuchsiaramp {

// Of two records of the same incarnation and revision, the later state wins:
// suspicion is raised by others without a new revision.
template<class Record>
static bool
IsNewer(const Record& aRecord, const Record& aKnown)
{
  return std::make_tuple(
           aRecord.incarnation(), aRecord.revision(), int(aRecord.state())) >
         std::make_tuple(
           aKnown.incarnation(), aKnown.revision(), int(aKnown.state()));
}

bool
RecordTable::Merge(const wire::HostRecord& aRecord)
{
  const auto it = m_hosts.find(aRecord.host());
  if (it != m_hosts.end()) {
    const wire::HostRecord& known = it->second;
    if (!IsNewer(aRecord, known)) {
      return false;
    }
    Toggle(known.host(), known.incarnation(), known.revision(), known.state());
  }
  m_hosts[aRecord.host()] = aRecord;
  Toggle(
    aRecord.host(), aRecord.incarnation(), aRecord.revision(), aRecord.state());
  return true;
}

bool
RecordTable::Merge(const wire::BackendServerRecord& aRecord)
{
  const std::string key = KeyOf(aRecord);
  const auto it = m_servers.find(key);
  if (it != m_servers.end()) {
    const wire::BackendServerRecord& known = it->second;
    // The writer's incarnation goes first: a restarted watcher starts its
    // revisions again.
    const bool later =
      aRecord.watcher_incarnation() > known.watcher_incarnation();
    const bool earlier =
      aRecord.watcher_incarnation() < known.watcher_incarnation();
    if (earlier || (!later && aRecord.revision() <= known.revision())) {
      return false;
    }
    Toggle(key, known.watcher_incarnation(), known.revision(), known.state());
  }
  m_servers[key] = aRecord;
  Toggle(
    key, aRecord.watcher_incarnation(), aRecord.revision(), aRecord.state());
  return true;
}

void
RecordTable::EraseHost(const HostId& aHost)
{
  const auto it = m_hosts.find(aHost.Value());
  if (it != m_hosts.end()) {
    const wire::HostRecord& known = it->second;
    Toggle(known.host(), known.incarnation(), known.revision(), known.state());
    m_hosts.erase(it);
  }
}

void
RecordTable::EraseServersOf(const HostId& aWatcher)
{
  for (auto it = m_servers.begin(); it != m_servers.end();) {
    const wire::BackendServerRecord& known = it->second;
    if (known.watcher() != aWatcher.Value()) {
      ++it;
      continue;
    }
    Toggle(
      it->first, known.watcher_incarnation(), known.revision(), known.state());
    it = m_servers.erase(it);
  }
}

const wire::HostRecord*
RecordTable::FindHost(const HostId& aHost) const
{
  const auto it = m_hosts.find(aHost.Value());
  return it == m_hosts.end() ? nullptr : &it->second;
}

std::string
RecordTable::KeyOf(const wire::BackendServerRecord& aRecord)
{
  return aRecord.watcher() + '\n' + aRecord.id();
}

std::uint64_t
RecordTable::TotalDigest() const
{
  std::uint64_t total = 0;
  for (std::uint64_t digest : m_digests) {
    total = total * 31 + digest;
  }
  return total;
}

void
RecordTable::CollectDifferent(
  const BucketDigests& aOther,
  std::vector<wire::HostRecord>& aHosts,
  std::vector<wire::BackendServerRecord>& aServers) const
{
  const auto differs = [&](const std::string& aKey) {
    const std::size_t bucket = BucketOf(aKey);
    return m_digests[bucket] != aOther[bucket];
  };
  for (const auto& [key, record] : m_hosts) {
    if (differs(key)) {
      aHosts.push_back(record);
    }
  }
  for (const auto& [key, record] : m_servers) {
    if (differs(key)) {
      aServers.push_back(record);
    }
  }
}

std::size_t
RecordTable::BucketOf(const std::string& aKey)
{
  return Hash64(aKey) % kDigestBuckets;
}

// XOR adds a record to its bucket and removes it again.
void
RecordTable::Toggle(const std::string& aKey,
                    std::uint64_t aIncarnation,
                    std::uint64_t aRevision,
                    int aState)
{
  const std::uint64_t seed =
    aIncarnation * 1'000'003 + aRevision * 7 + std::uint64_t(aState);
  m_digests[BucketOf(aKey)] ^= Hash64(aKey, seed);
}

} // namespace fuchsiaramp
