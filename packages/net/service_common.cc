#include "net/service_common.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "base/digest.h"
#include "net/http_responses.h"
#include "net/monotonic.h"

namespace fuchsiaramp {

// Concurrent connections of metrics collectors.
static constexpr std::size_t kMaxMetricsConnections = 16;

MessageTransportOptions
MakeTransportOptions(const Settings& aSettings,
                     std::uint64_t aIncarnation,
                     const std::string& aSecretKey)
{
  MessageTransportOptions options;
  options.self = aSettings.host;
  options.incarnation = aIncarnation;
  options.bindAddress = aSettings.messageAddress;
  options.publicKey = aSettings.keys.publicKey;
  options.secretKey = aSecretKey;
  options.trustedKeys = TrustedKeys(aSettings);
  return options;
}

Random
MakeRandom(const HostId& aHost, std::uint64_t aIncarnation)
{
  return Random(Hash64(aHost.Value(), aIncarnation));
}

Event
TrafficEvent(const TransportCounters& aCounters, LoopMonitor& aLoop)
{
  Event event("messages_sent");
  for (const auto& [kind, traffic] : aCounters.sentByKind) {
    event.Add(kind + "_messages", traffic.messages);
    event.Add(kind + "_bytes", traffic.bytes);
  }
  event.Add("longest_loop_delay_ms", aLoop.TakeLongest().count() / 1000);
  return event;
}

void
AddConnections(Event& aEvent, const ConnectionCounts& aCounts)
{
  aEvent.Add("idle", aCounts.idle);
  aEvent.Add("receiving", aCounts.receiving);
  aEvent.Add("handling", aCounts.handling);
  aEvent.Add("responding", aCounts.responding);
  aEvent.Add("closing", aCounts.closing);
}

void
AddProcessMetrics(Metrics& aMetrics,
                  const MessageTransport& aTransport,
                  const LoopMonitor& aLoop,
                  const EventLog& aLog)
{
  aMetrics.Gauge("loop_delay_seconds",
                 [&aLoop] { return ToSeconds(aLoop.Last()); });
  aMetrics.Gauge("cpu_seconds", ProcessCpuSeconds);
  aMetrics.Gauge("resident_bytes", ProcessResidentBytes);
  aMetrics.Gauge("log_lines_dropped_total",
                 [&aLog] { return static_cast<double>(aLog.Dropped()); });
  const auto counter = [&](const char* aName,
                           std::uint64_t TransportCounters::*aField) {
    aMetrics.Gauge(aName, [&aTransport, aField] {
      return static_cast<double>(aTransport.Counters().*aField);
    });
  };
  counter("messages_sent_total", &TransportCounters::sent);
  counter("messages_sent_bytes", &TransportCounters::sentBytes);
  counter("messages_received_total", &TransportCounters::received);
  counter("messages_received_bytes", &TransportCounters::receivedBytes);
  counter("messages_dropped_total", &TransportCounters::dropped);
  counter("messages_malformed_total", &TransportCounters::malformed);
  counter("refused_keys_total", &TransportCounters::refusedKeys);
  counter("invalid_addresses_total", &TransportCounters::invalidAddresses);
}

HttpRejectHook
MakeRejectHook(EventLog& aLog)
{
  return [&aLog](const std::string& aPeer,
                 std::uint32_t aStatus,
                 const std::string& aText) {
    aLog.Write(Event("request_malformed")
                 .With("peer", aPeer)
                 .With("status", aStatus)
                 .With("reason", aText));
  };
}

std::shared_ptr<BufferBudget>
MakeBufferBudget(boost::asio::io_context& aIo,
                 std::uint64_t aLimit,
                 EventLog& aLog)
{
  const auto created = std::make_shared<std::weak_ptr<BufferBudget>>();
  BufferBudgetOptions options;
  options.limit = aLimit;
  options.record = [&aLog](const Event& aEvent) { aLog.Write(aEvent); };
  // Releases occur within other work, such as the end of a connection.
  options.onRoom = [&aIo, created] {
    boost::asio::post(aIo, [created] {
      if (const auto budget = created->lock()) {
        budget->ServeWaiting(MonotonicNow());
      }
    });
  };
  auto budget = std::make_shared<BufferBudget>(std::move(options));
  *created = budget;
  return budget;
}

void
AddBufferMetrics(Metrics& aMetrics, const BufferBudget& aBudget)
{
  const auto gauge = [&](const char* aName,
                         std::uint64_t (BufferBudget::*aValue)() const) {
    aMetrics.Gauge(aName, [&aBudget, aValue] {
      return static_cast<double>((aBudget.*aValue)());
    });
  };
  gauge("buffered_bytes", &BufferBudget::Used);
  gauge("buffered_bytes_peak", &BufferBudget::Peak);
  gauge("buffered_bytes_limit", &BufferBudget::Limit);
  gauge("buffer_waits_total", &BufferBudget::Waits);
  gauge("buffer_rejections_total", &BufferBudget::Rejected);
}

HttpResponse
MetricsResponse(const Metrics& aMetrics)
{
  HttpResponse response;
  response.contentType = "text/plain; version=0.0.4";
  response.body = aMetrics.Text();
  return response;
}

std::unique_ptr<HttpServer>
ServeMetrics(boost::asio::io_context& aIo,
             const std::string& aAddress,
             const Metrics& aMetrics)
{
  if (aAddress.empty()) {
    return nullptr;
  }
  HttpServerOptions options;
  options.address = aAddress;
  options.maxConnections = kMaxMetricsConnections;
  return std::make_unique<HttpServer>(
    aIo, options, [&aMetrics](const HttpExchangePtr& aExchange) {
      const auto& message = aExchange->Message();
      const bool isMetricsRequest =
        message.method() == boost::beast::http::verb::get &&
        message.target() == "/metrics";
      aExchange->Respond(
        isMetricsRequest
          ? MetricsResponse(aMetrics)
          : ErrorResponse(404, "this address serves only GET /metrics"));
    });
}

} // namespace fuchsiaramp
