// Forwarding of requests to other entry hosts while this one reaches no backend
// server. A request is forwarded once at most on its way, and only while it is
// certain that it did not run, unless it is repeatable.
#include "entry/entry_node.h"
#include "entry/forwarding_peer.h"

namespace fuchsiaramp {

// Peers may have lost the servers, too, before this host learns of it.
static constexpr std::size_t kMaxPeersPerRequest = 3;

// Only new connections count: old ones may live on while servers cannot be
// reached. What a failed connection says about the path is no evidence about
// the server, so other hosts are not told.
void
EntryNode::RecordReachability(const Attempt& aAttempt,
                              AttemptOutcome aOutcome,
                              TimePoint aNow)
{
  switch (aOutcome) {
    case AttemptOutcome::kRefused:
      m_reachability->OnUnreachable(aAttempt.server, aAttempt.startedAt, aNow);
      break;
    case AttemptOutcome::kSuccess:
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kShed:
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kOtherServer:
      if (aAttempt.connection == ConnectionKind::kNew) {
        m_reachability->OnConnected(aAttempt.startedAt);
      }
      break;
    default:
      break;
  }
}

void
EntryNode::OnProbeEnd(ProbeId aProbe, bool aConnected, TimePoint aNow)
{
  m_now = aNow;
  m_reachability->OnProbeEnd(aProbe, aConnected, aNow);
}

std::vector<ProbeTarget>
EntryNode::ProbeTargets() const
{
  std::vector<ProbeTarget> targets;
  for (const auto& [id, server] : m_directory.All()) {
    if (server.state == ServerState::kUp) {
      targets.push_back({ server.service, server.address });
    }
  }
  return targets;
}

void
EntryNode::OnReachabilityChanged()
{
  const bool cutOff = m_reachability->IsCutOff();
  m_hooks.record(Event(cutOff ? "servers_unreachable" : "servers_reachable")
                   .With("requests", m_requests.size()));
  m_membership->SetCutOff(cutOff, m_now);
  m_services->HostsChanged();
  m_lists->PullNow();
  if (!cutOff) {
    m_services->ForgetPaths();
    return;
  }
  std::vector<RequestId> waiting;
  for (const auto& [id, request] : m_requests) {
    const bool waits = IsWaiting(request);
    if (waits && request.claimAttempt.empty()) {
      waiting.push_back(id);
    }
  }
  for (const RequestId id : waiting) {
    Request& request = m_requests.at(id);
    AdmissionOf(request.head.service).queue.Remove(id);
    ForwardOrRefuse(request, m_now);
  }
}

EntryNode::FilterResult
EntryNode::ForwardIfCutOff(Request& aRequest, TimePoint aNow)
{
  if (!m_reachability->IsCutOff()) {
    return FilterResult::kContinue;
  }
  ForwardOrRefuse(aRequest, aNow);
  return FilterResult::kDone;
}

void
EntryNode::ForwardOrRefuse(Request& aRequest, TimePoint aNow)
{
  if (!Forward(aRequest, aNow)) {
    FailRequest(aRequest,
                nullptr,
                "this host reaches no backend server; use another entry host",
                Jitter(kRetryAtOtherHost),
                aNow);
  }
}

// A request that holds its key cannot be forwarded: the other host could not
// claim it.
bool
EntryNode::Forward(Request& aRequest, TimePoint aNow)
{
  if (aRequest.head.forwarded || !aRequest.claimAttempt.empty() ||
      aRequest.triedPeers.size() >= kMaxPeersPerRequest) {
    return false;
  }
  const Settings& own = m_options.settings;
  const wire::HostRecord* peer = SelectForwardingPeer(
    m_membership->Table().Hosts(),
    { own.host, own.region, own.failureDomain, aRequest.triedPeers },
    m_random);
  if (peer == nullptr) {
    return false;
  }
  // The other host takes a permit of its own.
  ReleasePermit(aRequest, aNow);
  const HostId host(peer->host());
  AttemptStart start;
  start.id = m_nextAttempt;
  m_nextAttempt = m_nextAttempt.Next();
  start.request = aRequest.head.id;
  start.address = peer->caller_address();
  start.callerRequestId = aRequest.head.callerRequestId;
  start.deadline = aRequest.head.deadline;
  start.requiresNewConnection = !aRequest.repeatable;
  start.forwards = true;
  AddCredentials(aRequest, start);
  Attempt attempt;
  attempt.request = aRequest.head.id;
  attempt.service = aRequest.head.service;
  attempt.forwards = true;
  attempt.startedAt = aNow;
  attempt.overdueAt = kNever;
  aRequest.stage = Stage::kAttempting;
  aRequest.triedPeers.insert(host);
  aRequest.runningAttempts.push_back(start.id);
  aRequest.firstAttemptAt = std::min(aRequest.firstAttemptAt, aNow);
  ++m_counters.forwarded;
  m_hooks.record(Event("request_forwarded")
                   .With("request", aRequest.head.id)
                   .With("attempt", start.id)
                   .With("peer", host)
                   .AsDebug());
  m_attempts[start.id] = attempt;
  m_attempts[start.id].connection = m_hooks.startAttempt(start);
  return true;
}

// A second send that may reach a server draws on the retry budget.
bool
EntryNode::MayForwardAgain(const Request& aRequest)
{
  if (!aRequest.mayHaveRun) {
    return true;
  }
  ServiceRouter* router = m_services->Find(aRequest.head.service);
  return aRequest.repeatable && router != nullptr &&
         router->Retries().TryRetry();
}

void
EntryNode::OnForwardEnd(Request& aRequest,
                        const AttemptEnd& aEnd,
                        TimePoint aNow)
{
  std::erase(aRequest.runningAttempts, aEnd.id);
  const bool answered = aEnd.outcome == AttemptOutcome::kSuccess;
  if (answered || aEnd.outcome == AttemptOutcome::kServerError) {
    aRequest.mayHaveRun = true;
    FinalResponse response;
    response.request = aRequest.head.id;
    response.outcome =
      answered ? CallerOutcome::kAnswered : CallerOutcome::kUnknown;
    response.status = aEnd.status;
    response.relay = aEnd.id;
    Respond(aRequest, response, aNow);
    return;
  }
  const bool notRun = aEnd.outcome == AttemptOutcome::kNotRun ||
                      aEnd.outcome == AttemptOutcome::kRefused ||
                      aEnd.outcome == AttemptOutcome::kNothingWritten;
  aRequest.mayHaveRun = aRequest.mayHaveRun || !notRun;
  const bool expired = IsDue(aRequest.head.deadline, aNow) ||
                       aRequest.callerDisconnected ||
                       !m_shutdown.EndsInTime(aRequest.head.deadline);
  if (!aRequest.runningAttempts.empty()) {
    return;
  }
  if (!expired && MayForwardAgain(aRequest) && Forward(aRequest, aNow)) {
    return;
  }
  FailRequest(aRequest,
              &aEnd,
              "no other entry host served the request",
              aEnd.retryAfter.value_or(Jitter(kRetryAtOtherHost)),
              aNow);
}

} // namespace fuchsiaramp
