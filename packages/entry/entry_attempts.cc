#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "entry/entry_node.h"

namespace fuchsiaramp {

// Number of delays of an attempt on a reused connection that are not counted
// against the server: if the connection was at fault, a second attempt on a new
// connection has an answer by then.
static constexpr int kDelaysBlamedOnConnection = 2;
static constexpr int kMaxHedgesPerRequest = 2;
// Each time this many more attempts of a request were shed, it waits before
// its next retry.
static constexpr int kShedsBeforeRetryDelay = 3;
static constexpr double kRetryDelayQuantile = 0.5;

void
EntryNode::StartAttempt(Request& aRequest,
                        const BackendServerId& aServer,
                        TimePoint aNow)
{
  ServiceRouter* router = m_services->Find(aRequest.head.service);
  const BackendServer* server = router->Find(aServer);
  if (server == nullptr) {
    // The server left while the key was being claimed.
    ReleaseReservation(aRequest, aNow);
    aRequest.excludedServers.insert(aServer);
    if (!Retry(aRequest, true, aNow)) {
      FailRequest(aRequest,
                  nullptr,
                  "the selected backend server left and no retry was possible",
                  Jitter(kRetryAfterShed),
                  aNow);
    }
    return;
  }
  CheckInvariant(
    aRequest.repeatable || !aRequest.mayHaveRun,
    "a non-repeatable request is attempted only with proof that it "
    "did not run");
  CheckInvariant(
    !aRequest.needsClaim || !aRequest.claimAttempt.empty(),
    "a request that needs a claim is claimed before it is attempted");
  const Duration timeout = m_options.settings.routing.attemptTimeout;
  AttemptStart start;
  start.id = m_nextAttempt;
  m_nextAttempt = m_nextAttempt.Next();
  start.request = aRequest.head.id;
  start.server = aServer;
  start.address = server->address;
  start.callerRequestId = aRequest.head.callerRequestId;
  AddCredentials(aRequest, start);
  start.deadline = aRequest.head.deadline;
  if (aRequest.repeatable) {
    start.deadline = std::min(start.deadline, aNow + timeout);
  }
  // If a connection is lost, it is unknown whether a non-repeatable request
  // ran, so such a request always gets a new connection.
  start.requiresNewConnection =
    aRequest.forceNewConnection || !aRequest.repeatable;
  Attempt attempt;
  attempt.request = aRequest.head.id;
  attempt.service = aRequest.head.service;
  attempt.server = aServer;
  attempt.startedAt = aNow;
  attempt.deadline = start.deadline;
  aRequest.stage = Stage::kAttempting;
  aRequest.excludedServers.insert(aServer);
  aRequest.runningAttempts.push_back(start.id);
  aRequest.reachedServers.insert(aServer);
  ++aRequest.attemptsStarted;
  aRequest.firstAttemptAt = std::min(aRequest.firstAttemptAt, aNow);
  ++m_counters.attempts;
  if (!aRequest.reservedServer) {
    router->OnStarted(aServer, aNow);
  }
  aRequest.reservedServer.reset();
  m_hooks.record(Event("attempt_started")
                   .With("request", aRequest.head.id)
                   .With("attempt", start.id)
                   .With("server", aServer)
                   .AsDebug());
  attempt.overdueInterval = router->SlowThreshold(aServer);
  attempt.overdueAt = aNow + attempt.overdueInterval;
  attempt.extraAttemptAt = ExtraAttemptAt(aRequest, aNow);
  m_attempts[start.id] = attempt;
  m_attempts[start.id].connection = m_hooks.startAttempt(start);
}

// Without this, a host that is short of memory took all servers for slow, and
// sent further attempts whose responses found no room either.
void
EntryNode::OnAttemptHeld(AttemptId aAttempt, TimePoint aNow)
{
  const auto it = m_attempts.find(aAttempt);
  if (it != m_attempts.end()) {
    it->second.heldAt = it->second.heldAt.value_or(aNow);
    it->second.overdueAt = kNever;
  }
}

// What ends an attempt whose response finds no room says nothing about its
// server, unless the response itself takes the room.
static AttemptOutcome
ReportedOutcome(const AttemptEnd& aEnd, bool aWasHeld)
{
  const bool ownFault = aWasHeld && !aEnd.isOversized &&
                        (aEnd.outcome == AttemptOutcome::kBroken ||
                         aEnd.outcome == AttemptOutcome::kTimeout);
  return ownFault ? AttemptOutcome::kCancelled : aEnd.outcome;
}

void
EntryNode::OnAttemptEnd(const AttemptEnd& aEnd, TimePoint aNow)
{
  m_now = aNow;
  const auto it = m_attempts.find(aEnd.id);
  if (it == m_attempts.end()) {
    return;
  }
  const Attempt attempt = it->second;
  m_attempts.erase(it);
  if (attempt.forwards) {
    const auto forwarded = m_requests.find(attempt.request);
    if (forwarded != m_requests.end()) {
      OnForwardEnd(forwarded->second, aEnd, aNow);
    }
    return;
  }
  RecordReachability(attempt, aEnd.outcome, aNow);
  ServiceRouter* router = m_services->Find(attempt.service);
  Admission& admission = AdmissionOf(attempt.service);
  AttemptReport report;
  report.outcome = ReportedOutcome(aEnd, attempt.heldAt.has_value());
  report.latency = attempt.heldAt.value_or(aNow) - attempt.startedAt;
  report.reportedLoad = aEnd.reportedLoad;
  report.countedAsSlow = attempt.countedAsSlow;
  report.retryAfter = aEnd.retryAfter;
  report.limitNotice = aEnd.limitNotice;
  const double running = static_cast<double>(router->Outstanding());
  RecordEnded(attempt, aEnd, report.latency, aNow);
  router->OnFinished(attempt.server, report, aNow);
  // Hosts that share their load stay within the slots that they know of; there,
  // a server that sheds does so for a reason of its own.
  const bool sharesLoad = m_options.settings.routing.sharesOutcomes;
  if (aEnd.outcome == AttemptOutcome::kShed && !sharesLoad) {
    admission.limit.OnShed();
  } else if (aEnd.outcome == AttemptOutcome::kSuccess) {
    admission.limit.OnAnswered(running,
                               static_cast<double>(router->TotalSlots()));
  }
  if (aEnd.serverIsLeaving) {
    m_directory.MarkLeaving(attempt.server);
  }
  const auto owner = m_requests.find(attempt.request);
  if (owner != m_requests.end()) {
    Request& request = owner->second;
    ExtraAttempts* extra = m_services->FindExtraAttempts(attempt.service);
    if (extra != nullptr && aEnd.outcome == AttemptOutcome::kSuccess &&
        request.extraAttempt != aEnd.id) {
      extra->OnResponse(request.route, report.latency, aNow);
    }
    request.runningAttempts.erase(std::remove(request.runningAttempts.begin(),
                                              request.runningAttempts.end(),
                                              aEnd.id),
                                  request.runningAttempts.end());
    if (aEnd.outcome == AttemptOutcome::kSuccess) {
      OnSuccess(request, aEnd, aNow);
    } else {
      OnFailure(request, attempt, aEnd, aNow);
    }
  }
  StartQueuedRequests(attempt.service, aNow);
}

// A failed attempt is logged with the health estimate of its server before the
// failure, and with the age of that estimate.
void
EntryNode::RecordEnded(const Attempt& aAttempt,
                       const AttemptEnd& aEnd,
                       Duration aLatency,
                       TimePoint aNow)
{
  const bool failed = aEnd.outcome != AttemptOutcome::kSuccess;
  Event event(failed ? "attempt_failed" : "attempt_ended");
  event.Add("request", aAttempt.request);
  event.Add("attempt", aEnd.id);
  event.Add("service", aAttempt.service);
  event.Add("server", aAttempt.server);
  event.Add("outcome", ToText(aEnd.outcome));
  event.Add("status", aEnd.status);
  event.Add("ms", aLatency.count() / 1000);
  if (aEnd.isOversized) {
    event.Add("oversized", true);
  }
  if (aAttempt.heldAt) {
    event.Add("held_ms", (aNow - *aAttempt.heldAt).count() / 1000);
  }
  if (!failed) {
    m_hooks.record(std::move(event).AsDebug());
    return;
  }
  const ServiceRouter* router = m_services->Find(aAttempt.service);
  event.Add("sick", router->UnhealthyProbability(aAttempt.server, aNow));
  const auto lastOutcomeAt = router->LastOutcomeAt(aAttempt.server);
  if (lastOutcomeAt) {
    event.Add("heard_ms_ago", (aNow - *lastOutcomeAt).count() / 1000);
  }
  m_hooks.record(event);
}

void
EntryNode::OnSuccess(Request& aRequest, const AttemptEnd& aEnd, TimePoint aNow)
{
  // Servers whose connection broke during this request were at fault, since
  // another server could run it.
  ServiceRouter* router = m_services->Find(aRequest.head.service);
  for (const BackendServerId& server : aRequest.brokenServers) {
    router->RecordBrokenConnection(server);
  }
  m_services->OnServed(aRequest.head.service, aRequest.head.fingerprint, aNow);
  aRequest.mayHaveRun = true;
  if (!aRequest.claimAttempt.empty()) {
    ReportFinished(aRequest, aEnd, wire::LedgerRecord::FINISHED, aNow);
  }
  FinalResponse response;
  response.request = aRequest.head.id;
  response.outcome = CallerOutcome::kAnswered;
  response.status = aEnd.status;
  response.relay = aEnd.id;
  m_counters.extraAttemptsWon += aRequest.extraAttempt == aEnd.id ? 1 : 0;
  Respond(aRequest, response, aNow);
}

// Whether the outcome proves that the request did not run.
static bool
ProvesNotRun(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::kRefused ||
         aOutcome == AttemptOutcome::kOtherServer ||
         aOutcome == AttemptOutcome::kNothingWritten ||
         aOutcome == AttemptOutcome::kNotRun ||
         aOutcome == AttemptOutcome::kShed;
}

void
EntryNode::OnFailure(Request& aRequest,
                     const Attempt& aAttempt,
                     const AttemptEnd& aEnd,
                     TimePoint aNow)
{
  const bool proven = ProvesNotRun(aEnd.outcome);
  aRequest.mayHaveRun = aRequest.mayHaveRun || !proven;
  if (aEnd.outcome == AttemptOutcome::kShed) {
    ++aRequest.attemptsShed;
  }
  const bool arrived = aEnd.outcome != AttemptOutcome::kRefused &&
                       aEnd.outcome != AttemptOutcome::kNothingWritten;
  if (!arrived) {
    aRequest.reachedServers.erase(aAttempt.server);
  }
  if (aEnd.outcome == AttemptOutcome::kSilent) {
    aRequest.forceNewConnection = true;
    aRequest.excludedServers.erase(aAttempt.server);
  }
  RecordCrashEvidence(aRequest,
                      aAttempt,
                      ReportedOutcome(aEnd, aAttempt.heldAt.has_value()),
                      aNow);
  if (!aRequest.runningAttempts.empty()) {
    // Another attempt of the request is still running. A hedge that was shed is
    // not counted, so that a later delay may start another.
    if (aEnd.outcome == AttemptOutcome::kShed && aRequest.hedges > 0) {
      --aRequest.hedges;
    }
    return;
  }
  if (aRequest.repeatable || !aRequest.mayHaveRun) {
    if (Retry(aRequest, proven, aNow)) {
      return;
    }
  }
  FailRequest(aRequest,
              &aEnd,
              "the request failed on the backend servers",
              Jitter(kRetryAfterShed),
              aNow);
}

// An attempt that its connection's end broke may have crashed its server. On a
// reused connection that ends without a response, only a server that refuses
// the next connection is held to have crashed.
void
EntryNode::RecordCrashEvidence(Request& aRequest,
                               const Attempt& aAttempt,
                               AttemptOutcome aOutcome,
                               TimePoint aNow)
{
  const RequestHead& head = aRequest.head;
  switch (aOutcome) {
    case AttemptOutcome::kBroken:
      aRequest.brokenServers.push_back(aAttempt.server);
      m_services->OnBroken(head.service,
                           head.fingerprint,
                           aAttempt.server,
                           aAttempt.startedAt,
                           aNow);
      break;
    case AttemptOutcome::kSilent:
      if (!IsDue(aAttempt.deadline, aNow)) {
        m_services->OnClosed(head.service,
                             head.fingerprint,
                             aAttempt.server,
                             aAttempt.startedAt,
                             aNow);
      }
      break;
    case AttemptOutcome::kRefused:
      m_services->OnRefused(aAttempt.server, aNow);
      break;
    default:
      break;
  }
}

bool
EntryNode::Retry(Request& aRequest, bool aProvenNotRun, TimePoint aNow)
{
  ServiceRouter* router = m_services->Find(aRequest.head.service);
  if (ServersLeft(aRequest) <= 0 || IsDue(aRequest.head.deadline, aNow) ||
      aRequest.callerDisconnected ||
      !m_shutdown.EndsInTime(aRequest.head.deadline) ||
      IsQuarantined(aRequest, aNow)) {
    return false;
  }
  // Attempts that did not run put no load on the service, so a retry after them
  // needs no budget. Open routes, however, share one budget: each retry draws
  // on it once an attempt has reached a server.
  const bool usesBudget =
    aRequest.usesOpenRoute ? !aRequest.reachedServers.empty() : !aProvenNotRun;
  if (usesBudget && !router->Retries().TryRetry()) {
    return false;
  }
  ++m_counters.retries;
  if (m_reachability->IsCutOff()) {
    return Forward(aRequest, aNow);
  }
  if (aRequest.attemptsShed > 0 &&
      aRequest.attemptsShed % kShedsBeforeRetryDelay == 0) {
    return DeferRetry(aRequest, aNow);
  }
  const auto server =
    router->Choose({ aRequest.repeatable, aRequest.excludedServers }, aNow);
  if (server) {
    StartAttempt(aRequest, *server, aNow);
    return true;
  }
  // All servers are full or were tried: queue for a slot of any of them.
  return Requeue(aRequest, aNow);
}

// Several servers were full. Trying more of them immediately would only add
// load, so the request waits for about the time until a slot becomes free.
bool
EntryNode::DeferRetry(Request& aRequest, TimePoint aNow)
{
  const ServiceRouter* router = m_services->Find(aRequest.head.service);
  const double typicalLatency =
    ToSeconds(router->LatencyQuantile(kRetryDelayQuantile));
  const Duration wait =
    FromSeconds(typicalLatency * (0.25 + 0.5 * m_random.Unit()));
  if (IsDue(aRequest.startBy, aNow + wait)) {
    return false;
  }
  aRequest.stage = Stage::kRetryDeferred;
  m_deferredRetries.emplace(aNow + wait, aRequest.head.id);
  return true;
}

void
EntryNode::ReleaseDeferredRetries(TimePoint aNow)
{
  while (!m_deferredRetries.empty() &&
         IsDue(m_deferredRetries.begin()->first, aNow)) {
    const RequestId id = m_deferredRetries.begin()->second;
    m_deferredRetries.erase(m_deferredRetries.begin());
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second.stage != Stage::kRetryDeferred) {
      continue;
    }
    Request& request = it->second;
    const bool late = IsDue(request.startBy, aNow);
    if (late || !Requeue(request, aNow)) {
      FailRequest(request,
                  nullptr,
                  "the service is at capacity",
                  Jitter(kRetryAfterShed),
                  aNow);
    }
  }
}

// Returns whether the request was queued. It keeps the times that were set
// when it was first queued.
bool
EntryNode::Requeue(Request& aRequest, TimePoint aNow)
{
  aRequest.excludedServers.clear();
  aRequest.stage = Stage::kQueued;
  const auto dropped =
    AdmissionOf(aRequest.head.service).queue.Push(QueuedFrom(aRequest));
  if (dropped && *dropped == aRequest.head.id) {
    return false;
  }
  if (dropped) {
    FailRequest(m_requests.at(*dropped),
                nullptr,
                "the service is at capacity",
                Jitter(kRetryAfterShed),
                aNow);
  }
  return true;
}

void
EntryNode::FailRequest(Request& aRequest,
                       const AttemptEnd* aEnd,
                       const std::string& aReason,
                       Duration aRetryAfter,
                       TimePoint aNow)
{
  FinalResponse response;
  response.request = aRequest.head.id;
  response.reason = aReason;
  response.retryAfter = aRetryAfter;
  if (!aRequest.mayHaveRun) {
    if (aRequest.claimAttempt.empty()) {
      Respond(aRequest, response, aNow);
    } else {
      Fence(aRequest, response, aNow);
    }
    return;
  }
  if (!aRequest.claimAttempt.empty()) {
    ReportFinished(aRequest,
                   aEnd == nullptr ? AttemptEnd() : *aEnd,
                   wire::LedgerRecord::UNKNOWN,
                   aNow);
  }
  response.outcome = CallerOutcome::kUnknown;
  response.status = 502;
  if (aEnd != nullptr && aEnd->outcome == AttemptOutcome::kTimeout) {
    response.status = 504;
  }
  // Relays the server's error response if it sent one.
  if (aEnd != nullptr && aEnd->outcome == AttemptOutcome::kServerError) {
    response.status = aEnd->status;
    response.relay = aEnd->id;
  }
  Respond(aRequest, response, aNow);
}

void
EntryNode::CheckOverdue(TimePoint aNow)
{
  std::vector<AttemptId> late;
  for (const auto& [id, attempt] : m_attempts) {
    if (IsDue(attempt.overdueAt, aNow)) {
      late.push_back(id);
    }
  }
  for (AttemptId id : late) {
    OnOverdue(id, aNow);
  }
  std::vector<AttemptId> slow;
  for (const auto& [id, attempt] : m_attempts) {
    if (IsDue(attempt.extraAttemptAt, aNow)) {
      slow.push_back(id);
    }
  }
  for (AttemptId id : slow) {
    CheckExtraAttempt(id, aNow);
  }
}

// An attempt that exceeds the threshold for slow answers counts as evidence
// before it ends, and again each time its age doubles, so that a server whose
// slots are all held by hanging requests is detected. On a reused connection
// the first delay may be caused by the connection; an attempt on a new
// connection to the same server shows whether it was.
void
EntryNode::OnOverdue(AttemptId aAttempt, TimePoint aNow)
{
  const auto it = m_attempts.find(aAttempt);
  if (it == m_attempts.end()) {
    return;
  }
  Attempt& attempt = it->second;
  ServiceRouter* router = m_services->Find(attempt.service);
  const bool reused = attempt.connection == ConnectionKind::kReused;
  const bool suspectConnection =
    reused && (attempt.overdueCount < kDelaysBlamedOnConnection ||
               router->AnsweredSince(attempt.server, attempt.startedAt));
  if (!suspectConnection) {
    attempt.countedAsSlow = true;
    router->OnOverdue(attempt.server, aNow);
  }
  ++attempt.overdueCount;
  attempt.overdueAt += attempt.overdueInterval;
  attempt.overdueInterval *= 2;
  const Attempt late = attempt;
  const auto owner = m_requests.find(late.request);
  // A host that reaches no server forwards the request, whatever the limit on
  // extra attempts: its first attempt cannot bring a response.
  const bool isLimited = m_options.settings.routing.extraAttempts.has_value();
  if (owner != m_requests.end() && (!isLimited || m_reachability->IsCutOff())) {
    Hedge(owner->second, late, aNow);
  }
}

// Starts a second attempt so that the caller need not wait: on a new connection
// to the same server if the old connection is suspected, otherwise on another
// server.
void
EntryNode::Hedge(Request& aRequest, const Attempt& aLate, TimePoint aNow)
{
  if (!aRequest.repeatable || aRequest.hedges >= kMaxHedgesPerRequest ||
      aRequest.callerDisconnected || IsQuarantined(aRequest, aNow)) {
    return;
  }
  if (aRequest.usesOpenRoute && ServersLeft(aRequest) <= 0) {
    return;
  }
  ServiceRouter* router = m_services->Find(aRequest.head.service);
  if (m_reachability->IsCutOff()) {
    if (router->Retries().TryRetry() && Forward(aRequest, aNow)) {
      ++aRequest.hedges;
      ++m_counters.hedges;
    }
    return;
  }
  const bool sameServer = aRequest.hedges == 0 &&
                          aLate.connection == ConnectionKind::kReused &&
                          router->IsAvailable(aLate.server, aNow);
  std::optional<BackendServerId> server = aLate.server;
  if (!sameServer) {
    server = router->Choose({ true, aRequest.excludedServers }, aNow);
  }
  if (!server || !router->Retries().TryRetry()) {
    return;
  }
  ++aRequest.hedges;
  aRequest.forceNewConnection = true;
  ++m_counters.hedges;
  StartAttempt(aRequest, *server, aNow);
}

void
EntryNode::CancelAttempts(Request& aRequest, TimePoint aNow)
{
  for (AttemptId id : aRequest.runningAttempts) {
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
      continue;
    }
    if (!it->second.forwards) {
      ExtraAttempts* extra = m_services->FindExtraAttempts(it->second.service);
      if (aRequest.extraAttempt == id) {
        ++m_counters.extraAttemptsCancelled;
      } else if (extra != nullptr) {
        extra->OnCancelled(aRequest.route, aNow - it->second.startedAt, aNow);
      }
      AttemptReport report;
      report.outcome = AttemptOutcome::kCancelled;
      m_services->Find(it->second.service)
        ->OnFinished(it->second.server, report, aNow);
    }
    m_attempts.erase(it);
    m_hooks.cancelAttempt(id);
  }
  aRequest.runningAttempts.clear();
}

TimePoint
EntryNode::AnswerBy(const Request& aRequest) const
{
  const TimePoint answerBy = m_shutdown.AnswerBy(aRequest.head.deadline);
  return aRequest.stage == Stage::kFencing
           ? std::min(answerBy, aRequest.fenceUntil)
           : answerBy;
}

void
EntryNode::CheckDeadlines(TimePoint aNow)
{
  std::vector<RequestId> late;
  for (const auto& [id, request] : m_requests) {
    if (IsDue(AnswerBy(request), aNow)) {
      late.push_back(id);
    }
  }
  for (RequestId id : late) {
    AnswerDue(m_requests.at(id), aNow);
  }
}

// A caller of a host that is about to be killed gets a true answer instead of
// none.
void
EntryNode::AnswerDue(Request& aRequest, TimePoint aNow)
{
  if (aRequest.stage == Stage::kFencing) {
    EndFence(aRequest, false, aNow);
    return;
  }
  if (aRequest.stage == Stage::kClaiming) {
    GiveUpClaim(aRequest, aNow);
    return;
  }
  aRequest.mayHaveRun =
    aRequest.mayHaveRun || !aRequest.runningAttempts.empty();
  AttemptEnd end;
  end.outcome = AttemptOutcome::kTimeout;
  FailRequest(aRequest,
              &end,
              m_shutdown.IsEnding(aNow)
                ? "no response before this host had to stop"
                : "no response before the deadline of the request",
              Jitter(kRetryAfterShed),
              aNow);
}

void
EntryNode::OnCallerDisconnected(RequestId aRequest, TimePoint aNow)
{
  m_now = aNow;
  const auto it = m_requests.find(aRequest);
  if (it == m_requests.end()) {
    return;
  }
  Request& request = it->second;
  request.callerDisconnected = true;
  // A non-repeatable request that was claimed or started continues, so that its
  // outcome can be recorded.
  const bool claimed = !request.claimAttempt.empty();
  const bool waits = IsWaiting(request);
  if (request.repeatable || (waits && !claimed)) {
    request.mayHaveRun = true;
    FailRequest(request,
                nullptr,
                "the caller closed its connection",
                Jitter(kRetryAfterShed),
                aNow);
  }
}

} // namespace fuchsiaramp
