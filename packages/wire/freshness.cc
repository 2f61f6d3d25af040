#include "wire/freshness.h"

#include <algorithm>

namespace fuchsiaramp {

static constexpr std::uint64_t kWindowBits = 64;
static constexpr Duration kDelayWindow = std::chrono::minutes(5);

bool
FreshnessFilter::Accept(const wire::Envelope& aMessage, TimePoint aNow)
{
  Sender& sender = m_senders[HostId(aMessage.from())];
  const std::int64_t delay = ToMicros(aNow) - aMessage.sent_at_us();
  if (aMessage.incarnation() < sender.incarnation) {
    return false;
  }
  if (aMessage.incarnation() > sender.incarnation) {
    sender =
      Sender{ aMessage.incarnation(), 0, 0, delay, delay, aNow + kDelayWindow };
  }
  if (!MarkSeen(sender, aMessage.sequence())) {
    return false;
  }
  const std::int64_t smallest =
    std::min({ sender.smallestDelay, sender.previousSmallest, delay });
  if (delay - smallest > aMessage.ttl_us()) {
    return false;
  }
  // The window moves on only with fresh messages, so that a long partition
  // does not make the messages queued in it look fresh.
  if (IsDue(sender.windowEnds, aNow)) {
    sender.previousSmallest = sender.smallestDelay;
    sender.smallestDelay = delay;
    sender.windowEnds = aNow + kDelayWindow;
  }
  sender.smallestDelay = std::min(sender.smallestDelay, delay);
  return true;
}

// Sequences outside the window count as seen: a replay must not pass, and a
// message that far out of order is late anyway.
bool
FreshnessFilter::MarkSeen(Sender& aSender, std::uint64_t aSequence)
{
  if (aSequence > aSender.highestSequence) {
    const std::uint64_t shift = aSequence - aSender.highestSequence;
    aSender.window = shift >= kWindowBits ? 0 : aSender.window << shift;
    aSender.window |= 1;
    aSender.highestSequence = aSequence;
    return true;
  }
  const std::uint64_t age = aSender.highestSequence - aSequence;
  if (age >= kWindowBits) {
    return false;
  }
  const std::uint64_t bit = std::uint64_t{ 1 } << age;
  const bool seen = (aSender.window & bit) != 0;
  aSender.window |= bit;
  return !seen;
}

} // namespace fuchsiaramp
