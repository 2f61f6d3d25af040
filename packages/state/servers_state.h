// The backend servers as replicated state: what each last said of itself, in
// the order of the log.
//
// An incarnation starts up, may begin to leave, and is gone; it never goes
// back, except that one that was only silent for too long comes back with its
// next report. Reports that arrive late change nothing.
//
//   wire::CommandResult result = servers.Report(record, logIndex);
//   wire::ServersDelta delta = servers.Since(haveVersion);
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace fuchsiaramp {

class ServersState
{
public:
  // OK when the table says what the record says, STALE_ATTEMPT when a newer
  // report or incarnation was there before, which also ends the matter.
  wire::CommandResult Report(const wire::BackendServerRecord& aRecord);

  // Whether the record would change the table.
  bool WouldChange(const wire::BackendServerRecord& aRecord) const;

  // What changed after aVersion; everything when that is too long ago.
  wire::ServersDelta Since(std::uint64_t aVersion) const;

  std::uint64_t Version() const { return m_version; }
  const wire::BackendServerRecord* Find(const std::string& aId) const;
  // The servers that are not gone; valid until the next change.
  std::vector<const wire::BackendServerRecord*> Live() const;
  std::size_t size() const { return m_servers.size(); }

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Restore(const wire::StateSnapshot& aSnapshot);

private:
  struct Entry
  {
    wire::BackendServerRecord record;
    std::uint64_t changedAt = 0; // version
  };

  bool IsOutdated(const wire::BackendServerRecord& aRecord) const;
  void Put(const wire::BackendServerRecord& aRecord);
  void EndFormerHolders(const wire::BackendServerRecord& aRecord);
  void DropOldest();

  std::map<std::string, Entry> m_servers;               // by id
  std::map<std::uint64_t, std::string> m_byVersion;     // every entry once
  std::map<std::string, std::string> m_holderOfAddress; // address, id
  std::size_t m_gone = 0;
  std::uint64_t m_version = 0;
  std::uint64_t m_droppedVersion = 0; // changes up to here may be forgotten
};

} // namespace fuchsiaramp
