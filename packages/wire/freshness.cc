#include "wire/freshness.h"

#include <algorithm>

namespace fuchsiaramp {

static constexpr std::uint64_t kSequenceWindowBits = 64;
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
  const std::int64_t baseline =
    std::min({ sender.minDelay, sender.previousMinDelay, delay });
  if (delay - baseline > aMessage.ttl_us()) {
    return false;
  }
  // Only fresh messages advance the time window. Otherwise, messages queued
  // during a long partition would raise the minimum and be considered fresh.
  if (IsDue(sender.delayWindowEnd, aNow)) {
    sender.previousMinDelay = sender.minDelay;
    sender.minDelay = delay;
    sender.delayWindowEnd = aNow + kDelayWindow;
  }
  sender.minDelay = std::min(sender.minDelay, delay);
  return true;
}

// Sequence numbers older than the window are considered seen: a replayed
// message must not be accepted, and a message that far out of order is late
// anyway.
bool
FreshnessFilter::MarkSeen(Sender& aSender, std::uint64_t aSequence)
{
  if (aSequence > aSender.highestSequence) {
    const std::uint64_t shift = aSequence - aSender.highestSequence;
    aSender.seenWindow =
      shift >= kSequenceWindowBits ? 0 : aSender.seenWindow << shift;
    aSender.seenWindow |= 1;
    aSender.highestSequence = aSequence;
    return true;
  }
  const std::uint64_t age = aSender.highestSequence - aSequence;
  if (age >= kSequenceWindowBits) {
    return false;
  }
  const std::uint64_t bit = std::uint64_t{ 1 } << age;
  const bool seen = (aSender.seenWindow & bit) != 0;
  aSender.seenWindow |= bit;
  return !seen;
}

} // namespace fuchsiaramp
