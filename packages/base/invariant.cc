#include "base/invariant.h"

#include <cstdlib>
#include <iostream>
#include <utility>

namespace fuchsiaramp {
namespace internal {

static InvariantHandler&
Handler()
{
  static InvariantHandler handler = [](const std::string& aText) {
    std::cerr << "event=invariant_violated text=\"" << aText << "\"\n";
    std::abort();
  };
  return handler;
}

} // namespace internal

void
SetInvariantHandler(InvariantHandler aHandler)
{
  internal::Handler() = std::move(aHandler);
}

void
CheckInvariant(bool aHolds, const char* aText)
{
  if (!aHolds) {
    internal::Handler()(aText);
  }
}

} // namespace fuchsiaramp
