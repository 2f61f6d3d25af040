#include <utility>

#include "entry/entry_node.h"

namespace fuchsiaramp {

// Control hosts are asked again with each request; by then another one may have
// become the leader.
static constexpr Duration kRetryAfterUnknownQuota =
  std::chrono::milliseconds(400);

std::optional<QuotaLimit>
EntryNode::QuotaOf(const Request& aRequest) const
{
  const wire::Team* team = aRequest.team.IsEmpty()
                             ? nullptr
                             : m_lists->Current().FindTeam(aRequest.team);
  return team == nullptr
           ? std::nullopt
           : MakeQuotaLimit(team->requests_per_second(), team->burst());
}

EntryNode::FilterResult
EntryNode::CheckQuota(Request& aRequest, TimePoint aNow)
{
  if (!QuotaOf(aRequest) || TakePermit(aRequest, aNow)) {
    return FilterResult::kContinue;
  }
  return FilterResult::kDone;
}

bool
EntryNode::TakePermit(Request& aRequest, TimePoint aNow)
{
  const QuotaDecision decision =
    m_quotas->Take(aRequest.team, aRequest.head.id, aNow);
  const bool granted = decision.state == QuotaState::kGranted;
  if (granted) {
    aRequest.permitUntil = decision.permitUntil;
  } else {
    aRequest.permitUntil.reset();
    aRequest.stage = Stage::kAwaitingQuota;
  }
  FlushLater();
  return granted;
}

// The bound on the requests in any 5 s counts them when they run. A request
// that was queued for longer than its permit is valid must not run with it.
bool
EntryNode::RenewPermit(Request& aRequest, TimePoint aNow)
{
  const bool isValid = !aRequest.permitUntil || aRequest.mayHaveRun ||
                       !IsDue(*aRequest.permitUntil, aNow);
  if (isValid) {
    return true;
  }
  ReleasePermit(aRequest, aNow);
  return !QuotaOf(aRequest) || TakePermit(aRequest, aNow);
}

void
EntryNode::ReleasePermit(Request& aRequest, TimePoint aNow)
{
  if (aRequest.stage == Stage::kAwaitingQuota) {
    m_quotas->Cancel(aRequest.team, aRequest.head.id);
  }
  if (aRequest.permitUntil && aRequest.attemptsStarted == 0) {
    m_quotas->Return(aRequest.team, *aRequest.permitUntil, aNow);
    FlushLater();
  }
  aRequest.permitUntil.reset();
}

void
EntryNode::OnQuotaDecision(const QuotaDecision& aDecision, TimePoint aNow)
{
  const auto it = m_requests.find(aDecision.request);
  if (it == m_requests.end() || it->second.stage != Stage::kAwaitingQuota) {
    // It ended after the decision was made.
    if (aDecision.state == QuotaState::kGranted) {
      m_quotas->Return(aDecision.team, aDecision.permitUntil, aNow);
    }
    return;
  }
  Request& request = it->second;
  switch (aDecision.state) {
    case QuotaState::kGranted:
      request.permitUntil = aDecision.permitUntil;
      AdmitWithinQuota(request, aNow);
      break;
    case QuotaState::kDenied:
      RefuseOverQuota(request, aDecision, aNow);
      break;
    default:
      if (!QuotaOf(request)) {
        // The lists no longer limit the team.
        AdmitWithinQuota(request, aNow);
        break;
      }
      Refuse(request,
             CallerOutcome::kNotRun,
             503,
             "no control host could tell whether the team is within its quota",
             Jitter(kRetryAfterUnknownQuota),
             aNow);
      break;
  }
}

void
EntryNode::AdmitWithinQuota(Request& aRequest, TimePoint aNow)
{
  aRequest.stage = Stage::kQueued;
  if (CheckService(aRequest, aNow) == FilterResult::kDone) {
    return;
  }
  if (!aRequest.wasQueued) {
    Enqueue(aRequest, aNow);
    return;
  }
  const ServiceName service = aRequest.head.service;
  if (!Requeue(aRequest, aNow)) {
    FailRequest(aRequest,
                nullptr,
                "the service is at capacity",
                RetryAfterWait(EstimateWait(service, aNow)),
                aNow);
  }
  StartQueuedRequests(service, aNow);
}

void
EntryNode::RefuseOverQuota(Request& aRequest,
                           const QuotaDecision& aDecision,
                           TimePoint aNow)
{
  const auto limit = QuotaOf(aRequest).value_or(QuotaLimit());
  // Callers that were refused together come back spread out, and not before the
  // team has a permit.
  const Duration retryAfter =
    FromSeconds(ToSeconds(aDecision.retryAfter) * (1.0 + m_random.Unit()));
  m_hooks.record(Event("quota_exceeded")
                   .With("request", aRequest.head.id)
                   .With("caller_request", aRequest.head.callerRequestId)
                   .With("team", aRequest.team)
                   .With("limit", limit.rate)
                   .With("burst", limit.burst)
                   .With("lists_version", m_lists->Current().Version())
                   .With("from", aDecision.controlHost)
                   .With("lease_ms_ago", aDecision.leaseAge.count() / 1000)
                   .With("retry_ms", retryAfter.count() / 1000));
  Refuse(aRequest,
         CallerOutcome::kNotRun,
         429,
         "the requests of the team exceed its limit",
         retryAfter,
         aNow);
}

} // namespace fuchsiaramp
