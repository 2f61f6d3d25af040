// The newest known record of every host and of every watch of a backend server.
//
// A record has one writer: a host writes its own record, an entry host writes
// the records of the backend servers whose renewals it receives. The newer
// record is the one with the higher incarnation, then revision. Digests by
// bucket let two hosts find what differs without sending everything.
//
//   if (table.Merge(record)) { ... it is news ... }
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "wire/messages.h"

namespace fuchsiaramp {

inline constexpr std::size_t kDigestBuckets = 64;
using BucketDigests = std::array<std::uint64_t, kDigestBuckets>;

class RecordTable
{
public:
  // Each returns whether the record is newer than what was known.
  bool Merge(const wire::HostRecord& aRecord);
  bool Merge(const wire::BackendServerRecord& aRecord);
  void EraseHost(const HostId& aHost);
  void EraseServersOf(const HostId& aWatcher);

  const wire::HostRecord* FindHost(const HostId& aHost) const;
  const std::unordered_map<std::string, wire::HostRecord>& Hosts() const
  {
    return m_hosts;
  }
  // Keyed by watcher and server; see KeyOf.
  const std::unordered_map<std::string, wire::BackendServerRecord>& Servers()
    const
  {
    return m_servers;
  }
  static std::string KeyOf(const wire::BackendServerRecord& aRecord);

  const BucketDigests& Digests() const { return m_digests; }
  std::uint64_t TotalDigest() const;
  // Adds all records of the buckets whose digest differs from aOther.
  void CollectDifferent(const BucketDigests& aOther,
                        std::vector<wire::HostRecord>& aHosts,
                        std::vector<wire::BackendServerRecord>& aServers) const;

private:
  static std::size_t BucketOf(const std::string& aKey);
  void Toggle(const std::string& aKey,
              std::uint64_t aIncarnation,
              std::uint64_t aRevision,
              int aState);

  std::unordered_map<std::string, wire::HostRecord> m_hosts;
  std::unordered_map<std::string, wire::BackendServerRecord> m_servers;
  BucketDigests m_digests{};
};

} // namespace fuchsiaramp
