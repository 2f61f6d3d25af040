// The typed messages between the processes of a fleet.
//
// The generated protobuf classes are used as the message types of the decision
// logic: they are plain values, and a second set of structs with conversions
// would state every field twice.
#pragma once

#include <functional>

#include "base/ids.h"
#include "fleet.pb.h"

namespace fuchsiaramp {

// Sends one message body to a host; sender, sequence and clock are filled in by
// the adapter. Delivery is not guaranteed.
using SendHook =
  std::function<void(const HostId& aTo, const wire::Envelope& aMessage)>;

} // namespace fuchsiaramp
