// Submits commands to the consensus groups on behalf of one host: finds the
// leader of the group of a command, resends a command that gets no reply, and
// gives up at its deadline.
//
// A leader that is slow is not given up for another host, and is not asked the
// same ever more often: a limited number of commands of a group is in flight,
// and each is resent at growing intervals. Another host is tried only while the
// leader sends no reply at all, and by all commands of the group together.
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
#include <deque>
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
    HostId sentTo; // empty until it is sent
    int sends = 0;
    DoneHook done;
  };

  // A consensus group as known here.
  struct Group
  {
    HostId leader; // the host that is asked
    // Whether that host replied as the leader. Until then, one command is in
    // flight.
    bool isConfirmed = false;
    int hops = 0; // from one host to the leader that it named
    std::size_t inFlight = 0;
    // When the host that is asked is taken for gone.
    TimePoint silentAt = kNever;
  };

  std::uint32_t GroupOf(const wire::Command& aCommand) const;
  std::uint32_t GroupOf(const wire::ClaimKey& aKey) const;
  void Send(std::uint64_t aId, Call& aCall, TimePoint aNow);
  void SendWaiting(std::uint32_t aGroup, TimePoint aNow);
  // Sends the oldest command of a group to the host that is asked now.
  void Probe(std::uint32_t aGroup, TimePoint aNow);
  void Confirm(std::uint32_t aGroup, const HostId& aLeader, TimePoint aNow);
  void OnNotLeader(std::uint32_t aGroup,
                   const HostId& aFrom,
                   const HostId& aHint,
                   TimePoint aNow);
  void TryNextHost(Group& aGroup);
  DoneHook Remove(std::map<std::uint64_t, Call>::iterator aCall);

  std::vector<HostId> m_controlHosts;
  SendHook m_send;
  std::vector<Group> m_groups;
  std::map<std::uint64_t, Call> m_pending;
  // Calls that were not sent yet, by group. Some may have ended since.
  std::map<std::uint32_t, std::deque<std::uint64_t>> m_waiting;
  std::uint64_t m_nextId = 1;
  std::size_t m_nextHost = 0;
};

} // namespace fuchsiaramp
