#include "control/command_client.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace fuchsiaramp {

// Doubles with each resend of a command.
static constexpr Duration kResendInterval = std::chrono::milliseconds(250);
static constexpr int kMaxDoublings = 4;
// A leader that replies to nothing for this long may be gone.
static constexpr Duration kSilentTime = std::chrono::milliseconds(250);
static constexpr std::size_t kMaxPendingCommands = 10'000;
// Of a group. More would only wait at the leader instead of here.
static constexpr std::size_t kMaxInFlight = 64;
// Hosts that name each other as the leader are asked again after kSilentTime.
static constexpr int kMaxHops = 2;

CommandClient::CommandClient(std::vector<HostId> aControlHosts, SendHook aSend)
  : m_controlHosts(std::move(aControlHosts))
  , m_send(std::move(aSend))
{
}

void
CommandClient::SetControlHosts(std::vector<HostId> aControlHosts)
{
  m_controlHosts = std::move(aControlHosts);
}

void
CommandClient::SetGroupLeaders(const std::vector<std::string>& aLeaders)
{
  // Fewer groups than before come from a control host with other settings;
  // keys and commands in hand belong to the groups known so far.
  m_groups.resize(std::max(m_groups.size(), aLeaders.size()));
  for (std::size_t i = 0; i < aLeaders.size(); ++i) {
    Group& group = m_groups[i];
    // While commands are replied to, their replies know better.
    const bool isAnswering = group.isConfirmed && group.inFlight > 0;
    if (!aLeaders[i].empty() && !isAnswering &&
        group.leader != HostId(aLeaders[i])) {
      group.leader = HostId(aLeaders[i]);
      group.isConfirmed = false;
    }
  }
}

std::uint32_t
CommandClient::GroupOf(const wire::ClaimKey& aKey) const
{
  const std::string text =
    aKey.customer() + '\n' + aKey.service() + '\n' + aKey.key();
  const std::uint64_t shards = m_groups.size() - 1;
  return static_cast<std::uint32_t>(1 + Hash64(text) % shards);
}

std::uint32_t
CommandClient::GroupOf(const wire::Command& aCommand) const
{
  if (aCommand.has_server()) {
    return 0; // the lists group also holds the table of backend servers
  }
  return GroupOf(aCommand.has_claim() ? aCommand.claim().key()
                                      : aCommand.finish().key());
}

bool
CommandClient::CanSubmit() const
{
  return m_groups.size() > 1 && m_pending.size() < kMaxPendingCommands;
}

void
CommandClient::Submit(wire::Command aCommand,
                      TimePoint aDeadline,
                      TimePoint aNow,
                      DoneHook aDone)
{
  const std::uint64_t id = m_nextId++;
  if (m_groups.empty()) {
    m_groups.resize(1); // the lists group always exists
  }
  Call& call = m_pending[id];
  call.group = GroupOf(aCommand);
  call.command = std::move(aCommand);
  call.deadline = aDeadline;
  call.done = std::move(aDone);
  m_waiting[call.group].push_back(id);
  SendWaiting(call.group, aNow);
}

void
CommandClient::SendWaiting(std::uint32_t aGroup, TimePoint aNow)
{
  Group& group = m_groups[aGroup];
  if (group.leader.IsEmpty()) {
    TryNextHost(group); // any control host replies with the leader
  }
  std::deque<std::uint64_t>& waiting = m_waiting[aGroup];
  const std::size_t limit = group.isConfirmed ? kMaxInFlight : 1;
  while (!waiting.empty() && group.inFlight < limit) {
    const auto it = m_pending.find(waiting.front());
    waiting.pop_front();
    if (it != m_pending.end()) {
      ++group.inFlight;
      Send(it->first, it->second, aNow);
    }
  }
}

void
CommandClient::Send(std::uint64_t aId, Call& aCall, TimePoint aNow)
{
  Group& group = m_groups[aCall.group];
  aCall.resendAt =
    aNow + kResendInterval * (1 << std::min(aCall.sends, kMaxDoublings));
  ++aCall.sends;
  aCall.sentTo = group.leader;
  if (!group.isConfirmed || group.silentAt == kNever) {
    group.silentAt = aNow + kSilentTime;
  }
  wire::Envelope envelope;
  wire::ControlRequest* request = envelope.mutable_control_request();
  request->set_request_id(aId);
  request->set_group(aCall.group);
  *request->mutable_command() = aCall.command;
  m_send(group.leader, envelope);
}

void
CommandClient::Probe(std::uint32_t aGroup, TimePoint aNow)
{
  for (auto& [id, call] : m_pending) {
    if (call.group == aGroup && call.sends > 0) {
      Send(id, call, aNow);
      return;
    }
  }
  m_groups[aGroup].silentAt = kNever;
  SendWaiting(aGroup, aNow);
}

// Commands that were sent to another host before are sent again.
void
CommandClient::Confirm(std::uint32_t aGroup,
                       const HostId& aLeader,
                       TimePoint aNow)
{
  Group& group = m_groups[aGroup];
  group.hops = 0;
  group.silentAt = group.inFlight > 0 ? aNow + kSilentTime : kNever;
  if (group.isConfirmed) {
    return;
  }
  group.leader = aLeader;
  group.isConfirmed = true;
  for (auto& [id, call] : m_pending) {
    if (call.group == aGroup && call.sends > 0 && call.sentTo != aLeader) {
      Send(id, call, aNow);
    }
  }
}

void
CommandClient::TryNextHost(Group& aGroup)
{
  aGroup.isConfirmed = false;
  aGroup.hops = 0;
  if (!m_controlHosts.empty()) {
    aGroup.leader = m_controlHosts[m_nextHost++ % m_controlHosts.size()];
  }
}

CommandClient::DoneHook
CommandClient::Remove(std::map<std::uint64_t, Call>::iterator aCall)
{
  Group& group = m_groups[aCall->second.group];
  if (aCall->second.sends > 0 && --group.inFlight == 0) {
    group.silentAt = kNever;
  }
  DoneHook done = std::move(aCall->second.done);
  m_pending.erase(aCall);
  return done;
}

// A hint that is empty or names the replying host itself leads nowhere. What a
// host says that was given up already is old.
void
CommandClient::OnNotLeader(std::uint32_t aGroup,
                           const HostId& aFrom,
                           const HostId& aHint,
                           TimePoint aNow)
{
  Group& group = m_groups[aGroup];
  if (group.leader != aFrom) {
    return;
  }
  group.isConfirmed = false;
  if (aHint.IsEmpty() || aHint == aFrom || group.hops >= kMaxHops) {
    group.silentAt = std::min(group.silentAt, aNow + kSilentTime);
    return;
  }
  ++group.hops;
  group.leader = aHint;
  Probe(aGroup, aNow);
}

void
CommandClient::OnReply(const HostId& aFrom,
                       const wire::ControlReply& aReply,
                       TimePoint aNow)
{
  const auto it = m_pending.find(aReply.request_id());
  if (it == m_pending.end()) {
    return;
  }
  const std::uint32_t group = it->second.group;
  const auto code = aReply.result().code();
  if (code == wire::CommandResult::NOT_LEADER) {
    OnNotLeader(group, aFrom, HostId(aReply.leader()), aNow);
    return;
  }
  if (code == wire::CommandResult::RESULT_UNKNOWN) {
    if (aFrom == m_groups[group].leader) {
      m_groups[group].silentAt = aNow + kSilentTime;
    }
    return; // Tick() resends the command
  }
  const DoneHook done = Remove(it);
  Confirm(group, aFrom, aNow);
  SendWaiting(group, aNow);
  done(&aReply.result());
}

void
CommandClient::Tick(TimePoint aNow)
{
  std::vector<DoneHook> expired;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    Call& call = it->second;
    if (IsDue(call.deadline, aNow)) {
      expired.push_back(Remove(it++));
      continue;
    }
    if (call.sends > 0 && m_groups[call.group].isConfirmed &&
        IsDue(call.resendAt, aNow)) {
      Send(it->first, call, aNow);
    }
    ++it;
  }
  for (std::uint32_t i = 0; i < m_groups.size(); ++i) {
    Group& group = m_groups[i];
    if (group.inFlight > 0 && IsDue(group.silentAt, aNow)) {
      TryNextHost(group);
      Probe(i, aNow);
    }
    SendWaiting(i, aNow);
  }
  for (const DoneHook& done : expired) {
    done(nullptr);
  }
}

} // namespace fuchsiaramp
