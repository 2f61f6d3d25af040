// Drops duplicate and late messages, such as those queued during a network
// partition.
//
// Clocks of different hosts are not comparable, so the delay of a message is
// measured relative to the smallest difference between receive time and send
// time of recent messages from the same sender incarnation. A message whose
// difference exceeds this minimum by more than its time to live is late. The
// minimum covers the last minutes only, so that it follows clock drift.
//
//   if (filter.Accept(envelope, now)) { ... }
#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class FreshnessFilter
{
public:
  // Returns whether the message is from the latest known incarnation of its
  // sender, is no duplicate and is not late.
  bool Accept(const wire::Envelope& aMessage, TimePoint aNow);

private:
  struct Sender
  {
    std::uint64_t incarnation = 0;
    std::uint64_t highestSequence = 0;
    std::uint64_t seenWindow = 0; // bit i: highestSequence - i was received
    // Minimum difference in the current and in the previous time window.
    std::int64_t minDelay = 0;
    std::int64_t previousMinDelay = 0;
    TimePoint delayWindowEnd;
  };

  static bool MarkSeen(Sender& aSender, std::uint64_t aSequence);

  std::unordered_map<HostId, Sender> m_senders;
};

} // namespace fuchsiaramp
