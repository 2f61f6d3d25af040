// Drops messages that were queued through a network partition.
//
// Clocks of two hosts are not comparable, so lateness is measured against the
// smallest difference between receipt and sending seen from the same sender
// incarnation in the last minutes: a message whose difference exceeds it by
// more than the message's time to live is late. The window of minutes follows
// clocks that drift apart.
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
  // Whether the message is from the newest known incarnation of its sender, not
  // seen before, and not late.
  bool Accept(const wire::Envelope& aMessage, TimePoint aNow);

private:
  struct Sender
  {
    std::uint64_t incarnation = 0;
    std::uint64_t highestSequence = 0;
    std::uint64_t window = 0; // bit i: sequence highestSequence - i was seen
    // Smallest difference in the current and in the previous window.
    std::int64_t smallestDelay = 0;
    std::int64_t previousSmallest = 0;
    TimePoint windowEnds;
  };

  static bool MarkSeen(Sender& aSender, std::uint64_t aSequence);

  std::unordered_map<HostId, Sender> m_senders;
};

} // namespace fuchsiaramp
