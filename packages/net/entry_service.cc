#include "net/entry_service.h"

#include <algorithm>
#include <memory>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "base/digest.h"
#include "entry/entry_node.h"
#include "net/backend_client.h"
#include "net/buffer_budget.h"
#include "net/connection_probe.h"
#include "net/forwarding.h"
#include "net/http_responses.h"
#include "net/http_server.h"
#include "net/message_transport.h"
#include "net/monotonic.h"
#include "net/request_limits.h"
#include "net/service_common.h"
#include "observe/causal_clock.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
static constexpr Duration kTrafficLogInterval = std::chrono::seconds(10);
static constexpr Duration kConnectionCheckInterval = std::chrono::seconds(1);
// While the host leaves, what it still holds is logged this often. A process
// that is killed at the end of its grace period writes no other line.
static constexpr Duration kLeaveLogInterval = std::chrono::milliseconds(500);

class EntryService::Impl
{
public:
  Impl(asio::io_context& aIo,
       const Settings& aSettings,
       const std::string& aSecretKey,
       EntryApi aApi)
    : m_io(aIo)
    , m_settings(aSettings)
    , m_api(std::move(aApi))
    , m_incarnation(static_cast<std::uint64_t>(WallClockMicros()))
    , m_log(aSettings.host,
            m_incarnation,
            aSettings.logLevel,
            m_clock,
            MonotonicNow)
    , m_transport(aIo,
                  MakeTransportOptions(m_settings, m_incarnation, aSecretKey),
                  m_clock,
                  [this](const HostId& aFrom, const wire::Envelope& aMessage) {
                    m_node->OnMessage(aFrom, aMessage, MonotonicNow());
                  })
    , m_budget(MakeBufferBudget(aIo, m_settings.limits.bufferedBytes, m_log))
    , m_backends(
        aIo,
        ClientOptions(),
        [this](const BackendResponse& aResponse,
               const BackendRequest& aRequest) {
          return aRequest.count(kForwardedHeader) != 0
                   ? m_api.classifyPeerResponse(aResponse, aRequest)
                   : m_api.classifyResponse(aResponse, aRequest);
        },
        [this](const AttemptEnd& aEnd,
               BackendResponse* aResponse,
               BufferReservation aHeld) {
          OnAttemptEnd(aEnd, aResponse, std::move(aHeld));
        })
    , m_timer(aIo)
    , m_loop([this](const Event& aEvent) { m_log.Write(aEvent); })
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
    m_node =
      std::make_unique<EntryNode>(options,
                                  Hooks(),
                                  MakeRandom(m_settings.host, m_incarnation),
                                  MonotonicNow());
    AddMetrics();
    Listen(Listener::kCallers, m_settings.callerAddress);
    Listen(Listener::kReadiness, m_settings.readinessAddress);
    Listen(Listener::kDirectory, m_settings.directoryAddress);
    m_metricsServer = ServeMetrics(m_io, m_settings.metricsAddress, m_metrics);
    m_log.Write(Event("started").With("role", "entry"));
    ScheduleTick();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  // Waits hold connections, which hold the budget.
  ~Impl() { m_budget->Close(); }

  void Leave(TimePoint aRequestedAt)
  {
    m_node->Leave(MonotonicNow(), aRequestedAt);
    // Each response now closes its connection, so that callers connect to other
    // hosts.
    m_servers.front()->CloseAfterResponses();
    m_nextLeaveLogAt = MonotonicNow() + kLeaveLogInterval;
  }

  // Adds the control hosts and seeds of the new settings.
  void Reload(const Settings& aSettings)
  {
    std::vector<HostId> control;
    for (const PeerSettings& peer : aSettings.controlHosts) {
      control.push_back(peer.host);
      m_transport.SetPeer(peer.host, peer.messageAddress, peer.publicKey);
    }
    std::vector<HostId> seeds;
    for (const PeerSettings& peer : aSettings.seeds) {
      seeds.push_back(peer.host);
      m_transport.SetPeer(peer.host, peer.messageAddress, peer.publicKey);
    }
    m_node->AddControlHosts(control);
    m_node->AddSeeds(seeds);
    m_log.Write(Event("settings_reloaded")
                  .With("control_hosts", control.size())
                  .With("seeds", seeds.size()));
  }

private:
  struct CallerExchange
  {
    HttpExchangePtr exchange;
    BackendRequest request;
    TimePoint startedAt;
    std::string callerRequestId;
  };

  BackendClientOptions ClientOptions() const
  {
    BackendClientOptions options;
    options.maxResponseBytes = m_settings.limits.responseBodyBytes;
    options.maxLedgerResponseBytes = m_settings.ledger.storedResponseBytes;
    options.connectTimeout = m_settings.routing.connectTimeout;
    options.idleLifetime = m_settings.routing.idleLifetime;
    options.acceptsUnframedResponses = m_api.acceptsUnframedResponses;
    options.serverBytes = m_settings.routing.serverBytes;
    options.budget = m_budget;
    options.onHeld = [this](AttemptId aAttempt) {
      m_node->OnAttemptHeld(aAttempt, MonotonicNow());
    };
    return options;
  }

  void Listen(Listener aListener, const std::string& aAddress)
  {
    if (aAddress.empty()) {
      return;
    }
    HttpServerOptions options = ServerOptions();
    options.address = aAddress;
    m_servers.push_back(std::make_unique<HttpServer>(
      m_io, options, [this, aListener](const HttpExchangePtr& aExchange) {
        OnExchange(aListener, aExchange);
      }));
  }

  HttpServerOptions ServerOptions()
  {
    HttpServerOptions options;
    options.limits = EffectiveLimits(m_settings.limits, {});
    options.onRejected = MakeRejectHook(m_log);
    options.onStalled = [this](const StalledResponse& aResponse) {
      m_log.Write(
        Event("writer_stalled")
          .With("peer", aResponse.peer)
          .With("caller_request", aResponse.callerRequestId)
          .With("accepted_bytes", aResponse.accepted)
          .With("held_bytes", aResponse.held)
          .With("timeout_ms", m_settings.limits.writeTimeout.count() / 1000));
    };
    options.budget = m_budget;
    options.maxConnections = m_settings.limits.callerConnections;
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
    hooks.startProbe = [this](ProbeId aProbe, const std::string& aAddress) {
      ProbeConnection(m_io,
                      aAddress,
                      m_settings.routing.connectTimeout,
                      [this, aProbe](bool aConnected) {
                        m_node->OnProbeEnd(aProbe, aConnected, MonotonicNow());
                      });
    };
    hooks.answer = [this](const FinalResponse& aFinal) {
      OnFinalResponse(aFinal);
    };
    hooks.hostChanged = [this](const wire::HostRecord& aRecord) {
      const std::string& address = aRecord.message_address();
      m_transport.SetPeer(HostId(aRecord.host()),
                          address.empty() ? aRecord.host() : address,
                          aRecord.public_key());
    };
    hooks.record = [this](const Event& aEvent) { m_log.Write(aEvent); };
    hooks.flushNeeded = [this] { ScheduleFlush(); };
    return hooks;
  }

  // One flush covers all requests that arrived together.
  void ScheduleFlush()
  {
    if (m_flushScheduled) {
      return;
    }
    m_flushScheduled = true;
    asio::post(m_io, [this] {
      m_flushScheduled = false;
      m_node->Flush(MonotonicNow());
    });
  }

  void ScheduleTick()
  {
    m_loop.Expect(MonotonicNow() + kTickInterval);
    m_timer.expires_after(kTickInterval);
    m_timer.async_wait([this](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      m_loop.OnTick(MonotonicNow());
      m_log.Flush();
      m_transport.Poll();
      m_budget->ServeWaiting(MonotonicNow());
      if (IsDue(m_nextConnectionCheckAt, MonotonicNow())) {
        m_nextConnectionCheckAt = MonotonicNow() + kConnectionCheckInterval;
        m_backends.CloseUnusableConnections();
      }
      if (IsDue(m_nextTrafficLogAt, MonotonicNow())) {
        m_nextTrafficLogAt = MonotonicNow() + kTrafficLogInterval;
        m_log.Write(TrafficEvent(m_transport.Counters(), m_loop));
      }
      m_node->Tick(MonotonicNow());
      ApplyLimits();
      if (m_node->IsLeaving() && IsDue(m_nextLeaveLogAt, MonotonicNow())) {
        m_nextLeaveLogAt = MonotonicNow() + kLeaveLogInterval;
        m_log.Write(HeldWork(Event("leave_progress")));
      }
      if (m_node->Shutdown().IsClosed(MonotonicNow())) {
        CloseServers();
      }
      if (MayExit(MonotonicNow())) {
        m_log.Write(HeldWork(Event("stopped")));
        m_io.stop();
        return;
      }
      ScheduleTick();
    });
  }

  // Requests that arrive on connections that are not idle are still refused,
  // and their connections closed.
  void CloseServers()
  {
    if (m_serversClosed) {
      return;
    }
    m_serversClosed = true;
    m_log.Write(HeldWork(Event("servers_closed")));
    m_servers.front()->StopAccepting();
    m_servers.front()->CloseIdleConnections();
  }

  // Responses are delivered before the process ends, but callers that do not
  // complete their request or close their connection are not waited for longer
  // than the grace period.
  bool MayExit(TimePoint aNow) const
  {
    if (!m_node->MayExit(aNow)) {
      return false;
    }
    for (const auto& server : m_servers) {
      const ConnectionCounts connections = server->Connections();
      if (connections.handling + connections.responding > 0) {
        return false;
      }
    }
    const ConnectionCounts callers = m_servers.front()->Connections();
    return callers.idle + callers.receiving + callers.closing == 0 ||
           IsDue(m_node->Shutdown().ExitBy(), aNow);
  }

  // Adds what a process that ends now would cut off: requests without a
  // response, and responses that are not written yet.
  Event HeldWork(Event aEvent) const
  {
    aEvent.Add("requests", m_node->Counters().requests);
    aEvent.Add("refused_leaving", m_node->Counters().refusedLeaving);
    aEvent.Add("held", m_node->InFlight());
    AddConnections(aEvent, m_servers.front()->Connections());
    return aEvent;
  }

  // Applies the request limits of the lists in force.
  void ApplyLimits()
  {
    const Lists& lists = m_node->ListsInForce().Current();
    if (lists.Version() == m_limitsVersion) {
      return;
    }
    m_limitsVersion = lists.Version();
    m_servers.front()->SetLimits(
      EffectiveLimits(m_settings.limits, lists.Limits()));
  }

  // Handling of requests.

  void OnExchange(Listener aListener, const HttpExchangePtr& aExchange)
  {
    const EntryRequest request =
      m_api.parseRequest(aListener, aExchange->Message());
    std::visit([&](const auto& aRequest) { OnRequest(aExchange, aRequest); },
               request);
  }

  void OnRequest(const HttpExchangePtr& aExchange, const CallerRequest&)
  {
    OnCallerRequest(aExchange);
  }

  // A host is ready when it may be given new callers.
  void OnRequest(const HttpExchangePtr& aExchange, const ReadinessRequest&)
  {
    const bool ready =
      m_node->ListsInForce().IsServing() && !m_node->IsLeaving();
    aExchange->Respond(
      JsonResponse(ready ? 200 : 503,
                   { { "serving", m_node->ListsInForce().IsServing() },
                     { "leaving", m_node->IsLeaving() } }));
  }

  void OnRequest(const HttpExchangePtr& aExchange, const StatusRequest&)
  {
    aExchange->Respond(StatusResponse());
  }

  void OnRequest(const HttpExchangePtr& aExchange, const MetricsRequest&)
  {
    aExchange->Respond(MetricsResponse(m_metrics));
  }

  void OnRequest(const HttpExchangePtr& aExchange, const ServersRequest&)
  {
    aExchange->Respond(ServersResponse());
  }

  void OnRequest(const HttpExchangePtr& aExchange,
                 const AddressRequest& aRequest)
  {
    const TimePoint now = MonotonicNow();
    const AddressResponse found =
      aRequest.service.IsEmpty()
        ? m_node->OnFailureDomainQuery(aRequest.region, aRequest.domain, now)
        : m_node->OnAddressQuery(aRequest.service, now);
    aExchange->Respond(m_api.writeAddresses(found, aRequest));
  }

  void OnRequest(const HttpExchangePtr& aExchange,
                 const AnnouncementRequest& aRequest)
  {
    m_node->OnAnnouncement(aRequest.record, MonotonicNow());
    const std::int64_t lifetime =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        m_settings.announcementLifetime)
        .count();
    aExchange->Respond(JsonResponse(200, { { "lifetime_ms", lifetime } }));
  }

  void OnRequest(const HttpExchangePtr& aExchange,
                 const RejectedRequest& aRequest)
  {
    aExchange->Respond(aRequest.response);
  }

  void OnCallerRequest(const HttpExchangePtr& aExchange)
  {
    const auto& message = aExchange->Message();
    const TimePoint now = MonotonicNow();
    if (message.count(http::field::host) != 1 || message.target().empty() ||
        message.target()[0] != '/') {
      HttpResponse response =
        ErrorResponse(400,
                      "the request must have exactly one Host header "
                      "and a path that starts "
                      "with '/'");
      Reject(aExchange, std::move(response));
      return;
    }
    CallerHeaders caller = m_api.parseCallerHeaders(message);
    if (caller.refusal) {
      Reject(aExchange, std::move(*caller.refusal));
      return;
    }
    RequestHead head;
    head.id = m_nextRequest;
    m_nextRequest = m_nextRequest.Next();
    std::string host(message[http::field::host]);
    head.host = host.substr(0, host.find(':'));
    head.service = ServiceName(head.host);
    const std::string target(message.target());
    head.path = target.substr(0, target.find('?'));
    head.token = std::move(caller.token);
    head.key = std::move(caller.key);
    head.callerRequestId = std::move(caller.callerRequestId);
    head.tokenless = m_api.tokenless;
    head.forwarded = message.count(kForwardedHeader) != 0;
    if (head.forwarded) {
      head.tokenHash = std::string(message[kKeyHashHeader]);
      head.serversLeft = ParseServersLeft(message[kServersLeftHeader]);
    }
    const BufferedBodyPtr body = aExchange->TakeBody();
    const std::string_view bytes =
      body == nullptr ? std::string_view() : body->bytes;
    const std::string line =
      std::string(message.method_string()) + '\n' + target + '\n';
    head.bodyHash = Sha256Hex({ line, bytes });
    head.fingerprint = Fingerprint(Hash64({ host, "\n", line, bytes }));
    const Duration maxTimeout = m_settings.routing.requestTimeout;
    head.deadline =
      now + std::min(maxTimeout, caller.callerTimeout.value_or(maxTimeout));
    CallerExchange& pending = m_pending[head.id];
    pending.exchange = aExchange;
    pending.startedAt = now;
    pending.callerRequestId = head.callerRequestId;
    pending.request = ForwardedRequest(message, body, m_api.passesHeader);
    pending.request.erase(kForwardedHeader);
    pending.request.erase(kKeyHashHeader);
    pending.request.erase(kServersLeftHeader);
    aExchange->OnDisconnect([this, id = head.id] {
      m_node->OnCallerDisconnected(id, MonotonicNow());
    });
    m_node->OnRequest(head, now);
  }

  void Reject(const HttpExchangePtr& aExchange, HttpResponse aResponse)
  {
    FinalResponse final;
    final.status = aResponse.status;
    m_api.writeOutcome(final, aResponse);
    aExchange->Respond(std::move(aResponse));
  }

  ConnectionKind StartAttempt(const AttemptStart& aStart)
  {
    CallerExchange& pending = m_pending.at(aStart.request);
    const Duration remaining = aStart.deadline - MonotonicNow();
    if (aStart.forwards) {
      BackendRequest request = PeerRequest(pending.exchange->Message(),
                                           pending.request.body(),
                                           aStart,
                                           m_api.removeCredentials);
      m_api.setDeadline(request, remaining);
      return m_backends.Start(aStart, request);
    }
    if (aStart.removesCredentials) {
      m_api.removeCredentials(pending.request);
    }
    m_api.setAttemptHeaders(pending.request, aStart, remaining);
    return m_backends.Start(aStart, pending.request);
  }

  void OnAttemptEnd(const AttemptEnd& aEnd,
                    BackendResponse* aResponse,
                    BufferReservation aHeld)
  {
    m_endedAttempt = aEnd.id;
    m_response = aResponse;
    m_responseHeld = std::move(aHeld);
    m_node->OnAttemptEnd(aEnd, MonotonicNow());
    m_response = nullptr;
    m_responseHeld.Release();
  }

  void OnFinalResponse(const FinalResponse& aFinal)
  {
    const auto it = m_pending.find(aFinal.request);
    if (it == m_pending.end()) {
      return;
    }
    const CallerExchange pending = std::move(it->second);
    m_pending.erase(it);
    const double seconds = ToSeconds(MonotonicNow() - pending.startedAt);
    m_metrics.Latency("request_seconds").Add(seconds);
    if (aFinal.hadExtraAttempt) {
      m_metrics.Latency("extra_attempt_request_seconds").Add(seconds);
    }
    HttpResponse response;
    if (aFinal.relay && m_response != nullptr &&
        *aFinal.relay == m_endedAttempt) {
      response = RelayedResponse(*m_response, m_api.passesHeader);
      if (m_responseHeld.Bytes() > 0) {
        response.reservation =
          std::make_shared<BufferReservation>(std::move(m_responseHeld));
      }
    } else if (aFinal.stored) {
      response.status = aFinal.stored->status;
      response.contentType = aFinal.stored->contentType;
      response.body = aFinal.stored->body;
    } else {
      response = ErrorResponse(aFinal.status, aFinal.reason);
    }
    m_api.writeOutcome(aFinal, response);
    if (!IsFinalStatus(response.status)) {
      response = ErrorResponse(502, "the response has no valid status");
    }
    response.callerRequestId = pending.callerRequestId;
    pending.exchange->Respond(std::move(response));
  }

  // Responses to operators.

  HttpResponse StatusResponse() const
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
    return JsonResponse(
      200,
      { { "host", m_settings.host.Value() },
        { "role", "entry" },
        { "serving", m_node->ListsInForce().IsServing() },
        { "leaving", m_node->IsLeaving() },
        { "cut_off", m_node->IsCutOff() },
        { "lists_version", m_node->ListsInForce().Current().Version().Value() },
        { "in_flight", m_node->InFlight() },
        { "requests", counters.requests },
        { "answered", counters.answered },
        { "not_run", counters.notRun },
        { "unknown", counters.unknown },
        { "hosts", hosts } });
  }

  static const char* ServerStateName(const ServerHealth* aHealth,
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

  HttpResponse ServersResponse()
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
                            { "state", ServerStateName(health, server) } };
      if (health != nullptr) {
        item["cause"] =
          health->cause == EjectionCause::kSlow ? "slow" : "failures";
        item["weight"] = health->weight;
        item["seconds"] = ToSeconds(now - health->since);
      }
      servers.push_back(std::move(item));
    }
    return JsonResponse(
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
    if (m_settings.routing.extraAttempts) {
      counter("extra_attempts_total", &EntryCounters::extraAttempts);
      counter("extra_attempts_won_total", &EntryCounters::extraAttemptsWon);
      counter("extra_attempts_cancelled_total",
              &EntryCounters::extraAttemptsCancelled);
      counter("extra_attempts_denied_by_time_total",
              &EntryCounters::extraAttemptsDeniedByTime);
      counter("extra_attempts_denied_by_capacity_total",
              &EntryCounters::extraAttemptsDeniedByCapacity);
      counter("extra_attempts_denied_by_share_total",
              &EntryCounters::extraAttemptsDeniedByShare);
      counter("extra_attempts_denied_by_budget_total",
              &EntryCounters::extraAttemptsDeniedByBudget);
      counter("extra_attempts_denied_by_servers_total",
              &EntryCounters::extraAttemptsDeniedByServers);
    }
    counter("shed_total", &EntryCounters::shed);
    counter("slots_left_total", &EntryCounters::slotsLeft);
    counter("claims_total", &EntryCounters::claims);
    counter("forwarded_total", &EntryCounters::forwarded);
    counter("refused_key_total", &EntryCounters::refusedKey);
    counter("refused_key_lease_total", &EntryCounters::refusedKeyLease);
    counter("refused_leaving_total", &EntryCounters::refusedLeaving);
    counter("refused_leaving_with_peer_total",
            &EntryCounters::refusedLeavingWithPeer);
    const auto quotaCounter =
      [this](const char* aName, std::uint64_t QuotaClientCounters::*aField) {
        m_metrics.Gauge(aName, [this, aField] {
          return static_cast<double>(m_node->QuotaCounters().*aField);
        });
      };
    quotaCounter("quota_granted_total", &QuotaClientCounters::granted);
    quotaCounter("quota_denied_total", &QuotaClientCounters::denied);
    quotaCounter("quota_waited_total", &QuotaClientCounters::waited);
    quotaCounter("quota_unknown_total", &QuotaClientCounters::unknown);
    quotaCounter("quota_permits_unused_total", &QuotaClientCounters::expired);
    quotaCounter("quota_messages_total", &QuotaClientCounters::messages);
    m_metrics.Gauge("cut_off",
                    [this] { return m_node->IsCutOff() ? 1.0 : 0.0; });
    m_metrics.Gauge("limited_servers", [this] {
      return static_cast<double>(m_node->LimitedServers());
    });
    AddProcessMetrics(m_metrics, m_transport, m_loop, m_log);
    m_metrics.Gauge("lists_confirmed_age_seconds", [this] {
      return ToSeconds(m_node->ListsInForce()
                         .ConfirmedAge(MonotonicNow())
                         .value_or(Duration(-1)));
    });
    m_metrics.Gauge("lists_version", [this] {
      return static_cast<double>(
        m_node->ListsInForce().Current().Version().Value());
    });
    AddBodyMetrics();
    m_metrics.Gauge("caller_connections", [this] {
      return static_cast<double>(m_servers.front()->ConnectionCount());
    });
  }

  void AddBodyMetrics()
  {
    AddBufferMetrics(m_metrics, *m_budget);
    m_metrics.Gauge("server_sends_waiting", [this] {
      return static_cast<double>(m_backends.WaitingToSend());
    });
    m_metrics.Gauge("stalled_writers_total", [this] {
      return static_cast<double>(m_servers.front()->StalledWriters());
    });
  }

  asio::io_context& m_io;
  Settings m_settings;
  EntryApi m_api;
  std::uint64_t m_incarnation;
  CausalClock m_clock;
  EventLog m_log;
  Metrics m_metrics;
  MessageTransport m_transport;
  std::shared_ptr<BufferBudget> m_budget;
  BackendClient m_backends;
  asio::steady_timer m_timer;
  LoopMonitor m_loop;
  TimePoint m_nextTrafficLogAt;
  TimePoint m_nextConnectionCheckAt;
  TimePoint m_nextLeaveLogAt;
  bool m_serversClosed = false;
  bool m_flushScheduled = false;
  std::unique_ptr<EntryNode> m_node;
  // The first one serves callers.
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::unique_ptr<HttpServer> m_metricsServer;
  ListsVersion m_limitsVersion; // the lists whose limits are applied
  std::unordered_map<RequestId, CallerExchange> m_pending;
  RequestId m_nextRequest{ 1 };
  AttemptId m_endedAttempt;
  BackendResponse* m_response = nullptr;
  BufferReservation m_responseHeld; // of m_response
};

EntryService::EntryService(asio::io_context& aIo,
                           const Settings& aSettings,
                           const std::string& aSecretKey,
                           EntryApi aApi)
  : m_impl(std::make_unique<Impl>(aIo, aSettings, aSecretKey, std::move(aApi)))
{
}

EntryService::~EntryService() = default;

void
EntryService::Leave(TimePoint aRequestedAt)
{
  m_impl->Leave(aRequestedAt);
}

void
EntryService::Reload(const Settings& aSettings)
{
  m_impl->Reload(aSettings);
}

} // namespace fuchsiaramp
