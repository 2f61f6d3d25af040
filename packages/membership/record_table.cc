#include "membership/record_table.h"

#include <tuple>

#include "base/digest.h"

namespace fuchsiaramp {

// Of two records with the same incarnation and revision, the higher state wins:
// other hosts raise a suspicion without a new revision.
template<class Record>
static bool
IsNewer(const Record& aRecord, const Record& aExisting)
{
  return std::make_tuple(
           aRecord.incarnation(), aRecord.revision(), int(aRecord.state())) >
         std::make_tuple(aExisting.incarnation(),
                         aExisting.revision(),
                         int(aExisting.state()));
}

bool
RecordTable::Merge(const wire::HostRecord& aRecord)
{
  const auto it = m_hosts.find(aRecord.host());
  if (it != m_hosts.end()) {
    const wire::HostRecord& existing = it->second;
    if (!IsNewer(aRecord, existing)) {
      return false;
    }
    ToggleDigest(existing.host(),
                 existing.incarnation(),
                 existing.revision(),
                 existing.state());
  }
  m_hosts[aRecord.host()] = aRecord;
  ToggleDigest(
    aRecord.host(), aRecord.incarnation(), aRecord.revision(), aRecord.state());
  return true;
}

bool
RecordTable::Merge(const wire::BackendServerRecord& aRecord)
{
  const std::string key = KeyOf(aRecord);
  const auto it = m_servers.find(key);
  if (it != m_servers.end()) {
    const wire::BackendServerRecord& existing = it->second;
    // The incarnation of the writer is compared first, because a restarted
    // watcher numbers its revisions from the beginning.
    const bool newerWriter =
      aRecord.watcher_incarnation() > existing.watcher_incarnation();
    const bool olderWriter =
      aRecord.watcher_incarnation() < existing.watcher_incarnation();
    if (olderWriter ||
        (!newerWriter && aRecord.revision() <= existing.revision())) {
      return false;
    }
    ToggleDigest(key,
                 existing.watcher_incarnation(),
                 existing.revision(),
                 existing.state());
  }
  m_servers[key] = aRecord;
  ToggleDigest(
    key, aRecord.watcher_incarnation(), aRecord.revision(), aRecord.state());
  return true;
}

void
RecordTable::EraseHost(const HostId& aHost)
{
  const auto it = m_hosts.find(aHost.Value());
  if (it != m_hosts.end()) {
    const wire::HostRecord& existing = it->second;
    ToggleDigest(existing.host(),
                 existing.incarnation(),
                 existing.revision(),
                 existing.state());
    m_hosts.erase(it);
  }
}

void
RecordTable::EraseServersOf(const HostId& aWatcher)
{
  for (auto it = m_servers.begin(); it != m_servers.end();) {
    const wire::BackendServerRecord& existing = it->second;
    if (existing.watcher() != aWatcher.Value()) {
      ++it;
      continue;
    }
    ToggleDigest(it->first,
                 existing.watcher_incarnation(),
                 existing.revision(),
                 existing.state());
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
RecordTable::CollectDiffering(
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

// Adds a record to the digest of its bucket, or removes it: XOR is its own
// inverse.
void
RecordTable::ToggleDigest(const std::string& aKey,
                          std::uint64_t aIncarnation,
                          std::uint64_t aRevision,
                          int aState)
{
  const std::uint64_t seed =
    aIncarnation * 1'000'003 + aRevision * 7 + std::uint64_t(aState);
  m_digests[BucketOf(aKey)] ^= Hash64(aKey, seed);
}

} // namespace fuchsiaramp
