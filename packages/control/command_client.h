// Submits commands to the consensus groups on behalf of one host: finds the
// leader of the group of a command, resends a command that gets no reply, and
// gives up at its deadline.
//
// Resending is safe because claims and their reports name the attempt, and
// reports of backend servers carry a sequence number.
//
//   client.Submit(command, deadline, now, [](const wire::CommandResult* r) {
//     // null: no reply by the deadline; the command may still be committed
//   });
//   client.Tick(now);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class CommandClient
{
public:
  using DoneHook = std::function<void(const wire::CommandResult* aResult)>;

  CommandClient(std::vector<HostId> aControlHosts, SendHook aSend);

  void SetControlHosts(std::vector<HostId> aControlHosts);
  // Element 0 is the lists group; the others are the ledger shards. An empty
  // name keeps the former leader.
  void SetGroupLeaders(const std::vector<std::string>& aLeaders);
  // Whether the ledger shards are known and the limit of pending commands is
  // not reached.
  bool CanSubmit() const;

  void Submit(wire::Command aCommand,
              TimePoint aDeadline,
              TimePoint aNow,
              DoneHook aDone);
  void OnReply(const HostId& aFrom,
               const wire::ControlReply& aReply,
               TimePoint aNow);
  void Tick(TimePoint aNow);
  // The number of commands without a reply.
  std::size_t PendingCount() const { return m_pending.size(); }

private:
  struct Call
  {
    std::uint32_t group = 0;
    wire::Command command;
    TimePoint deadline;
    TimePoint resendAt;
    DoneHook done;
  };

  std::uint32_t GroupOf(const wire::Command& aCommand) const;
  std::uint32_t GroupOf(const wire::ClaimKey& aKey) const;
  void Send(std::uint64_t aId, Call& aCall, TimePoint aNow);
  void TryNextHost(std::uint32_t aGroup);

  std::vector<HostId> m_controlHosts;
  SendHook m_send;
  std::vector<HostId> m_leaders; // by group
  std::map<std::uint64_t, Call> m_pending;
  std::uint64_t m_nextId = 1;
  std::size_t m_nextHost = 0;
};

} // namespace fuchsiaramp
