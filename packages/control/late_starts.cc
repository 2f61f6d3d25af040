#include "control/late_starts.h"

#include <cstddef>

namespace fuchsiaramp {

// A server may serve, and report, for many seconds after it deregistered.
static constexpr Duration kRunningAfter = std::chrono::seconds(30);
// The reports of a server that runs are at most this far apart.
static constexpr Duration kMaxGap = std::chrono::seconds(5);
// The first report of a start that is seen here has at most this number.
static constexpr std::uint64_t kMaxFirstRevision = 3;
static constexpr std::size_t kMaxStarts = 1'000;

bool
LateStarts::IsRunning(const wire::BackendServerRecord& aReport, TimePoint aNow)
{
  RemoveSilent(aNow);
  const auto it = m_starts.find(aReport.id());
  const bool follows = it != m_starts.end() &&
                       it->second.incarnation == aReport.incarnation() &&
                       it->second.revision < aReport.revision();
  if (!follows) {
    const bool isFirst = aReport.revision() <= kMaxFirstRevision;
    if (isFirst && m_starts.size() < kMaxStarts) {
      m_starts[aReport.id()] = {
        aReport.incarnation(), aReport.revision(), aNow, aNow
      };
    }
    return false;
  }
  it->second.revision = aReport.revision();
  it->second.lastAt = aNow;
  return IsDue(it->second.firstAt + kRunningAfter, aNow);
}

void
LateStarts::RemoveSilent(TimePoint aNow)
{
  std::erase_if(m_starts, [aNow](const auto& aEntry) {
    return IsDue(aEntry.second.lastAt + kMaxGap, aNow);
  });
}

} // namespace fuchsiaramp
