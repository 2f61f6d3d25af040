#include "net/control_service.h"

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "base/digest.h"
#include "base/error.h"
#include "control/control_node.h"
#include "control/control_shutdown.h"
#include "disk/posix_files.h"
#include "disk/segment_log.h"
#include "net/buffer_budget.h"
#include "net/http_responses.h"
#include "net/http_server.h"
#include "net/message_transport.h"
#include "net/monotonic.h"
#include "net/service_common.h"
#include "observe/causal_clock.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
static constexpr Duration kTrafficLogInterval = std::chrono::seconds(10);
static constexpr std::uint64_t kMaxDocumentBytes = 64 << 20;
// Of all other calls, such as reports of backend servers.
static constexpr std::uint64_t kMaxCallBytes = 16 << 10;
// Of all bodies that are received at once, where the settings do not say how
// much memory the process may use.
static constexpr std::uint64_t kDefaultBufferedBytes = 2 * kMaxDocumentBytes;
static constexpr std::uint64_t kSegmentSlackBytes = 256 << 20;

class ControlService::Impl
{
public:
  Impl(asio::io_context& aIo,
       const Settings& aSettings,
       const std::string& aSecretKey,
       ControlApi aApi,
       std::error_code& aError)
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
                    ScheduleFlush();
                  })
    , m_budget(MakeBufferBudget(aIo,
                                m_settings.limits.bufferedBytes == 0
                                  ? kDefaultBufferedBytes
                                  : m_settings.limits.bufferedBytes,
                                m_log))
    , m_timer(aIo)
    , m_loop([this](const Event& aEvent) { m_log.Write(aEvent); })
    , m_shutdown(aSettings.gracePeriod)
  {
    for (const PeerSettings& peer : m_settings.controlHosts) {
      if (peer.host != m_settings.host) {
        m_transport.SetPeer(peer.host, peer.messageAddress, peer.publicKey);
      }
    }
    std::vector<GroupStorage> storage = OpenStorage(aError);
    if (aError) {
      return;
    }
    ControlOptions options;
    options.self = m_settings.host;
    options.region = m_settings.region;
    options.failureDomain = m_settings.failureDomain;
    for (const PeerSettings& peer : m_settings.controlHosts) {
      options.hosts.push_back(peer.host);
    }
    options.consensus.mayBootstrap = m_settings.group.mayBootstrap;
    options.consensus.openMembership = m_settings.group.openMembership;
    options.consensus.electionTimeout = m_settings.group.electionTimeout;
    options.consensus.heartbeatInterval = m_settings.group.heartbeatInterval;
    options.serverLifetime = m_settings.group.serverLifetime;
    options.ledger.maxBytes = m_settings.ledger.bytes;
    options.ledger.retention = m_settings.ledger.retention;
    m_node =
      std::make_unique<ControlNode>(std::move(options),
                                    std::move(storage),
                                    Hooks(),
                                    MakeRandom(m_settings.host, m_incarnation),
                                    MonotonicNow());
    AddMetrics();
    m_metricsServer = ServeMetrics(aIo, m_settings.metricsAddress, m_metrics);
    HttpServerOptions server;
    server.address = m_settings.callerAddress;
    server.limits.bodyBytes = kMaxDocumentBytes;
    server.bodyLimit = [this](const HttpExchange::Request& aHeader) {
      return m_api.carriesDocument(aHeader) ? kMaxDocumentBytes : kMaxCallBytes;
    };
    server.budget = m_budget;
    server.onRejected = MakeRejectHook(m_log);
    m_server.emplace(aIo, server, [this](const HttpExchangePtr& aExchange) {
      OnExchange(aExchange);
    });
    m_log.Write(Event("started").With("role", "control"));
    ScheduleTick();
  }

  // Waits hold connections, which hold the budget.
  ~Impl() { m_budget->Close(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Leave(TimePoint aRequestedAt)
  {
    if (m_shutdown.HasBegun()) {
      return;
    }
    m_shutdown.Begin(MonotonicNow(), aRequestedAt);
    m_log.Write(HeldWork(Event("leaving")));
    // Callers do not send their next request to this host.
    m_server->CloseAfterResponses();
    m_node->Leave(MonotonicNow());
    ScheduleFlush();
  }

  void Reload(const Settings& aSettings)
  {
    std::vector<HostId> hosts;
    for (const PeerSettings& peer : aSettings.controlHosts) {
      hosts.push_back(peer.host);
      if (peer.host != m_settings.host) {
        m_transport.SetPeer(peer.host, peer.messageAddress, peer.publicKey);
      }
    }
    m_node->SetJoinTargets(hosts);
    m_log.Write(Event("settings_reloaded").With("control_hosts", hosts.size()));
  }

  std::error_code FatalError() const { return m_fatal; }

private:
  std::vector<GroupStorage> OpenStorage(std::error_code& aError)
  {
    std::vector<GroupStorage> storage;
    const std::size_t groups = 1 + m_settings.ledger.groups;
    const std::uint64_t segmentBytes =
      m_settings.ledger.bytes + kSegmentSlackBytes;
    for (std::size_t i = 0; i < groups; ++i) {
      const std::string folder =
        m_settings.dataFolder + "/group-" + std::to_string(i);
      FileHooks files = OpenFolder(folder, aError);
      if (aError) {
        return storage;
      }
      m_segmentLogs.push_back(std::make_unique<SegmentLog>(
        std::move(files), Random(DiskSeed(i)), segmentBytes));
      GroupStorage group;
      aError = m_segmentLogs.back()->Open(group.stored);
      if (aError) {
        m_log.Write(Event("storage_unusable")
                      .With("folder", folder)
                      .With("error", aError.message()));
        return storage;
      }
      if (m_segmentLogs.back()->EscapedTexts() > 0) {
        m_log.Write(Event("stored_text_escaped")
                      .With("folder", folder)
                      .With("count", m_segmentLogs.back()->EscapedTexts()));
      }
      group.hooks = m_segmentLogs.back()->Hooks();
      storage.push_back(std::move(group));
    }
    return storage;
  }

  // Seeds the id of a new disk, which must differ between hosts and between
  // starts of one host.
  std::uint64_t DiskSeed(std::size_t aGroup) const
  {
    return Hash64(m_settings.host.Value() + '/' + std::to_string(aGroup),
                  m_incarnation);
  }

  ControlHooks Hooks()
  {
    ControlHooks hooks;
    hooks.send = [this](const HostId& aTo, const wire::Envelope& aMessage) {
      m_transport.Send(aTo, aMessage);
    };
    hooks.hostDiscovered = [this](const HostId& aHost) {
      if (IsAddress(aHost.Value())) {
        m_transport.SetPeer(aHost, aHost.Value(), "");
      }
    };
    hooks.wallClock = WallClockMicros;
    hooks.fatal = [this](std::error_code aError) {
      m_fatal = aError;
      m_io.stop();
    };
    hooks.record = [this](const Event& aEvent) { m_log.Write(aEvent); };
    return hooks;
  }

  // One flush, and so one disk sync, covers all messages that arrived together.
  void ScheduleFlush()
  {
    if (m_flushScheduled) {
      return;
    }
    m_flushScheduled = true;
    asio::post(m_io, [this] {
      m_flushScheduled = false;
      Flush();
    });
  }

  // What is left is sent after other events that are due.
  void Flush()
  {
    m_node->Flush(MonotonicNow());
    if (m_node->HasWaitingUpdates()) {
      ScheduleFlush();
    }
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
      if (IsDue(m_nextTrafficLogAt, MonotonicNow())) {
        m_nextTrafficLogAt = MonotonicNow() + kTrafficLogInterval;
        m_log.Write(TrafficEvent(m_transport.Counters(), m_loop));
      }
      m_node->Tick(MonotonicNow());
      Flush();
      if (m_shutdown.HasBegun() && ContinueShutdown(MonotonicNow())) {
        return;
      }
      ScheduleTick();
    });
  }

  // Returns whether the process ends.
  bool ContinueShutdown(TimePoint aNow)
  {
    if (m_shutdown.GivesUp(aNow)) {
      m_node->GiveUp();
    }
    m_shutdown.Update(Held(), aNow);
    if (m_shutdown.IsClosed() && !m_serverClosed) {
      m_serverClosed = true;
      m_log.Write(HeldWork(Event("server_closed")));
      m_server->StopAccepting();
      m_server->CloseIdleConnections();
    }
    if (m_shutdown.MayExit()) {
      m_log.Write(HeldWork(Event("stopped")));
      m_io.stop();
    }
    return m_shutdown.MayExit();
  }

  ControlHeldWork Held() const
  {
    const ConnectionCounts connections = m_server->Connections();
    ControlHeldWork held;
    held.commands = m_node->InHand();
    held.requests = connections.handling + connections.responding;
    held.connections =
      connections.idle + connections.receiving + connections.closing;
    for (std::size_t i = 0; i < m_node->GroupCount(); ++i) {
      held.ledGroups += m_node->GroupNode(i).IsLeader() ? 1 : 0;
    }
    return held;
  }

  // Adds what a process that ends now would cut off.
  Event HeldWork(Event aEvent) const
  {
    const ControlHeldWork held = Held();
    aEvent.Add("held", held.commands);
    aEvent.Add("led_groups", held.ledGroups);
    AddConnections(aEvent, m_server->Connections());
    return aEvent;
  }

  void OnExchange(const HttpExchangePtr& aExchange)
  {
    ControlRequest request = m_api.parseRequest(aExchange->Message());
    std::visit([&](auto& aRequest) { OnRequest(aExchange, aRequest); },
               request);
  }

  void OnRequest(const HttpExchangePtr& aExchange, const MetricsRequest&)
  {
    aExchange->Respond(MetricsResponse(m_metrics));
  }

  void OnRequest(const HttpExchangePtr& aExchange, const StatusRequest&)
  {
    aExchange->Respond(StatusResponse());
  }

  void OnRequest(const HttpExchangePtr& aExchange, const ListsRequest&)
  {
    RespondIfLeader(aExchange, [this] {
      return m_api.writeLists(m_node->State(kListsGroup).ListsPart().Current());
    });
  }

  void OnRequest(const HttpExchangePtr& aExchange, const HistoryRequest&)
  {
    RespondIfLeader(aExchange, [this] { return HistoryResponse(); });
  }

  void OnRequest(const HttpExchangePtr& aExchange, const InForceRequest&)
  {
    RespondIfLeader(aExchange, [this] { return InForceResponse(); });
  }

  void OnRequest(const HttpExchangePtr& aExchange,
                 const RejectedRequest& aRequest)
  {
    aExchange->Respond(aRequest.response);
  }

  void OnRequest(const HttpExchangePtr& aExchange,
                 const ChangeRequest& aRequest)
  {
    m_node->ChangeLists(aRequest.change,
                        MonotonicNow(),
                        [this, aExchange](const ListsChangeReply& aReply) {
                          aExchange->Respond(
                            ChangeResponse(aReply, *aExchange));
                        });
    ScheduleFlush();
  }

  void OnRequest(const HttpExchangePtr& aExchange,
                 const AnnouncementRequest& aRequest)
  {
    m_node->ReportServer(
      aRequest.record, MonotonicNow(), [this, aExchange](bool aStored) {
        aExchange->Respond(
          m_api.writeAnnouncementResult(aStored, !m_node->IsLeaving()));
      });
    ScheduleFlush();
  }

  // Only a leader that holds a lease answers, so that a response never shows a
  // state older than one already acknowledged.
  void RespondIfLeader(
    const HttpExchangePtr& aExchange,
    const std::function<HttpResponse()>& aWriteResponse) const
  {
    const Node& node = m_node->GroupNode(kListsGroup);
    const bool leased = node.HasLease(MonotonicNow());
    aExchange->Respond(leased ? aWriteResponse()
                              : NotLeaderResponse(node.Leader(), *aExchange));
  }

  HttpResponse NotLeaderResponse(const HostId& aLeader,
                                 const HttpExchange& aExchange) const
  {
    // A leader without a valid lease does not redirect to itself.
    const HostId other = aLeader == m_settings.host ? HostId() : aLeader;
    return m_api.writeNotLeader(other, aExchange.Message().target());
  }

  HttpResponse HistoryResponse() const
  {
    json::array changes;
    for (const wire::ChangeRecord& change :
         m_node->State(kListsGroup).ListsPart().Changes()) {
      changes.push_back({ { "version", change.version() },
                          { "change_id", change.change_id() },
                          { "operator", change.operator_name() },
                          { "accepted_at_us", change.accepted_at_us() } });
    }
    return JsonResponse(200, { { "changes", changes } });
  }

  HttpResponse InForceResponse() const
  {
    const TimePoint now = MonotonicNow();
    json::array hosts;
    for (const auto& [host, reported] : m_node->EntryHosts()) {
      hosts.push_back(
        { { "host", host.Value() },
          { "version", reported.version.Value() },
          { "seconds_ago", ToSeconds(now - reported.reportedAt) } });
    }
    const auto version =
      m_node->State(kListsGroup).ListsPart().Current().Version().Value();
    return JsonResponse(200, { { "version", version }, { "hosts", hosts } });
  }

  HttpResponse ChangeResponse(const ListsChangeReply& aReply,
                              const HttpExchange& aExchange) const
  {
    const wire::CommandResult& result = aReply.result;
    m_log.Write(
      Event("lists_change")
        .With("outcome", wire::CommandResult::Code_Name(result.code()))
        .With("version", result.version())
        .With("reason", result.text() + aReply.findings));
    if (result.code() == wire::CommandResult::NOT_LEADER) {
      return NotLeaderResponse(HostId(result.text()), aExchange);
    }
    return m_api.writeChange(aReply);
  }

  HttpResponse StatusResponse() const
  {
    json::array groups;
    for (std::size_t i = 0; i < m_node->GroupCount(); ++i) {
      const Node& node = m_node->GroupNode(i);
      json::array members;
      for (const wire::Member& member : node.Members().members()) {
        members.push_back({ { "host", member.host() },
                            { "disk", std::to_string(member.disk_id()) },
                            { "voter", member.voter() } });
      }
      groups.push_back(
        { { "group", i },
          { "leader", node.Leader().Value() },
          { "leads", node.HasLease(MonotonicNow()) },
          { "blank", node.HasEmptyDisk() },
          { "term", node.Term() },
          { "committed", node.Commit() },
          { "applied", node.Applied() },
          { "ledger_records", m_node->State(i).LedgerPart().size() },
          { "ledger_bytes", m_node->State(i).LedgerPart().Bytes() },
          { "members", members } });
    }
    const auto version =
      m_node->State(kListsGroup).ListsPart().Current().Version().Value();
    return JsonResponse(200,
                        { { "host", m_settings.host.Value() },
                          { "role", "control" },
                          { "lists_version", version },
                          { "groups", groups } });
  }

  template<class BytesOf>
  double SumOverGroups(const BytesOf& aBytesOf) const
  {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < m_node->GroupCount(); ++i) {
      sum += aBytesOf(m_node->GroupNode(i));
    }
    return static_cast<double>(sum);
  }

  void AddMetrics()
  {
    AddProcessMetrics(m_metrics, m_transport, m_loop, m_log);
    const auto quotaCounter =
      [this](const char* aName, std::uint64_t QuotaBrokerCounters::*aField) {
        m_metrics.Gauge(aName, [this, aField] {
          return static_cast<double>(m_node->QuotaCounters().*aField);
        });
      };
    quotaCounter("quota_permits_granted_total", &QuotaBrokerCounters::granted);
    quotaCounter("quota_denied_total", &QuotaBrokerCounters::denied);
    quotaCounter("quota_unknown_total", &QuotaBrokerCounters::unknown);
    quotaCounter("quota_reports_total", &QuotaBrokerCounters::reports);
    m_metrics.Gauge("evidence_dropped_total", [this] {
      return static_cast<double>(m_node->DroppedEvidence());
    });
    m_metrics.Gauge("reports_refused_total", [this] {
      return static_cast<double>(m_node->RefusedReports());
    });
    m_metrics.Gauge("stored_texts_escaped_total", [this] {
      return static_cast<double>(m_node->EscapedTexts());
    });
    AddBufferMetrics(m_metrics, *m_budget);
    m_metrics.Gauge("log_entry_bytes", [this] {
      return SumOverGroups(
        [](const Node& aNode) { return aNode.Entries().Bytes(); });
    });
    m_metrics.Gauge("snapshot_bytes", [this] {
      return SumOverGroups(
        [](const Node& aNode) { return aNode.SnapshotBytes(); });
    });
    m_metrics.Gauge("lists_history_bytes", [this] {
      return static_cast<double>(
        m_node->State(kListsGroup).ListsPart().History().Bytes());
    });
    m_metrics.Gauge("lists_version", [this] {
      return static_cast<double>(
        m_node->State(kListsGroup).ListsPart().Current().Version().Value());
    });
  }

  asio::io_context& m_io;
  Settings m_settings;
  ControlApi m_api;
  std::uint64_t m_incarnation;
  CausalClock m_clock;
  mutable EventLog m_log;
  Metrics m_metrics;
  MessageTransport m_transport;
  std::shared_ptr<BufferBudget> m_budget;
  asio::steady_timer m_timer;
  LoopMonitor m_loop;
  TimePoint m_nextTrafficLogAt;
  std::vector<std::unique_ptr<SegmentLog>> m_segmentLogs;
  std::unique_ptr<ControlNode> m_node;
  std::optional<HttpServer> m_server;
  std::unique_ptr<HttpServer> m_metricsServer;
  bool m_flushScheduled = false;
  ControlShutdown m_shutdown;
  bool m_serverClosed = false;
  std::error_code m_fatal;
};

ControlService::ControlService(asio::io_context& aIo,
                               const Settings& aSettings,
                               const std::string& aSecretKey,
                               ControlApi aApi,
                               std::error_code& aError)
  : m_impl(std::make_unique<Impl>(aIo,
                                  aSettings,
                                  aSecretKey,
                                  std::move(aApi),
                                  aError))
{
}

ControlService::~ControlService() = default;

void
ControlService::Leave(TimePoint aRequestedAt)
{
  m_impl->Leave(aRequestedAt);
}

void
ControlService::Reload(const Settings& aSettings)
{
  m_impl->Reload(aSettings);
}

std::error_code
ControlService::FatalError() const
{
  return m_impl->FatalError();
}

} // namespace fuchsiaramp
