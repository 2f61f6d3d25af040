// The messages between the processes of a fleet.
//
// The decision logic uses the generated protobuf classes directly: they are
// plain value types, and separate structs would duplicate every field and need
// conversions.
#pragma once

#include <functional>

#include "base/ids.h"
#include "fleet.pb.h"

namespace fuchsiaramp {

// Sends a message to a host. The adapter sets the sender, sequence number and
// clock. Delivery is not guaranteed.
using SendHook =
  std::function<void(const HostId& aTo, const wire::Envelope& aMessage)>;

} // namespace fuchsiaramp
