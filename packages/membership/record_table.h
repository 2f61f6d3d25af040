// The newest record of each host and of each pair of watcher and backend
// server.
//
// A record has one writer: a host writes its own record, and an entry host
// writes the records of the backend servers whose renewals it receives. The
// newer record is the one with the higher incarnation, then the higher
// revision. For a backend server this is the incarnation of the writer.
// Digests by bucket let two hosts find the differing records without sending
// the whole table.
//
//   if (table.Merge(record)) { ... the table changed ... }
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
  // Stores the record if it is newer than the stored one; returns whether it
  // was.
  bool Merge(const wire::HostRecord& aRecord);
  bool Merge(const wire::BackendServerRecord& aRecord);
  void EraseHost(const HostId& aHost);
  void EraseServersOf(const HostId& aWatcher);

  const wire::HostRecord* FindHost(const HostId& aHost) const;
  const std::unordered_map<std::string, wire::HostRecord>& Hosts() const
  {
    return m_hosts;
  }
  // Keyed by watcher and server, as returned by KeyOf().
  const std::unordered_map<std::string, wire::BackendServerRecord>& Servers()
    const
  {
    return m_servers;
  }
  static std::string KeyOf(const wire::BackendServerRecord& aRecord);

  const BucketDigests& Digests() const { return m_digests; }
  std::uint64_t TotalDigest() const;
  // Appends all records of the buckets whose digest differs from aOther.
  void CollectDiffering(const BucketDigests& aOther,
                        std::vector<wire::HostRecord>& aHosts,
                        std::vector<wire::BackendServerRecord>& aServers) const;

private:
  static std::size_t BucketOf(const std::string& aKey);
  void ToggleDigest(const std::string& aKey,
                    std::uint64_t aIncarnation,
                    std::uint64_t aRevision,
                    int aState);

  std::unordered_map<std::string, wire::HostRecord> m_hosts;
  std::unordered_map<std::string, wire::BackendServerRecord> m_servers;
  BucketDigests m_digests{};
};

} // namespace fuchsiaramp
