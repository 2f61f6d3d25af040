#include "state/lists_history.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace fuchsiaramp {

// In memory, a change takes several times its serialised size.
static constexpr std::size_t kMinBytes = 1 << 20;
// The part of the size of the lists that the changes may take.
static constexpr std::size_t kPartOfLists = 4;

ListsHistory::ListsHistory(std::size_t aMaxDeltas)
  : m_maxDeltas(aMaxDeltas)
  , m_maxBytes(kMinBytes)
{
}

void
ListsHistory::Add(wire::ListsDelta aDelta, const Lists& aLists)
{
  const std::size_t bytes = aDelta.ByteSizeLong();
  m_deltas.push_back(std::move(aDelta));
  m_bytes += bytes;
  UpdateMaxBytes(aLists, bytes);
  while (m_deltas.size() > 1 &&
         (m_deltas.size() > m_maxDeltas || m_bytes > m_maxBytes)) {
    m_bytes -= m_deltas.front().ByteSizeLong();
    m_deltas.pop_front();
  }
}

// Measuring the lists takes time in proportion to their size, so that they are
// measured only once as many bytes of changes were added.
void
ListsHistory::UpdateMaxBytes(const Lists& aLists, std::size_t aAddedBytes)
{
  m_bytesSinceUpdate += aAddedBytes;
  if (m_bytesSinceUpdate < m_maxBytes) {
    return;
  }
  m_bytesSinceUpdate = 0;
  m_maxBytes =
    std::max(kMinBytes, aLists.ToFullDelta().ByteSizeLong() / kPartOfLists);
}

void
ListsHistory::Clear()
{
  m_deltas.clear();
  m_bytes = 0;
}

bool
ListsHistory::Reaches(ListsVersion aVersion) const
{
  return !m_deltas.empty() &&
         m_deltas.front().from_version() <= aVersion.Value();
}

std::vector<wire::ListsDelta>
ListsHistory::Since(ListsVersion aVersion) const
{
  CheckInvariant(Reaches(aVersion),
                 "the history reaches back to the version that is asked for");
  std::vector<wire::ListsDelta> chain;
  for (const wire::ListsDelta& delta : m_deltas) {
    if (delta.from_version() >= aVersion.Value()) {
      chain.push_back(delta);
    }
  }
  return chain;
}

} // namespace fuchsiaramp
