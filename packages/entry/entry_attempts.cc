#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "entry/entry_node.h"

namespace fuchsiaramp {

// Delays of an attempt on a reused connection that count for nothing: a second
// attempt elsewhere has an answer by then if the connection was at fault.
static constexpr int kDelaysBlamedOnConnection = 2;
static constexpr int kMaxHedges = 2; // of one request
static constexpr int kShedsBeforeRetryDelay =
  3; // before a request waits a moment
static constexpr double kRetryDelayQuantile = 0.5;

void
EntryNode::StartAttempt(Request& aRequest,
                        const BackendServerId& aServer,
                        TimePoint aNow)
{
  ServiceRouter* router = m_services->Find(aRequest.head.service);
  const BackendServer* server = router->Find(aServer);
  if (server == nullptr) {
    // It left while the key was being claimed.
    aRequest.excludedServers.insert(aServer);
    if (!Retry(aRequest, true, aNow)) {
      FailRequest(aRequest,
                  nullptr,
                  "no backend server is left",
                  Jitter(kRetryAfterShed),
                  aNow);
    }
    return;
  }
  CheckInvariant(aRequest.repeatable || !aRequest.mayHaveRun,
                 "work that must not repeat is attempted only with proof that "
                 "it did not run");
  CheckInvariant(!aRequest.needsClaim || !aRequest.claimAttempt.empty(),
                 "work that must not repeat is claimed before it is attempted");
  const Duration timeout = m_options.settings.routing.attemptTimeout;
  AttemptStart start;
  start.id = m_nextAttempt;
  m_nextAttempt = m_nextAttempt.Next();
  start.request = aRequest.head.id;
  start.server = aServer;
  start.address = server->address;
  start.callerRequestId = aRequest.head.callerRequestId;
  start.deadline = aRequest.head.deadline;
  if (aRequest.repeatable) {
    start.deadline = std::min(start.deadline, aNow + timeout);
  }
  // A lost connection would leave the fate of work that must not repeat
  // unknown, so it gets a new one each time.
  start.requiresNewConnection =
    aRequest.forceNewConnection || !aRequest.repeatable;
  Attempt attempt;
  attempt.request = aRequest.head.id;
  attempt.service = aRequest.head.service;
  attempt.server = aServer;
  attempt.startedAt = aNow;
  aRequest.stage = Stage::kAttempting;
  aRequest.excludedServers.insert(aServer);
  aRequest.runningAttempts.push_back(start.id);
  aRequest.reachedServers.insert(aServer);
  ++aRequest.attemptsStarted;
  aRequest.firstAttemptAt = std::min(aRequest.firstAttemptAt, aNow);
  ++m_counters.attempts;
  router->OnStarted(aServer);
  m_hooks.record(Event("attempt_started")
                   .With("request", aRequest.head.id)
                   .With("attempt", start.id)
                   .With("server", aServer)
                   .AsDetail());
  attempt.overdueInterval = router->SlowThreshold(aServer);
  attempt.overdueAt = aNow + attempt.overdueInterval;
  m_attempts[start.id] = attempt;
  m_attempts[start.id].connection = m_hooks.startAttempt(start);
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
  ServiceRouter* router = m_services->Find(attempt.service);
  Admission& admission = m_admissions[attempt.service];
  AttemptReport report;
  report.outcome = aEnd.outcome;
  report.latency = aNow - attempt.startedAt;
  report.reportedLoad = aEnd.reportedLoad;
  report.countedAsSlow = attempt.countedAsSlow;
  const double running = static_cast<double>(router->Outstanding());
  RecordEnded(attempt, aEnd, report.latency, aNow);
  router->OnFinished(attempt.server, report, aNow);
  if (aEnd.outcome == AttemptOutcome::kShed) {
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

// A failed attempt is logged with what this host believed of its server until
// then, and how old that belief was.
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
  if (!failed) {
    m_hooks.record(std::move(event).AsDetail());
    return;
  }
  const ServiceRouter* router = m_services->Find(aAttempt.service);
  event.Add("sick", router->UnhealthyProbability(aAttempt.server, aNow));
  const auto heardAt = router->LastOutcomeAt(aAttempt.server);
  if (heardAt) {
    event.Add("heard_ms_ago", (aNow - *heardAt).count() / 1000);
  }
  m_hooks.record(event);
}

void
EntryNode::OnSuccess(Request& aRequest, const AttemptEnd& aEnd, TimePoint aNow)
{
  // Servers whose connection broke under this request were at fault, since
  // another server could run it.
  ServiceRouter* router = m_services->Find(aRequest.head.service);
  for (const BackendServerId& server : aRequest.brokenServers) {
    router->RecordBrokenConnection(server);
  }
  if (!aRequest.brokenServers.empty()) {
    m_services->RequestQuarantine().OnSuccess(aRequest.head.fingerprint);
  }
  aRequest.mayHaveRun = true;
  if (!aRequest.claimAttempt.empty()) {
    ReportFinished(aRequest, aEnd, wire::LedgerRecord::FINISHED, aNow);
  }
  FinalResponse answer;
  answer.request = aRequest.head.id;
  answer.outcome = CallerOutcome::kAnswered;
  answer.status = aEnd.status;
  answer.relay = aEnd.id;
  Respond(aRequest, answer, aNow);
}

// Whether the outcome proves that the work did not run.
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
  if (aEnd.outcome == AttemptOutcome::kBroken &&
      OnBrokenConnection(aRequest, aAttempt, aNow)) {
    return;
  }
  if (!aRequest.runningAttempts.empty()) {
    // Another attempt of the request still runs. A second one that was shed
    // was no help, so a later delay may start another.
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
              "the backend servers failed the request",
              Jitter(kRetryAfterShed),
              aNow);
}

// Returns whether the request has its final answer.
bool
EntryNode::OnBrokenConnection(Request& aRequest,
                              const Attempt& aAttempt,
                              TimePoint aNow)
{
  aRequest.brokenServers.push_back(aAttempt.server);
  const bool quarantined = m_services->OnBroken(
    aRequest.head.service, aRequest.head.fingerprint, aAttempt.server, aNow);
  if (!quarantined) {
    return false;
  }
  if (!aRequest.claimAttempt.empty()) {
    ReportFinished(aRequest, {}, wire::LedgerRecord::UNKNOWN, aNow);
  }
  Refuse(aRequest,
         CallerOutcome::kUnknown,
         422,
         "this request broke the connection of every backend server that ran "
         "it; change it before sending it again",
         m_services->RequestQuarantine().Until(aRequest.head.fingerprint) -
           aNow,
         aNow);
  return true;
}

bool
EntryNode::Retry(Request& aRequest, bool aProvenNotRun, TimePoint aNow)
{
  ServiceRouter* router = m_services->Find(aRequest.head.service);
  const int tried = aRequest.usesOpenRoute
                      ? static_cast<int>(aRequest.reachedServers.size())
                      : aRequest.attemptsStarted - aRequest.attemptsShed;
  if (tried >= aRequest.maxServers || IsDue(aRequest.head.deadline, aNow) ||
      aRequest.callerDisconnected) {
    return false;
  }
  // Attempts that did not run put no load on the service, but where open routes
  // share one budget, each arrival at a server draws on it.
  const bool counts =
    aRequest.usesOpenRoute ? !aRequest.reachedServers.empty() : !aProvenNotRun;
  if (counts && !router->Retries().TryRetry()) {
    return false;
  }
  ++m_counters.retries;
  if (aRequest.attemptsShed > 0 &&
      aRequest.attemptsShed % kShedsBeforeRetryDelay == 0) {
    DeferRetry(aRequest, aNow);
    return true;
  }
  const auto server =
    router->Choose({ aRequest.repeatable, aRequest.excludedServers }, aNow);
  if (server) {
    StartAttempt(aRequest, *server, aNow);
    return true;
  }
  // All servers are full or were tried: wait for a slot of any of them.
  return Requeue(aRequest, aNow);
}

// Several servers were full: asking more of them at once would only add load,
// so the request waits for about the time in which a slot becomes free.
void
EntryNode::DeferRetry(Request& aRequest, TimePoint aNow)
{
  const ServiceRouter* router = m_services->Find(aRequest.head.service);
  const double usual = ToSeconds(router->LatencyQuantile(kRetryDelayQuantile));
  const Duration wait = FromSeconds(usual * (0.25 + 0.5 * m_random.Unit()));
  aRequest.stage = Stage::kRetryDeferred;
  m_deferredRetries.emplace(aNow + wait, aRequest.head.id);
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
    const bool late = IsDue(request.queueDeadline, aNow);
    if (late || !Requeue(request, aNow)) {
      FailRequest(
        request, nullptr, "the service is full", Jitter(kRetryAfterShed), aNow);
    }
  }
}

// Returns whether the request has a place in the queue. Its timeout goes on
// from where it first waited.
bool
EntryNode::Requeue(Request& aRequest, TimePoint aNow)
{
  aRequest.excludedServers.clear();
  aRequest.stage = Stage::kQueued;
  const auto dropped = m_admissions[aRequest.head.service].queue.Push(
    aRequest.head.id, aRequest.priority, aRequest.queueDeadline);
  if (dropped && *dropped == aRequest.head.id) {
    return false;
  }
  if (dropped) {
    FailRequest(m_requests.at(*dropped),
                nullptr,
                "the service is full",
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
  FinalResponse answer;
  answer.request = aRequest.head.id;
  answer.reason = aReason;
  answer.retryAfter = aRetryAfter;
  if (!aRequest.mayHaveRun) {
    if (aRequest.claimAttempt.empty()) {
      Respond(aRequest, answer, aNow);
    } else {
      Fence(aRequest, answer, aNow);
    }
    return;
  }
  if (!aRequest.claimAttempt.empty()) {
    ReportFinished(aRequest,
                   aEnd == nullptr ? AttemptEnd() : *aEnd,
                   wire::LedgerRecord::UNKNOWN,
                   aNow);
  }
  answer.outcome = CallerOutcome::kUnknown;
  answer.status = 502;
  if (aEnd != nullptr && aEnd->outcome == AttemptOutcome::kTimeout) {
    answer.status = 504;
  }
  // The server's own words are passed on where it sent any.
  if (aEnd != nullptr && aEnd->outcome == AttemptOutcome::kServerError) {
    answer.status = aEnd->status;
    answer.relay = aEnd->id;
  }
  Respond(aRequest, answer, aNow);
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
}

// An attempt that takes longer than a slow answer is evidence before it ends,
// and again each time its age doubles, so that a server whose slots are all
// held by requests that hang is found. On a reused connection the first delay
// may be the connection's fault: a new one to the same server tells.
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
  if (owner != m_requests.end()) {
    Hedge(owner->second, late, aNow);
  }
}

// A second attempt spares the caller the wait: on a new connection to the same
// server when the old connection is suspected, otherwise on another server.
void
EntryNode::Hedge(Request& aRequest, const Attempt& aLate, TimePoint aNow)
{
  if (!aRequest.repeatable || aRequest.hedges >= kMaxHedges ||
      aRequest.callerDisconnected) {
    return;
  }
  const bool allReached =
    aRequest.usesOpenRoute &&
    static_cast<int>(aRequest.reachedServers.size()) >= aRequest.maxServers;
  if (allReached) {
    return;
  }
  ServiceRouter* router = m_services->Find(aRequest.head.service);
  const bool sameServer = aRequest.hedges == 0 &&
                          aLate.connection == ConnectionKind::kReused &&
                          router->HasFreeSlot(aLate.server);
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
    AttemptReport report;
    report.outcome = AttemptOutcome::kCancelled;
    m_services->Find(it->second.service)
      ->OnFinished(it->second.server, report, aNow);
    m_attempts.erase(it);
    m_hooks.cancelAttempt(id);
  }
  aRequest.runningAttempts.clear();
}

void
EntryNode::CheckDeadlines(TimePoint aNow)
{
  std::vector<RequestId> late;
  for (const auto& [id, request] : m_requests) {
    const bool waits = request.stage == Stage::kAttempting;
    if (waits && IsDue(request.head.deadline, aNow)) {
      late.push_back(id);
    }
  }
  for (RequestId id : late) {
    Request& request = m_requests.at(id);
    request.mayHaveRun = true;
    AttemptEnd end;
    end.outcome = AttemptOutcome::kTimeout;
    FailRequest(request,
                &end,
                "no answer by the deadline of the request",
                Jitter(kRetryAfterShed),
                aNow);
  }
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
  // Work that must not repeat goes on, so that its outcome can be kept.
  const bool claimed = !request.claimAttempt.empty();
  const bool waits =
    request.stage == Stage::kQueued || request.stage == Stage::kRetryDeferred;
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
