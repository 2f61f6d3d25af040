// Invariants that are checked in every build.
//
// A violated invariant means that a guarantee to callers may be broken, so the
// process aborts rather than continue with inconsistent state. Tests install a
// handler that throws instead.
//
//   CheckInvariant(version >= m_version, "lists version never decreases");
#pragma once

#include <functional>
#include <string>

namespace fuchsiaramp {

using InvariantHandler = std::function<void(const std::string& aText)>;

// Replaces the handler. The default handler writes the text to standard error
// and aborts the process.
void
SetInvariantHandler(InvariantHandler aHandler);

// Calls the handler if aHolds is false.
void
CheckInvariant(bool aHolds, const char* aText);

} // namespace fuchsiaramp
