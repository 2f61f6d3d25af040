// The table of backend servers as replicated state: the latest report of each
// server in log order.
//
// The state of an incarnation only advances from UP to LEAVING to GONE. The
// exception is an incarnation that is GONE because its reports expired: its
// next report restores it. Reports that arrive late are ignored.
//
//   wire::CommandResult result = servers.Report(record);
//   wire::ServersDelta delta = servers.Since(haveVersion);
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace fuchsiaramp {

// Whether the record is a deregistration that leaves open which incarnation
// ends.
bool
NamesNoIncarnation(const wire::BackendServerRecord& aRecord);

// The record that ends a server whose reports have stopped, or that another has
// displaced. Its next report brings it back, unless it was leaving.
wire::BackendServerRecord
WithoutReports(const wire::BackendServerRecord& aServer);

class ServersState
{
public:
  // Returns OK if the table now holds the report, or STALE_ATTEMPT if it
  // already has a newer report or incarnation. Neither result needs a retry.
  wire::CommandResult Report(const wire::BackendServerRecord& aRecord);

  // Whether the record is not outdated and differs from the table.
  bool WouldChange(const wire::BackendServerRecord& aRecord) const;

  // The records that changed for followers after aVersion, or a full delta if
  // aVersion is 0 or precedes a pruned change.
  wire::ServersDelta Since(std::uint64_t aVersion) const;

  std::uint64_t Version() const { return m_version; }
  // The version of the last change that followers need. A server that reports
  // to another control host is none.
  std::uint64_t FollowerVersion() const { return m_followerVersion; }
  const wire::BackendServerRecord* Find(const std::string& aId) const;
  // The server that runs at the address; null if there is none.
  const wire::BackendServerRecord* FindHolder(
    const std::string& aAddress) const;
  // The servers that are not GONE. Pointers are valid until the next change.
  std::vector<const wire::BackendServerRecord*> Live() const;
  std::size_t size() const { return m_servers.size(); }

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Restore(const wire::StateSnapshot& aSnapshot);

private:
  struct Entry
  {
    wire::BackendServerRecord record;
    std::uint64_t changedAt = 0;             // version
    std::uint64_t changedForFollowersAt = 0; // version
  };

  bool IsOutdated(const wire::BackendServerRecord& aRecord) const;
  void Put(const wire::BackendServerRecord& aRecord);
  void RemoveOlderHolder(const wire::BackendServerRecord& aRecord);
  void PruneGoneServers();

  std::map<std::string, Entry> m_servers;               // by server id
  std::map<std::uint64_t, std::string> m_byVersion;     // id by changedAt
  std::map<std::string, std::string> m_holderOfAddress; // address to id
  std::size_t m_goneCount = 0;
  std::uint64_t m_version = 0;
  std::uint64_t m_followerVersion = 0;
  std::uint64_t m_prunedVersion = 0; // latest version whose change was pruned
};

} // namespace fuchsiaramp
