// Invariants that are checked in every build.
//
// A violated invariant means that a promise to callers may be broken, so the
// process stops rather than continue on wrong state. Tests install a handler
// that throws instead.
//
//   CheckInvariant(version >= m_version, "lists version never decreases");
#pragma once

#include <functional>
#include <string>

namespace fuchsiaramp {

using InvariantHandler = std::function<void(const std::string& aText)>;

// Replaces the handler; the default one writes the text and aborts.
void
SetInvariantHandler(InvariantHandler aHandler);

// Calls the handler when aHolds is false.
void
CheckInvariant(bool aHolds, const char* aText);

} // namespace fuchsiaramp
