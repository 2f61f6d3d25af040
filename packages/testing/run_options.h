// The range of seeds of a randomised test.
//
// The environment variables FUCHSIARAMP_SEEDS (number of seeds) and
// FUCHSIARAMP_FIRST_SEED override the defaults, to run longer or to replay one
// seed.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace fuchsiaramp {

struct SeedRange
{
  std::uint64_t first = 1;
  std::uint64_t count = 1;
};

inline SeedRange
SeedRangeFromEnvironment(std::uint64_t aDefaultCount)
{
  SeedRange range;
  range.count = aDefaultCount;
  if (const char* text = std::getenv("FUCHSIARAMP_SEEDS")) {
    range.count = std::stoull(text);
  }
  if (const char* text = std::getenv("FUCHSIARAMP_FIRST_SEED")) {
    range.first = std::stoull(text);
  }
  return range;
}

} // namespace fuchsiaramp
