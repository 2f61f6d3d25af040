// What the services of both roles set up in the same way.
#pragma once

#include <cstdint>
#include <string>

#include "base/event.h"
#include "net/message_transport.h"
#include "observe/metrics.h"
#include "settings/settings.h"

namespace fuchsiaramp {

MessageTransportOptions
TransportOptionsOf(const Settings& aSettings,
                   std::uint64_t aIncarnation,
                   const std::string& aSecretKey);

// Processor time, memory and message traffic of this process. The transport
// must outlive the metrics.
// What this host sent since its start, by kind of message.
Event
TrafficEvent(const TransportCounters& aCounters);

void
AddProcessMetrics(Metrics& aMetrics, const MessageTransport& aTransport);

} // namespace fuchsiaramp
