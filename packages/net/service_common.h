// Setup shared by the services of both roles.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/event.h"
#include "base/ids.h"
#include "base/random.h"
#include "net/buffer_budget.h"
#include "net/http_server.h"
#include "net/message_transport.h"
#include "observe/event_log.h"
#include "observe/loop_monitor.h"
#include "observe/metrics.h"
#include "settings/settings.h"

namespace fuchsiaramp {

MessageTransportOptions
MakeTransportOptions(const Settings& aSettings,
                     std::uint64_t aIncarnation,
                     const std::string& aSecretKey);

// Hosts that start at the same moment draw different numbers.
Random
MakeRandom(const HostId& aHost, std::uint64_t aIncarnation);

// Returns a log event with the messages and bytes that this host has sent since
// its start, by kind of message, and the longest delay of its event loop since
// the previous such event.
Event
TrafficEvent(const TransportCounters& aCounters, LoopMonitor& aLoop);

// Adds the number of connections in each state.
void
AddConnections(Event& aEvent, const ConnectionCounts& aCounts);

// Adds CPU time, memory, message traffic, the delay of the event loop and the
// dropped log lines of this process. aTransport, aLoop and aLog must outlive
// aMetrics.
void
AddProcessMetrics(Metrics& aMetrics,
                  const MessageTransport& aTransport,
                  const LoopMonitor& aLoop,
                  const EventLog& aLog);

// Returns a hook that logs rejected requests. aLog must outlive the server.
HttpRejectHook
MakeRejectHook(EventLog& aLog);

// One bound on the bodies that a host holds, which serves its waits on aIo.
// aLimit: as in BufferBudgetOptions. aIo and aLog must outlive the budget.
std::shared_ptr<BufferBudget>
MakeBufferBudget(boost::asio::io_context& aIo,
                 std::uint64_t aLimit,
                 EventLog& aLog);

// aBudget must outlive aMetrics.
void
AddBufferMetrics(Metrics& aMetrics, const BufferBudget& aBudget);

HttpResponse
MetricsResponse(const Metrics& aMetrics);

// Serves only GET /metrics, on aAddress. Returns null if the address is empty.
// aMetrics must outlive the server.
std::unique_ptr<HttpServer>
ServeMetrics(boost::asio::io_context& aIo,
             const std::string& aAddress,
             const Metrics& aMetrics);

} // namespace fuchsiaramp
