#include "control/evidence_relay.h"

#include <algorithm>

namespace fuchsiaramp {

// Bytes of the tag and length of an embedded message, at most.
static constexpr std::size_t kFieldOverhead = 4;

EvidenceRelay::EvidenceRelay(EvidenceRelayOptions aOptions, SendHook aSend)
  : m_options(aOptions)
  , m_send(std::move(aSend))
{
}

void
EvidenceRelay::Queue(const HostId& aTo,
                     const wire::Evidence& aEvidence,
                     TimePoint aNow)
{
  Receiver& receiver = m_receivers[aTo];
  const TimePoint expiresAt = aNow + m_options.maxAge;
  for (const wire::ServerLimits& limits : aEvidence.limits()) {
    for (const wire::ServerLimit& limit : limits.servers()) {
      receiver.limits[{ limits.service(), limit.server() }] = limit;
    }
  }
  for (const wire::PoisonNotice& notice : aEvidence.poison()) {
    QueueNotice(receiver, notice, aNow);
  }
  for (const wire::EvidenceReport& report : aEvidence.reports()) {
    for (const wire::ServerCounts& counts : report.counts()) {
      auto [it, added] = receiver.outcomes.try_emplace(
        { report.service(), counts.server(), counts.incarnation() },
        Waiting<wire::ServerCounts>{ counts, expiresAt });
      if (!added) {
        wire::ServerCounts& sum = it->second.item;
        sum.set_successes(sum.successes() + counts.successes());
        sum.set_failures(sum.failures() + counts.failures());
        sum.set_slow(sum.slow() + counts.slow());
        sum.set_broken(sum.broken() + counts.broken());
      }
    }
  }
}

void
EvidenceRelay::QueueNotice(Receiver& aReceiver,
                           const wire::PoisonNotice& aNotice,
                           TimePoint aNow)
{
  const NoticeKey key(aNotice.fingerprint(), aNotice.broken_server());
  if (aReceiver.notices.count(key) == 0 &&
      aReceiver.notices.size() >= m_options.maxNotices) {
    ++m_dropped;
    return;
  }
  aReceiver.notices[key] = { aNotice, aNow + m_options.maxAge };
}

void
EvidenceRelay::DropExpired(Receiver& aReceiver, TimePoint aNow)
{
  const auto expired = [aNow](const auto& aEntry) {
    return IsDue(aEntry.second.expiresAt, aNow);
  };
  m_dropped += std::erase_if(aReceiver.notices, expired);
  m_dropped += std::erase_if(aReceiver.outcomes, expired);
}

// The limits of servers go first, then poison notices, then outcomes. What does
// not fit stays for the next message.
wire::Evidence
EvidenceRelay::TakeMessage(Receiver& aReceiver) const
{
  wire::Evidence evidence;
  std::size_t bytes = 0;
  std::map<std::string, wire::ServerLimits*> limits;
  for (const auto& [key, limit] : aReceiver.limits) {
    wire::ServerLimits*& service = limits[key.first];
    if (service == nullptr) {
      service = evidence.add_limits();
      service->set_service(key.first);
    }
    *service->add_servers() = limit;
    bytes += limit.ByteSizeLong() + kFieldOverhead;
  }
  aReceiver.limits.clear();
  while (!aReceiver.notices.empty() && bytes < m_options.messageBytes) {
    const auto it = aReceiver.notices.begin();
    bytes += it->second.item.ByteSizeLong() + kFieldOverhead;
    *evidence.add_poison() = std::move(it->second.item);
    aReceiver.notices.erase(it);
  }
  std::map<std::string, wire::EvidenceReport*> reports;
  while (!aReceiver.outcomes.empty() && bytes < m_options.messageBytes) {
    const auto it = aReceiver.outcomes.begin();
    const std::string& name = std::get<0>(it->first);
    wire::EvidenceReport*& report = reports[name];
    if (report == nullptr) {
      report = evidence.add_reports();
      report->set_service(name);
    }
    bytes += it->second.item.ByteSizeLong() + kFieldOverhead;
    *report->add_counts() = std::move(it->second.item);
    aReceiver.outcomes.erase(it);
  }
  return evidence;
}

void
EvidenceRelay::Flush(TimePoint aNow)
{
  for (auto it = m_receivers.begin(); it != m_receivers.end();) {
    auto& [host, receiver] = *it;
    if (!IsDue(receiver.nextSendAt, aNow)) {
      ++it;
      continue;
    }
    DropExpired(receiver, aNow);
    if (receiver.IsEmpty()) {
      it = m_receivers.erase(it);
      continue;
    }
    const wire::Evidence evidence = TakeMessage(receiver);
    const Duration transfer =
      FromSeconds(static_cast<double>(evidence.ByteSizeLong()) /
                  static_cast<double>(m_options.bytesPerSecond));
    receiver.nextSendAt = aNow + std::max(m_options.interval, transfer);
    m_send(host, evidence);
    ++it;
  }
}

} // namespace fuchsiaramp
