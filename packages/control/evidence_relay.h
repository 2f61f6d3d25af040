// Relays evidence between hosts at a limited rate, merged for each receiver.
//
// Evidence is advice: it may come late or be dropped. A trouble that many entry
// hosts observe at once makes each of them send, and each message goes to all
// others; unlimited, that load would keep control hosts from confirming the
// lists. The limits of servers alone are never dropped, since a host that does
// not know of one would exceed it.
//
//   EvidenceRelay relay(options, send);
//   relay.Queue(host, evidence, now);
//   relay.Flush(now);
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "base/ids.h"
#include "base/time.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct EvidenceRelayOptions
{
  // Shortest interval between two messages to one host.
  Duration interval = std::chrono::milliseconds(50);
  // Half of what a daemon may spend on control at the target size.
  std::size_t bytesPerSecond = 8 << 10; // to one host
  std::size_t messageBytes = 4 << 10;   // upper limit; limits of servers exceed
  std::size_t maxNotices = 256;         // poison notices waiting for one host
  // Evidence that has waited for longer is dropped.
  Duration maxAge = std::chrono::seconds(2);
};

class EvidenceRelay
{
public:
  using SendHook = std::function<void(const HostId&, const wire::Evidence&)>;

  EvidenceRelay(EvidenceRelayOptions aOptions, SendHook aSend);

  // Verdicts and loads are not relayed: hosts send them to each other directly.
  void Queue(const HostId& aTo,
             const wire::Evidence& aEvidence,
             TimePoint aNow);
  // Sends what is due.
  void Flush(TimePoint aNow);
  // The number of items that were dropped: poison notices, and the outcomes
  // of one backend server.
  std::uint64_t Dropped() const { return m_dropped; }

private:
  template<class Item>
  struct Waiting
  {
    Item item;
    TimePoint expiresAt;
  };
  using ServerKey = std::pair<std::string, std::string>; // service, server
  using OutcomeKey = std::tuple<std::string, std::string, std::uint64_t>;
  using NoticeKey = std::pair<std::uint64_t, std::string>;

  struct Receiver
  {
    TimePoint nextSendAt;
    std::map<ServerKey, wire::ServerLimit> limits;
    std::map<NoticeKey, Waiting<wire::PoisonNotice>> notices;
    std::map<OutcomeKey, Waiting<wire::ServerCounts>> outcomes;

    bool IsEmpty() const
    {
      return limits.empty() && notices.empty() && outcomes.empty();
    }
  };

  void QueueNotice(Receiver& aReceiver,
                   const wire::PoisonNotice& aNotice,
                   TimePoint aNow);
  void DropExpired(Receiver& aReceiver, TimePoint aNow);
  wire::Evidence TakeMessage(Receiver& aReceiver) const;

  const EvidenceRelayOptions m_options;
  const SendHook m_send;
  std::map<HostId, Receiver> m_receivers;
  std::uint64_t m_dropped = 0;
};

} // namespace fuchsiaramp
