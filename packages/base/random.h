// Seeded pseudo-random numbers: the same seed gives the same sequence on every
// host.
//
//   Random random(seed);
//   std::size_t index = random.Below(servers.size());
#pragma once

#include <cmath>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace fuchsiaramp {

class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  std::uint64_t Bits() { return m_engine(); }

  // Returns a uniformly distributed integer from [0, aBound); aBound must be
  // positive.
  std::uint64_t Below(std::uint64_t aBound) { return m_engine() % aBound; }

  // Returns a uniformly distributed number from [0, 1).
  double Unit() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }

  // Returns true with the given probability.
  bool Chance(double aProbability) { return Unit() < aProbability; }

  // Returns an exponentially distributed number with the given mean.
  double Exponential(double aMean) { return -aMean * std::log1p(-Unit()); }

  template<class T>
  void Shuffle(std::vector<T>& aItems)
  {
    for (std::size_t i = aItems.size(); i > 1; --i) {
      std::swap(aItems[i - 1], aItems[Below(i)]);
    }
  }

private:
  std::mt19937_64 m_engine;
};

} // namespace fuchsiaramp
