// A Lamport clock: an event has a greater value than any event that may have
// caused it, regardless of the wall clocks of the hosts.
//
//   std::uint64_t value = clock.Next(); // before sending or logging
//   clock.Observe(message.clock());     // on receipt
#pragma once

#include <algorithm>
#include <cstdint>

namespace fuchsiaramp {

class CausalClock
{
public:
  std::uint64_t Next() { return ++m_value; }
  void Observe(std::uint64_t aOther) { m_value = std::max(m_value, aOther); }
  std::uint64_t Value() const { return m_value; }

private:
  std::uint64_t m_value = 0;
};

} // namespace fuchsiaramp
