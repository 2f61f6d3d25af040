// An in-memory network for seeded tests. It delays, drops, duplicates and
// reorders messages, and cuts links in one direction.
//
//   FakeNetwork<wire::Envelope> network(options, random);
//   network.Send(from, to, message, now);
//   network.Cut(from, to);
//   while (auto delivery = network.Next(now)) { ... }
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

namespace fuchsiaramp {

struct FakeNetworkOptions
{
  Duration minDelay = std::chrono::milliseconds(1);
  Duration maxDelay = std::chrono::milliseconds(20);
  double drop = 0.0;      // share of messages that are lost
  double duplicate = 0.0; // share of messages that arrive twice
  double late = 0.0;      // share of messages delayed by up to lateDelay
  Duration lateDelay = std::chrono::seconds(5);
  // Returns a delay to add to the random one; unset means none.
  std::function<Duration(const HostId& aFrom, const HostId& aTo)> extraDelay;
};

template<class Message>
class FakeNetwork
{
public:
  struct Delivery
  {
    HostId from;
    HostId to;
    Message message;
  };

  FakeNetwork(FakeNetworkOptions aOptions, Random aRandom)
    : m_options(std::move(aOptions))
    , m_random(aRandom)
  {
  }

  void Send(const HostId& aFrom,
            const HostId& aTo,
            const Message& aMessage,
            TimePoint aNow)
  {
    if (m_cuts.count({ aFrom, aTo }) != 0 || m_random.Chance(m_options.drop)) {
      return;
    }
    Schedule({ aFrom, aTo, aMessage }, aNow);
    if (m_random.Chance(m_options.duplicate)) {
      Schedule({ aFrom, aTo, aMessage }, aNow);
    }
  }

  // Removes and returns the next delivery that is due, if any.
  std::optional<Delivery> Next(TimePoint aNow)
  {
    if (m_queue.empty() || !IsDue(m_queue.begin()->first, aNow)) {
      return std::nullopt;
    }
    Delivery delivery = std::move(m_queue.begin()->second);
    m_queue.erase(m_queue.begin());
    return delivery;
  }

  // Returns when the next delivery is due, or kNever.
  TimePoint NextTime() const
  {
    return m_queue.empty() ? kNever : m_queue.begin()->first;
  }

  void Cut(const HostId& aFrom, const HostId& aTo)
  {
    m_cuts.insert({ aFrom, aTo });
  }
  void HealAll() { m_cuts.clear(); }
  void SetOptions(const FakeNetworkOptions& aOptions) { m_options = aOptions; }
  const FakeNetworkOptions& Options() const { return m_options; }

private:
  void Schedule(Delivery aDelivery, TimePoint aNow)
  {
    const bool late = m_random.Chance(m_options.late);
    const Duration longestDelay =
      late ? m_options.lateDelay : m_options.maxDelay;
    const auto span =
      static_cast<std::uint64_t>((longestDelay - m_options.minDelay).count());
    Duration delay = m_options.minDelay + Duration(m_random.Below(span + 1));
    if (m_options.extraDelay) {
      delay += m_options.extraDelay(aDelivery.from, aDelivery.to);
    }
    m_queue.emplace(aNow + delay, std::move(aDelivery));
  }

  FakeNetworkOptions m_options;
  Random m_random;
  std::multimap<TimePoint, Delivery> m_queue;
  std::set<std::pair<HostId, HostId>> m_cuts;
};

} // namespace fuchsiaramp
