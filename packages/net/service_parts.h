// What the services of both roles set up in the same way.
#pragma once

#include <cstdint>
#include <string>

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
void
AddProcessMetrics(Metrics& aMetrics, const MessageTransport& aTransport);

} // namespace fuchsiaramp
