// What the services of both roles set up in the same way.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/event.h"
#include "net/http_server.h"
#include "net/message_transport.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "settings/settings.h"

namespace fuchsiaramp {

MessageTransportOptions
MakeTransportOptions(const Settings& aSettings,
                     std::uint64_t aIncarnation,
                     const std::string& aSecretKey);

// What this host sent since its start, by kind of message.
Event
TrafficEvent(const TransportCounters& aCounters);

// Processor time, memory and message traffic of this process. The transport
// must outlive the metrics.
void
AddProcessMetrics(Metrics& aMetrics, const MessageTransport& aTransport);

// Logs what a server rejects. The log must outlive the server.
HttpRejectHook
MakeRejectHook(EventLog& aLog);

HttpResponse
MetricsResponse(const Metrics& aMetrics);

// Answers GET /metrics on an address of its own, and nothing else. Null where
// the address is empty. The metrics must outlive the server.
std::unique_ptr<HttpServer>
ServeMetrics(boost::asio::io_context& aIo,
             const std::string& aAddress,
             const Metrics& aMetrics);

} // namespace fuchsiaramp
