// The lists as replicated state. Applies changes in log order and gives the
// same result each time an accepted change id is submitted.
//
//   wire::CommandResult result = state.Put(put, leaderTime);
//   std::vector<wire::ListsDelta> chain = state.Since(ListsVersion(7));
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "state/lists.h"
#include "state/lists_history.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class ListsState
{
public:
  ListsState();

  // aTime is the leader's wall clock in microseconds, only for the change
  // history.
  wire::CommandResult Put(const wire::PutLists& aPut, std::int64_t aTime);

  // The deltas that lead from aVersion to the current version: consecutive ones
  // if the history reaches back far enough, otherwise one full delta.
  std::vector<wire::ListsDelta> Since(ListsVersion aVersion) const;

  const Lists& Current() const { return m_lists; }
  const std::deque<wire::ChangeRecord>& Changes() const { return m_changes; }
  const ListsHistory& History() const { return m_history; }

  void Save(wire::StateSnapshot& aSnapshot) const;
  // Returns the number of texts of the history that were not valid UTF-8.
  std::size_t Restore(const wire::StateSnapshot& aSnapshot);

private:
  void RecordChange(const wire::ChangeRecord& aChange);
  std::size_t RestoreHistory(const wire::StateSnapshot& aSnapshot);

  Lists m_lists;
  ListsHistory m_history;
  std::deque<wire::ChangeRecord> m_changes;
  std::unordered_map<std::string, wire::ChangeRecord> m_changeById;
};

} // namespace fuchsiaramp
