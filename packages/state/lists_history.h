// The latest changes of the lists, for followers that lack only those.
//
// The history is bounded by bytes, since it takes memory beside the lists: it
// holds the newest changes that together are no larger than a part of the lists
// or a fixed minimum. A follower that lacks more than that is sent the lists.
//
//   ListsHistory history(maxDeltas);
//   history.Add(delta, lists);
//   if (history.Reaches(have)) { ... history.Since(have) ... }
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "base/ids.h"
#include "state/lists.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class ListsHistory
{
public:
  // aMaxDeltas: the most changes that are held, however small they are.
  explicit ListsHistory(std::size_t aMaxDeltas);

  // Adds the change that led to aLists. The newest change is always held.
  void Add(wire::ListsDelta aDelta, const Lists& aLists);
  void Clear();

  // Whether the changes lead from aVersion to the version of the newest one.
  bool Reaches(ListsVersion aVersion) const;
  // The changes that lead on from aVersion; requires Reaches(aVersion).
  std::vector<wire::ListsDelta> Since(ListsVersion aVersion) const;

  const std::deque<wire::ListsDelta>& Deltas() const { return m_deltas; }
  // The serialised size of all changes.
  std::size_t Bytes() const { return m_bytes; }

private:
  void UpdateMaxBytes(const Lists& aLists, std::size_t aAddedBytes);

  std::size_t m_maxDeltas;
  std::size_t m_maxBytes; // of several changes
  std::size_t m_bytes = 0;
  // Added since m_maxBytes was last updated.
  std::size_t m_bytesSinceUpdate = 0;
  std::deque<wire::ListsDelta> m_deltas;
};

} // namespace fuchsiaramp
