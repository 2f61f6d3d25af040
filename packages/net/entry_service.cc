#include "net/entry_service.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "base/digest.h"
#include "entry/entry_node.h"
#include "net/announcement.h"
#include "net/backend_client.h"
#include "net/forwarding.h"
#include "net/http_answers.h"
#include "net/http_server.h"
#include "net/message_transport.h"
#include "net/monotonic.h"
#include "net/service_parts.h"
#include "observe/causal_clock.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

static constexpr Duration kTick = std::chrono::milliseconds(20);

class EntryService::Impl
{
public:
  Impl(asio::io_context& aIo,
       const Settings& aSettings,
       const std::string& aSecretKey)
    : m_io(aIo)
    , m_settings(aSettings)
    , m_incarnation(static_cast<std::uint64_t>(WallClockMicros()))
    , m_log(aSettings.host, m_incarnation, aSettings.logLevel, m_clock)
    , m_transport(aIo,
                  TransportOptionsOf(m_settings, m_incarnation, aSecretKey),
                  m_clock,
                  [this](const HostId& aFrom, const wire::Envelope& aMessage) {
                    m_node->OnMessage(aFrom, aMessage, MonotonicNow());
                  })
    , m_backends(aIo,
                 ClientOptions(),
                 [this](const AttemptEnd& aEnd, BackendResponse* aResponse) {
                   OnAttemptEnd(aEnd, aResponse);
                 })
    , m_timer(aIo)
  {
    for (const PeerSettings& peer : m_settings.controlHosts) {
      m_transport.SetPeer(peer.host, peer.messageAddress, peer.publicKey);
    }
    for (const PeerSettings& peer : m_settings.seeds) {
      m_transport.SetPeer(peer.host, peer.messageAddress, peer.publicKey);
    }
    EntryOptions options;
    options.settings = m_settings;
    options.incarnation = m_incarnation;
    m_node = std::make_unique<EntryNode>(
      options, Hooks(), Random(m_incarnation), MonotonicNow());
    AddMetrics();
    m_server.emplace(
      aIo, ServerOptions(), [this](const HttpExchangePtr& aExchange) {
        OnExchange(aExchange);
      });
    m_log.Write(Event("started").With("role", "entry"));
    ScheduleTick();
  }

  void Leave()
  {
    m_node->Leave(MonotonicNow());
    // From now on each answer ends its connection, so that callers move on.
    m_server->CloseAfterAnswers();
  }

private:
  struct Pending
  {
    HttpExchangePtr exchange;
    BackendRequest request;
    TimePoint startedAt;
  };

  BackendClientOptions ClientOptions() const
  {
    BackendClientOptions options;
    options.answerBytes = m_settings.limits.answerBodyBytes;
    options.keptAnswerBytes = m_settings.ledger.answerBytes;
    return options;
  }

  HttpServerOptions ServerOptions() const
  {
    HttpServerOptions options;
    options.address = m_settings.callerAddress;
    options.bodyBytes = m_settings.limits.requestBodyBytes;
    options.headerBytes =
      static_cast<std::uint32_t>(m_settings.limits.headerBytes);
    options.connections = m_settings.limits.callerConnections;
    options.headerTimeout = m_settings.limits.headerTimeout;
    options.idleTimeout = m_settings.limits.idleTimeout;
    return options;
  }

  EntryHooks Hooks()
  {
    EntryHooks hooks;
    hooks.send = [this](const HostId& aTo, const wire::Envelope& aMessage) {
      m_transport.Send(aTo, aMessage);
    };
    hooks.startAttempt = [this](const AttemptStart& aStart) {
      return StartAttempt(aStart);
    };
    hooks.cancelAttempt = [this](AttemptId aId) { m_backends.Cancel(aId); };
    hooks.answer = [this](const FinalAnswer& aAnswer) { OnAnswer(aAnswer); };
    hooks.hostChanged = [this](const wire::HostRecord& aRecord) {
      m_transport.SetPeer(HostId(aRecord.host()),
                          aRecord.message_address(),
                          aRecord.public_key());
    };
    hooks.record = [this](const Event& aEvent) { m_log.Write(aEvent); };
    return hooks;
  }

  void ScheduleTick()
  {
    m_timer.expires_after(kTick);
    m_timer.async_wait([this](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      m_transport.Poll();
      m_node->Tick(MonotonicNow());
      if (m_node->MayExit(MonotonicNow())) {
        m_log.Write(Event("stopped"));
        m_server->StopAccepting();
        m_io.stop();
        return;
      }
      ScheduleTick();
    });
  }

  // Requests of callers.

  void OnExchange(const HttpExchangePtr& aExchange)
  {
    const std::string_view target = aExchange->Message().target();
    if (target.substr(0, kSystemPrefix.size()) == kSystemPrefix) {
      OnSystemRequest(aExchange, target.substr(kSystemPrefix.size()));
      return;
    }
    OnCallerRequest(aExchange);
  }

  void OnCallerRequest(const HttpExchangePtr& aExchange)
  {
    const auto& message = aExchange->Message();
    const TimePoint now = MonotonicNow();
    if (message.count(http::field::host) != 1 || message.target().empty() ||
        message.target()[0] != '/') {
      HttpAnswer answer = ErrorAnswer(
        400, "a request needs one Host header and a path that starts with '/'");
      answer.headers.emplace_back("Fuchsiaramp-Outcome", "not-run");
      aExchange->Respond(std::move(answer));
      return;
    }
    RequestHead head;
    head.id = m_nextRequest;
    m_nextRequest = m_nextRequest.Next();
    std::string host(message[http::field::host]);
    head.service = ServiceName(host.substr(0, host.find(':')));
    const std::string target(message.target());
    head.path = target.substr(0, target.find('?'));
    head.token = BearerToken(message);
    head.key = IdempotencyKey(std::string(message["Idempotency-Key"]));
    const std::string identity = std::string(message.method_string()) + '\n' +
                                 target + '\n' + message.body();
    head.bodyHash = Sha256Hex(identity);
    head.fingerprint = Fingerprint(Hash64(host + '\n' + identity));
    head.deadline = now + RequestTimeout(message);
    Pending& pending = m_pending[head.id];
    pending.exchange = aExchange;
    pending.startedAt = now;
    pending.request = ForwardedRequest(message);
    aExchange->OnGone(
      [this, id = head.id] { m_node->OnCallerGone(id, MonotonicNow()); });
    m_node->OnRequest(head, now);
  }

  Duration RequestTimeout(const HttpExchange::Request& aMessage) const
  {
    Duration timeout = m_settings.routing.requestTimeout;
    const auto text = aMessage["Fuchsiaramp-Deadline-Ms"];
    std::int64_t value = 0;
    const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
    if (!text.empty() && parsed.ec == std::errc() && value > 0) {
      timeout = std::min<Duration>(
        timeout,
        std::chrono::milliseconds(std::min<std::int64_t>(value, 3'600'000)));
    }
    return timeout;
  }

  ConnectionKind StartAttempt(const AttemptStart& aStart)
  {
    Pending& pending = m_pending.at(aStart.request);
    const Duration left = aStart.deadline - MonotonicNow();
    const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    pending.request.set(
      "Fuchsiaramp-Deadline-Ms",
      std::to_string(std::max<std::int64_t>(milliseconds, 1)));
    return m_backends.Start(aStart, pending.request);
  }

  void OnAttemptEnd(const AttemptEnd& aEnd, BackendResponse* aResponse)
  {
    m_endedAttempt = aEnd.id;
    m_response = aResponse;
    m_node->OnAttemptEnd(aEnd, MonotonicNow());
    m_response = nullptr;
  }

  void OnAnswer(const FinalAnswer& aAnswer)
  {
    const auto it = m_pending.find(aAnswer.request);
    if (it == m_pending.end()) {
      return;
    }
    const Pending pending = std::move(it->second);
    m_pending.erase(it);
    const double seconds = ToSeconds(MonotonicNow() - pending.startedAt);
    m_metrics.Latency("request_seconds").Add(seconds);
    HttpAnswer answer;
    if (aAnswer.relay && m_response != nullptr &&
        *aAnswer.relay == m_endedAttempt) {
      answer = RelayedAnswer(*m_response);
    } else if (aAnswer.stored) {
      answer.status = aAnswer.stored->status;
      answer.contentType = aAnswer.stored->contentType;
      answer.body = aAnswer.stored->body;
      answer.headers.emplace_back("Fuchsiaramp-Replayed", "true");
    } else {
      answer = ErrorAnswer(aAnswer.status, aAnswer.reason);
    }
    answer.headers.emplace_back("Fuchsiaramp-Outcome", ToText(aAnswer.outcome));
    answer.headers.emplace_back("Fuchsiaramp-Request",
                                m_settings.host.Value() + '/' +
                                  std::to_string(aAnswer.request.Value()));
    if (aAnswer.retryAfter) {
      const double wait = std::max(1.0, ToSeconds(*aAnswer.retryAfter));
      answer.headers.emplace_back(
        "Retry-After",
        std::to_string(static_cast<std::uint64_t>(wait + 0.999)));
    }
    pending.exchange->Respond(std::move(answer));
  }

  // System paths.

  void OnSystemRequest(const HttpExchangePtr& aExchange, std::string_view aPath)
  {
    const auto [path, query] = SplitTarget(aPath);
    static constexpr std::string_view kServers = "backend-servers/";
    if (path == "entry-hosts") {
      aExchange->Respond(AnswerAddresses(query));
    } else if (path.compare(0, kServers.size(), kServers) == 0) {
      aExchange->Respond(
        AnswerAnnouncement(*aExchange, path.substr(kServers.size())));
    } else if (path == "backend-servers") {
      aExchange->Respond(Guarded(*aExchange, [this] { return Servers(); }));
    } else if (path == "status") {
      aExchange->Respond(Guarded(*aExchange, [this] { return Status(); }));
    } else if (path == "metrics") {
      HttpAnswer answer;
      answer.contentType = "text/plain; version=0.0.4";
      answer.body = m_metrics.Text();
      aExchange->Respond(std::move(answer));
    } else {
      aExchange->Respond(ErrorAnswer(404, "no such system path"));
    }
  }

  // Where the settings have an operator token, only it opens these paths.
  HttpAnswer Guarded(const HttpExchange& aExchange,
                     const std::function<HttpAnswer()>& aAnswer) const
  {
    const bool allowed = IsOperator(aExchange.Message(), m_settings);
    return allowed ? aAnswer()
                   : ErrorAnswer(401, "the operator token is missing or wrong");
  }

  HttpAnswer AnswerAddresses(const std::string& aQuery)
  {
    const ServiceName service(QueryValue(aQuery, "service"));
    if (service.IsEmpty()) {
      return ErrorAnswer(400, "the query must be service=NAME");
    }
    const AddressAnswer found = m_node->OnAddressQuery(service, MonotonicNow());
    json::array addresses;
    for (const std::string& address : found.addresses) {
      addresses.emplace_back(address);
    }
    const std::int64_t lifetime =
      std::chrono::duration_cast<std::chrono::milliseconds>(found.lifetime)
        .count();
    return JsonAnswer(200,
                      { { "service", service.Value() },
                        { "addresses", addresses },
                        { "lifetime_ms", lifetime } });
  }

  // PUT announces or renews; DELETE, or state "leaving", says goodbye.
  HttpAnswer AnswerAnnouncement(const HttpExchange& aExchange,
                                const std::string& aId)
  {
    const auto& message = aExchange.Message();
    if (message.method() != http::verb::put) {
      return ErrorAnswer(405, "a backend server announces itself with PUT");
    }
    std::string problem;
    const auto record = ReadAnnouncement(aId, message.body(), problem);
    if (!record) {
      return ErrorAnswer(400, problem);
    }
    m_node->OnAnnouncement(*record, MonotonicNow());
    const std::int64_t lifetime =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        m_settings.announcementLifetime)
        .count();
    return JsonAnswer(200, { { "lifetime_ms", lifetime } });
  }

  HttpAnswer Status() const
  {
    json::array hosts;
    for (const auto& [name, record] : m_node->Members().Table().Hosts()) {
      hosts.push_back(
        { { "host", name },
          { "state", wire::HostRecord::State_Name(record.state()) },
          { "region", record.region() },
          { "failure_domain", record.failure_domain() },
          { "incarnation", record.incarnation() } });
    }
    const EntryCounters& counters = m_node->Counters();
    return JsonAnswer(
      200,
      { { "host", m_settings.host.Value() },
        { "role", "entry" },
        { "serving", m_node->ListsInForce().IsServing() },
        { "leaving", m_node->IsLeaving() },
        { "lists_version", m_node->ListsInForce().Current().Version().Value() },
        { "in_flight", m_node->InFlight() },
        { "requests", counters.requests },
        { "answered", counters.answered },
        { "not_run", counters.notRun },
        { "unknown", counters.unknown },
        { "hosts", hosts } });
  }

  static const char* StateText(const ServerHealth* aHealth,
                               const BackendServer& aServer)
  {
    if (aServer.state == ServerState::kLeaving) {
      return "leaving";
    }
    if (aHealth == nullptr) {
      return "in-use";
    }
    switch (aHealth->state) {
      case HealthState::kTrial:
        return "trial";
      case HealthState::kRamp:
        return "ramp";
      default:
        return "ejected";
    }
  }

  HttpAnswer Servers()
  {
    const TimePoint now = MonotonicNow();
    json::array servers;
    for (const auto& [id, server] : m_node->Servers().All()) {
      const ServiceRouter* router = m_node->Services().Find(server.service);
      const ServerHealth* health =
        router == nullptr ? nullptr : router->RestrictionOf(id);
      json::object item = { { "id", id.Value() },
                            { "service", server.service.Value() },
                            { "address", server.address },
                            { "region", server.region.Value() },
                            { "failure_domain", server.failureDomain.Value() },
                            { "slots", server.slots },
                            { "state", StateText(health, server) } };
      if (health != nullptr) {
        item["cause"] = health->cause == SickCause::kSlow ? "slow" : "failures";
        item["weight"] = health->weight;
        item["seconds"] = ToSeconds(now - health->since);
      }
      servers.push_back(std::move(item));
    }
    return JsonAnswer(
      200, { { "host", m_settings.host.Value() }, { "servers", servers } });
  }

  void AddMetrics()
  {
    const auto counter = [this](const char* aName,
                                std::uint64_t EntryCounters::*aField) {
      m_metrics.Gauge(aName, [this, aField] {
        return static_cast<double>(m_node->Counters().*aField);
      });
    };
    counter("requests_total", &EntryCounters::requests);
    counter("answered_total", &EntryCounters::answered);
    counter("not_run_total", &EntryCounters::notRun);
    counter("unknown_total", &EntryCounters::unknown);
    counter("attempts_total", &EntryCounters::attempts);
    counter("retries_total", &EntryCounters::retries);
    counter("hedges_total", &EntryCounters::hedges);
    counter("shed_total", &EntryCounters::shed);
    counter("claims_total", &EntryCounters::claims);
    AddProcessMetrics(m_metrics, m_transport);
    m_metrics.Gauge("lists_version", [this] {
      return static_cast<double>(
        m_node->ListsInForce().Current().Version().Value());
    });
    m_metrics.Gauge("caller_connections", [this] {
      return static_cast<double>(m_server->ConnectionCount());
    });
  }

  asio::io_context& m_io;
  Settings m_settings;
  std::uint64_t m_incarnation;
  CausalClock m_clock;
  EventLog m_log;
  Metrics m_metrics;
  MessageTransport m_transport;
  BackendClient m_backends;
  asio::steady_timer m_timer;
  std::unique_ptr<EntryNode> m_node;
  std::optional<HttpServer> m_server;
  std::unordered_map<RequestId, Pending> m_pending;
  RequestId m_nextRequest{ 1 };
  AttemptId m_endedAttempt;
  BackendResponse* m_response = nullptr;
};

EntryService::EntryService(asio::io_context& aIo,
                           const Settings& aSettings,
                           const std::string& aSecretKey)
  : m_impl(std::make_unique<Impl>(aIo, aSettings, aSecretKey))
{
}

EntryService::~EntryService() = default;

void
EntryService::Leave()
{
  m_impl->Leave();
}

} // namespace fuchsiaramp
