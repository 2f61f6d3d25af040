#include "control/command_client.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace fuchsiaramp {

static constexpr Duration kResendInterval = std::chrono::milliseconds(250);
static constexpr std::size_t kMaxPendingCommands = 10'000;

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
  m_leaders.resize(std::max(m_leaders.size(), aLeaders.size()));
  for (std::size_t i = 0; i < aLeaders.size(); ++i) {
    if (!aLeaders[i].empty()) {
      m_leaders[i] = HostId(aLeaders[i]);
    }
  }
}

std::uint32_t
CommandClient::GroupOf(const wire::ClaimKey& aKey) const
{
  const std::string text =
    aKey.customer() + '\n' + aKey.service() + '\n' + aKey.key();
  const std::uint64_t shards = m_leaders.size() - 1;
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
  return m_leaders.size() > 1 && m_pending.size() < kMaxPendingCommands;
}

void
CommandClient::Submit(wire::Command aCommand,
                      TimePoint aDeadline,
                      TimePoint aNow,
                      DoneHook aDone)
{
  const std::uint64_t id = m_nextId++;
  if (m_leaders.empty()) {
    m_leaders.resize(1); // the lists group always exists
  }
  Call& call = m_pending[id];
  call.group = GroupOf(aCommand);
  call.command = std::move(aCommand);
  call.deadline = aDeadline;
  call.done = std::move(aDone);
  if (m_leaders[call.group].IsEmpty()) {
    TryNextHost(call.group); // any control host replies with the leader
  }
  Send(id, call, aNow);
}

void
CommandClient::Send(std::uint64_t aId, Call& aCall, TimePoint aNow)
{
  aCall.resendAt = aNow + kResendInterval;
  wire::Envelope envelope;
  wire::ControlRequest* request = envelope.mutable_control_request();
  request->set_request_id(aId);
  request->set_group(aCall.group);
  *request->mutable_command() = aCall.command;
  m_send(m_leaders[aCall.group], envelope);
}

void
CommandClient::TryNextHost(std::uint32_t aGroup)
{
  if (!m_controlHosts.empty()) {
    m_leaders[aGroup] = m_controlHosts[m_nextHost++ % m_controlHosts.size()];
  }
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
  Call& call = it->second;
  const auto code = aReply.result().code();
  if (code == wire::CommandResult::NOT_LEADER) {
    // Ignore a leader hint that is empty or names the replying host itself.
    const bool hinted =
      !aReply.leader().empty() && aReply.leader() != aFrom.Value();
    if (hinted && m_leaders[call.group] != HostId(aReply.leader())) {
      m_leaders[call.group] = HostId(aReply.leader());
      Send(it->first, call, aNow);
    } else if (!hinted && m_leaders[call.group] == aFrom) {
      TryNextHost(call.group);
    }
    return;
  }
  if (code == wire::CommandResult::RESULT_UNKNOWN) {
    return; // Tick() resends the command
  }
  const DoneHook done = std::move(call.done);
  m_pending.erase(it);
  done(&aReply.result());
}

void
CommandClient::Tick(TimePoint aNow)
{
  std::vector<DoneHook> expired;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    Call& call = it->second;
    if (IsDue(call.deadline, aNow)) {
      expired.push_back(std::move(call.done));
      it = m_pending.erase(it);
      continue;
    }
    if (IsDue(call.resendAt, aNow)) {
      TryNextHost(call.group);
      Send(it->first, call, aNow);
    }
    ++it;
  }
  for (const DoneHook& done : expired) {
    done(nullptr);
  }
}

} // namespace fuchsiaramp
