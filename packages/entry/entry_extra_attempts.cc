// Second attempts of slow requests under the setting extra_attempts. What
// decides is in ExtraAttempts; this file collects its inputs and acts on it.
#include <algorithm>

#include "entry/entry_node.h"

namespace fuchsiaramp {

// A second attempt that was denied is considered again after this long, since
// the share and the slots change with each response.
static constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

TimePoint
EntryNode::EndBy(const Request& aRequest) const
{
  const bool hasObjective = aRequest.latencyObjective > Duration::zero();
  return hasObjective ? std::min(aRequest.head.deadline,
                                 aRequest.arrivedAt + aRequest.latencyObjective)
                      : aRequest.head.deadline;
}

// Returns when the second attempt of an attempt that starts now is due.
TimePoint
EntryNode::ExtraAttemptAt(const Request& aRequest, TimePoint aNow)
{
  const ExtraAttempts* extra =
    m_services->FindExtraAttempts(aRequest.head.service);
  if (extra == nullptr || !aRequest.repeatable || aRequest.extraAttempt) {
    return kNever;
  }
  return extra->StartAt(aRequest.route, { aNow, EndBy(aRequest) })
    .value_or(kNever);
}

void
EntryNode::CheckExtraAttempt(AttemptId aAttempt, TimePoint aNow)
{
  const auto it = m_attempts.find(aAttempt);
  if (it == m_attempts.end()) {
    return;
  }
  it->second.extraAttemptAt = kNever;
  const Attempt first = it->second;
  const auto owner = m_requests.find(first.request);
  if (owner == m_requests.end()) {
    return;
  }
  Request& request = owner->second;
  const bool allReached =
    request.usesOpenRoute &&
    static_cast<int>(request.reachedServers.size()) >= request.maxServers;
  if (request.extraAttempt || request.runningAttempts.size() != 1 ||
      request.callerDisconnected || allReached || m_reachability->IsCutOff() ||
      IsQuarantined(request, aNow)) {
    return;
  }
  const ExtraAttemptDecision decision = TryExtraAttempt(request, first, aNow);
  if (decision == ExtraAttemptDecision::kStart) {
    return;
  }
  DenyExtraAttempt(request, first, decision, aNow);
  if (decision != ExtraAttemptDecision::kTooLate) {
    it->second.extraAttemptAt = aNow + kCheckInterval;
  }
}

ExtraAttemptDecision
EntryNode::TryExtraAttempt(Request& aRequest,
                           const Attempt& aFirst,
                           TimePoint aNow)
{
  const ServiceName& service = aRequest.head.service;
  ServiceRouter* router = m_services->Find(service);
  ExtraAttempts* extra = m_services->FindExtraAttempts(service);
  const ExtraAttemptDecision decision =
    extra->Decide({ aRequest.route,
                    EndBy(aRequest),
                    AdmissionOf(service).queue.size(),
                    router->BusyShare(aNow),
                    router->Retries().MayRetry() },
                  aNow);
  if (decision != ExtraAttemptDecision::kStart) {
    return decision;
  }
  ChoiceRequest choice{ true, aRequest.excludedServers, true };
  choice.excluded.insert(aRequest.reachedServers.begin(),
                         aRequest.reachedServers.end());
  std::optional<BackendServerId> server = router->Choose(choice, aNow);
  if (!server) {
    choice.staysInDomain = false;
    server = router->Choose(choice, aNow);
  }
  if (!server) {
    return ExtraAttemptDecision::kServers;
  }
  if (!router->Retries().TryRetry()) {
    return ExtraAttemptDecision::kBudget;
  }
  Event event("extra_attempt_started");
  AddExtraAttemptInputs(aRequest, aFirst, event, aNow);
  event.Add("server", *server);
  event.Add("attempt", m_nextAttempt);
  m_hooks.record(event);
  extra->OnStarted(aNow);
  ++m_counters.extraAttempts;
  ++m_counters.hedges;
  aRequest.extraAttempt = m_nextAttempt;
  StartAttempt(aRequest, *server, aNow);
  return ExtraAttemptDecision::kStart;
}

void
EntryNode::DenyExtraAttempt(Request& aRequest,
                            const Attempt& aFirst,
                            ExtraAttemptDecision aDecision,
                            TimePoint aNow)
{
  if (!aRequest.extraAttemptDenials.insert(aDecision).second) {
    return;
  }
  switch (aDecision) {
    case ExtraAttemptDecision::kTooLate:
      ++m_counters.extraAttemptsDeniedByTime;
      break;
    case ExtraAttemptDecision::kCapacity:
      ++m_counters.extraAttemptsDeniedByCapacity;
      break;
    case ExtraAttemptDecision::kShare:
      ++m_counters.extraAttemptsDeniedByShare;
      break;
    case ExtraAttemptDecision::kBudget:
      ++m_counters.extraAttemptsDeniedByBudget;
      break;
    case ExtraAttemptDecision::kServers:
      ++m_counters.extraAttemptsDeniedByServers;
      break;
    case ExtraAttemptDecision::kStart:
      return;
  }
  Event event("extra_attempt_denied");
  AddExtraAttemptInputs(aRequest, aFirst, event, aNow);
  event.Add("by", ToText(aDecision));
  m_hooks.record(event);
}

void
EntryNode::AddExtraAttemptInputs(const Request& aRequest,
                                 const Attempt& aFirst,
                                 Event& aEvent,
                                 TimePoint aNow)
{
  const ServiceName& service = aRequest.head.service;
  const ExtraAttempts* extra = m_services->FindExtraAttempts(service);
  const ExtraAttemptCounts cell = extra->CellCounts(aNow);
  aEvent.Add("request", aRequest.head.id);
  aEvent.Add("caller_request", aRequest.head.callerRequestId);
  aEvent.Add("service", service);
  aEvent.Add("route", aRequest.route);
  aEvent.Add("first_server", aFirst.server);
  aEvent.Add("first_ms", (aNow - aFirst.startedAt).count() / 1000);
  aEvent.Add("delay_ms",
             extra->Delay(aRequest.route).value_or(Duration()).count() / 1000);
  aEvent.Add("left_ms", (EndBy(aRequest) - aNow).count() / 1000);
  aEvent.Add("cell_requests", cell.requests);
  aEvent.Add("cell_extra_attempts", cell.extraAttempts);
  aEvent.Add("queued", AdmissionOf(service).queue.size());
  aEvent.Add("busy", m_services->Find(service)->BusyShare(aNow));
}

} // namespace fuchsiaramp
