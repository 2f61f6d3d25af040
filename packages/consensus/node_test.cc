#define BOOST_TEST_MODULE node
#include <boost/test/unit_test.hpp>

#include <memory>
#include <utility>
#include <vector>

#include "base/error.h"
#include "consensus/node.h"

namespace fuchsiaramp {

static constexpr std::uint64_t kKilobyte = 1 << 10;
static constexpr std::uint64_t kMaxLogBytes = 512 * kKilobyte;
static constexpr std::uint64_t kMaxInFlightBytes = 128 * kKilobyte;
static constexpr std::uint64_t kStateBytes = 4 * kKilobyte;
static constexpr Duration kStep = std::chrono::milliseconds(20);

// The only voter of a group, and what it stores and sends. In a group that has
// run before, there is a learner that never responds.
class Member
{
public:
  explicit Member(StoredState aStored = NewDisk())
    : m_node(std::make_unique<Node>(Options(aStored),
                                    std::move(aStored),
                                    Hooks(),
                                    Random(1),
                                    m_now))
  {
  }

  static StoredState NewDisk()
  {
    StoredState stored;
    stored.hardState.set_disk_id(7);
    return stored;
  }

  // What a member of an earlier build left after aEntries large commands.
  static StoredState DiskWithEntries(std::uint64_t aEntries)
  {
    StoredState stored = NewDisk();
    stored.hardState.set_cluster_id(3);
    stored.hardState.set_term(1);
    wire::LogEntry first;
    first.set_index(1);
    first.set_term(1);
    wire::Member* self = first.mutable_configuration()->add_members();
    self->set_host("self");
    self->set_disk_id(7);
    self->set_voter(true);
    wire::Member* silent = first.mutable_configuration()->add_members();
    silent->set_host("silent");
    silent->set_disk_id(8);
    stored.entries.push_back(first);
    for (std::uint64_t i = 0; i < aEntries; ++i) {
      wire::LogEntry entry;
      entry.set_index(2 + i);
      entry.set_term(1);
      entry.set_command(LargeCommand());
      stored.entries.push_back(entry);
    }
    return stored;
  }

  static std::string LargeCommand() { return std::string(32 * kKilobyte, 'c'); }

  void RunFor(Duration aSpan)
  {
    for (const TimePoint end = m_now + aSpan; m_now < end; m_now += kStep) {
      m_node->Tick(m_now);
      m_node->Flush(m_now);
    }
  }

  void Lead()
  {
    RunFor(std::chrono::seconds(5));
    BOOST_REQUIRE(m_node->IsLeader());
  }

  void Propose(const std::string& aCommand)
  {
    m_node->Propose(ProposalId(++m_proposals), aCommand);
    m_node->Flush(m_now);
    m_node->Flush(m_now);
  }

  TimePoint m_now = TimePoint() + std::chrono::seconds(100);
  std::uint64_t m_snapshotBytes = kStateBytes;
  std::uint64_t m_proposals = 0;
  std::uint64_t m_applied = 0;
  std::uint64_t m_snapshots = 0;
  std::uint64_t m_storedBytes = 0; // of the log, as last replaced
  std::vector<ProposalOutcome> m_outcomes;
  std::vector<wire::RaftMessage> m_sent;
  std::unique_ptr<Node> m_node;

private:
  static NodeOptions Options(const StoredState& aStored)
  {
    NodeOptions options;
    options.self = HostId("self");
    options.hosts = { options.self };
    if (!aStored.entries.empty()) {
      options.hosts.emplace_back("silent");
    }
    options.maxInFlightBytes = kMaxInFlightBytes;
    options.snapshotAfterBytes = kMaxLogBytes;
    return options;
  }

  NodeHooks Hooks()
  {
    NodeHooks hooks;
    hooks.send = [this](const HostId&, const wire::RaftMessage& aMessage) {
      m_sent.push_back(aMessage);
    };
    hooks.storage.append = [](const wire::HardState&,
                              const std::vector<wire::LogEntry>&) {
      return std::error_code();
    };
    hooks.storage.saveSnapshot =
      [this](const wire::HardState&,
             const wire::SnapshotMeta&,
             const std::string&,
             const std::vector<wire::LogEntry>& aRetained) {
        ++m_snapshots;
        m_storedBytes = 0;
        for (const wire::LogEntry& entry : aRetained) {
          m_storedBytes += entry.ByteSizeLong();
        }
        return std::error_code();
      };
    hooks.apply = [this](std::uint64_t, const std::string&) {
      ++m_applied;
      return std::string();
    };
    hooks.snapshot = [this] { return std::string(m_snapshotBytes, 's'); };
    hooks.restore = [](const std::string&) {};
    hooks.finished =
      [this](ProposalId, ProposalOutcome aOutcome, const std::string&) {
        m_outcomes.push_back(aOutcome);
      };
    hooks.fatal = [](std::error_code) {};
    hooks.record = [](const Event&) {};
    return hooks;
  }
};

// Guards against a log that outgrows the memory of its host because large
// commands were bounded only by their number.
BOOST_AUTO_TEST_CASE(LargeCommandsDoNotGrowTheLogBeyondItsBytes)
{
  Member member;
  member.Lead();
  for (int i = 0; i < 200; ++i) {
    member.Propose(Member::LargeCommand());
    BOOST_REQUIRE(member.m_node->Entries().Bytes() <=
                  kMaxLogBytes + 64 * kKilobyte);
  }
  BOOST_TEST(member.m_applied == 200u);
  BOOST_TEST(member.m_snapshots > 0u);
  BOOST_TEST(member.m_storedBytes <= kMaxLogBytes / 2);
}

// Guards against a host that is killed for its memory at each start because
// its disk holds a log that was written without a bound on its bytes.
BOOST_AUTO_TEST_CASE(ALogBeyondTheBoundIsCompactedAfterTheStart)
{
  Member member(Member::DiskWithEntries(200));
  member.Lead();
  BOOST_TEST(member.m_applied == 200u);
  BOOST_TEST(member.m_node->Entries().Bytes() <= kMaxLogBytes);
  BOOST_TEST(member.m_storedBytes <= kMaxLogBytes / 2);
}

// A snapshot costs as much as its state is large, so that a log smaller than
// the last snapshot is kept.
BOOST_AUTO_TEST_CASE(ALargeStateIsNotSavedForEachCommand)
{
  Member member;
  member.m_snapshotBytes = 4 * kMaxLogBytes;
  member.Lead();
  for (int i = 0; i < 200; ++i) {
    member.Propose(Member::LargeCommand());
  }
  BOOST_TEST(member.m_snapshots > 1u);
  BOOST_TEST(member.m_snapshots <= 5u);
}

// Guards against a leader whose messages to a frozen member fill its memory
// because they were bounded only by their number.
BOOST_AUTO_TEST_CASE(AMemberThatDoesNotRespondIsSentABoundedNumberOfBytes)
{
  Member member(Member::DiskWithEntries(1));
  member.Lead();
  for (int i = 0; i < 14; ++i) {
    member.Propose(Member::LargeCommand());
  }
  std::uint64_t bytes = 0;
  for (const wire::RaftMessage& message : member.m_sent) {
    bytes += message.ByteSizeLong();
  }
  BOOST_TEST(bytes > kMaxInFlightBytes);
  BOOST_TEST(bytes < 2 * kMaxInFlightBytes);
}

} // namespace fuchsiaramp
