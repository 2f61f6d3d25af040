// A target that reads slowly takes a large body; a second request with a body
// waits in the entry host until the first one is sent. Meanwhile the target
// reports that it drains. The second request must not reach it later than
// DrainMs after the acknowledgement; another target is ready for it.
//
//   drain_with_waiting_body FOLDER
#include <iostream>

// The program that deploy/system.toml names.
#define FUCHSIARAMP_DAEMON "target/programs/fuchsiarampd"
#include "../../platform/process/stand_in_server.h"

namespace fuchsiaramp::fleet_test {

static constexpr std::int64_t kDrainMs = 2500;     // DrainMs
static constexpr std::int64_t kHeartbeatMs = 1500; // HeartbeatIntervalMs
static constexpr std::int64_t kAnswerMs = 1000;    // for a heartbeat
// The longest deadline in the site files.
static constexpr std::int64_t kDeadlineMs = 10'000;
static constexpr std::int64_t kIdleMs = 10'000;          // of a connection
static constexpr std::int64_t kBytesPerSecond = 1 << 20; // a slow reader
static constexpr std::size_t kLargeBody = 9 << 20; // MaxBodyBytes is 64 MiB
static constexpr std::size_t kSecondBody = 256 << 10;
static constexpr int kReceiveBuffer = 64 << 10;
static constexpr std::int64_t kSettleMs = 300;
static constexpr std::int64_t kWorkMs = 20;

static std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// A target that reports its state, and records when the head of each request
// arrives.
class Target
{
public:
  Target(Record& aRecord,
         const Fleet& aFleet,
         int aIndex,
         std::int64_t aBytesPerSecond)
    : m_record(aRecord)
    , m_id("i-" + std::to_string(aIndex + 1))
    , m_zone(aFleet.Zone(aIndex))
    , m_address(aFleet.ServerAddress(aIndex))
    , m_controls(aFleet.ControlAddresses())
    , m_rate(aBytesPerSecond)
    , m_born(UnixMs())
  {
  }
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;
  ~Target()
  {
    m_stopped = true;
    if (m_listener.IsOpen()) {
      ::shutdown(m_listener.Descriptor(), SHUT_RDWR);
    }
    for (std::thread* thread : { &m_acceptor, &m_reporter }) {
      if (thread->joinable()) {
        thread->join();
      }
    }
    while (m_running > 0) {
      SleepMs(5);
    }
  }

  bool Start()
  {
    m_listener = Listen(m_address);
    if (!m_listener.IsOpen()) {
      return false;
    }
    ::setsockopt(m_listener.Descriptor(),
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &kReceiveBuffer,
                 sizeof(kReceiveBuffer));
    m_acceptor = std::thread([this] { AcceptLoop(); });
    m_reporter = std::thread([this] { ReportLoop(); });
    const std::int64_t until = NowMs() + 10'000;
    while (!m_acknowledged && NowMs() < until) {
      SleepMs(20);
    }
    return m_acknowledged;
  }

  // Returns when the state "draining" was acknowledged, or -1.
  std::int64_t Drain()
  {
    m_draining = true;
    const std::int64_t until = NowMs() + 10'000;
    for (std::size_t i = 0; NowMs() < until; ++i) {
      if (Report(m_controls[i % m_controls.size()])) {
        m_drainingAt = NowMs();
        m_record.Say(m_id + " drains, acknowledged");
        return m_drainingAt;
      }
      SleepMs(50);
    }
    return -1;
  }

  // When the request arrived, or -1.
  std::int64_t ArrivedAt(const std::string& aAttempt)
  {
    const std::lock_guard<std::mutex> hold(m_lock);
    const auto it = m_arrivals.find(aAttempt);
    return it == m_arrivals.end() ? -1 : it->second;
  }

private:
  void AcceptLoop()
  {
    while (!m_stopped) {
      Socket socket(
        ::accept4(m_listener.Descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!socket.IsOpen()) {
        return;
      }
      ++m_running;
      std::thread([this,
                   connection = std::make_shared<Socket>(std::move(socket))] {
        while (!m_stopped && ServeOne(*connection)) {
        }
        --m_running;
      }).detach();
    }
  }

  bool ReadMore(const Socket& aSocket, std::string& aText) const
  {
    if (!aSocket.WaitReadable(NowMs() + kIdleMs)) {
      return false;
    }
    char piece[16 << 10];
    const ssize_t count = ::recv(aSocket.Descriptor(), piece, sizeof(piece), 0);
    if (count <= 0) {
      return false;
    }
    aText.append(piece, static_cast<std::size_t>(count));
    if (m_rate > 0) {
      SleepMs(count * 1000 / m_rate);
    }
    return !m_stopped;
  }

  static std::string Header(const std::string& aHead, const std::string& aName)
  {
    const std::size_t at = aHead.find("\r\n" + aName + ": ");
    if (at == std::string::npos) {
      return "";
    }
    const std::size_t from = at + aName.size() + 4;
    return aHead.substr(from, aHead.find("\r\n", from) - from);
  }

  bool ServeOne(const Socket& aSocket)
  {
    std::string text;
    std::size_t end = std::string::npos;
    while ((end = text.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore(aSocket, text)) {
        return false;
      }
    }
    const std::string head = text.substr(0, end + 2);
    const std::string attempt = Header(head, "X-Attempt-Id");
    if (Header(head, "X-Expected-Instance") != m_id) {
      aSocket.Write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " +
                    attempt + "\r\nContent-Length: 0\r\n\r\n");
      return false;
    }
    m_record.Say("request " + attempt + " reaches " + m_id);
    {
      const std::lock_guard<std::mutex> hold(m_lock);
      m_arrivals[attempt] = NowMs();
    }
    const std::size_t length = static_cast<std::size_t>(
      std::atoll(Header(head, "Content-Length").c_str()));
    text.erase(0, end + 4);
    while (text.size() < length) {
      if (!ReadMore(aSocket, text)) {
        return false;
      }
    }
    SleepMs(kWorkMs);
    const std::string body = std::to_string(length) + " bytes";
    // Letter 5: a target that leaves says so in its answers, too.
    return aSocket.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                         "\r\nX-Server-Signature: " + m_id + '.' + attempt +
                         (m_draining ? "\r\nServer-Leaving: 1" : "") +
                         "\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
  }

  bool Report(const Address& aControl)
  {
    const std::lock_guard<std::mutex> hold(m_reportLock);
    const std::string state = m_draining ? "draining" : "ready";
    const auto reply = Call(aControl,
                            "POST",
                            "/rpc?call=instances.heartbeat&of=" + m_id,
                            "{\"Service\":\"calc\",\"Address\":\"" +
                              m_address.Text() + "\",\"Zone\":\"" + m_zone +
                              "\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" +
                              state + "\",\"ColdRemainingMs\":0,\"Sequence\":" +
                              std::to_string(++m_sequence) +
                              ",\"born\":" + std::to_string(m_born) + '}',
                            kAnswerMs);
    return reply && reply->Status() / 100 == 2;
  }

  void ReportLoop()
  {
    for (std::size_t i = 0; !m_stopped;) {
      if (!Report(m_controls[i % m_controls.size()])) {
        ++i;
        SleepMs(100);
        continue;
      }
      m_acknowledged = true;
      const std::int64_t due = NowMs() + kHeartbeatMs;
      while (NowMs() < due && !m_stopped) {
        SleepMs(20);
      }
    }
  }

  Record& m_record;
  std::string m_id;
  std::string m_zone;
  Address m_address;
  std::vector<Address> m_controls;
  std::int64_t m_rate;
  std::int64_t m_born;
  std::int64_t m_drainingAt = -1;
  std::uint64_t m_sequence = 0;
  Socket m_listener;
  std::thread m_acceptor;
  std::thread m_reporter;
  std::mutex m_lock;
  std::mutex m_reportLock;
  std::map<std::string, std::int64_t> m_arrivals;
  std::atomic<int> m_running{ 0 };
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_acknowledged{ false };
  std::atomic<bool> m_stopped{ false };
};

class Script
{
public:
  explicit Script(const std::string& aFolder)
    : m_record(aFolder + "/record.txt")
    , m_fleet(m_record, { .controls = 3, .entries = 3 })
  {
  }

  int Main()
  {
    if (!m_fleet.Start(SimpleConfiguration(kDeadlineMs, 1500))) {
      return kCannotRun;
    }
    Target leaving(m_record, m_fleet, 0, kBytesPerSecond);
    Target joining(m_record, m_fleet, 1, 0);
    if (!leaving.Start()) {
      return kCannotRun;
    }
    SleepMs(kHeartbeatMs);
    std::thread first([this] { Send("first", kLargeBody); });
    SleepMs(kSettleMs);
    std::thread second([this] { Send("second", kSecondBody); });
    SleepMs(kSettleMs);
    const bool joined = joining.Start();
    std::int64_t acknowledgedAt = -1;
    if (HasTrouble()) {
      acknowledgedAt = leaving.Drain();
    }
    first.join();
    second.join();
    const bool arrivedFirst = leaving.ArrivedAt("first") >= 0;
    const std::int64_t arrivedAt = leaving.ArrivedAt("second");
    if (!joined || !arrivedFirst || (HasTrouble() && acknowledgedAt < 0)) {
      m_record.Say("the case could not run");
      return kCannotRun;
    }
    const std::int64_t lateBy = arrivedAt - acknowledgedAt;
    if (HasTrouble() && arrivedAt >= 0) {
      m_record.Say("the second request reached the leaving target " +
                   std::to_string(lateBy) + " ms after the acknowledgement");
    }
    const bool broken = HasTrouble() && arrivedAt >= 0 && lateBy > kDrainMs;
    m_record.Say(broken ? "BROKEN" : "held");
    return broken ? kBroken : kHeld;
  }

private:
  void Send(const std::string& aAttempt, std::size_t aBytes)
  {
    const Socket socket = Connect(m_fleet.FrontAddress(0), 1000);
    m_record.Say("request " + aAttempt + " is sent");
    Message reply;
    MessageReader reader;
    const bool answered =
      socket.Write(RequestText("POST",
                               "/stamp/" + aAttempt,
                               aAttempt,
                               kDeadlineMs,
                               std::string(aBytes, 'b'))) &&
      reader.Read(socket, reply, NowMs() + kDeadlineMs + 2000) ==
        ReadResult::kComplete;
    m_record.Say("request " + aAttempt + " is answered with " +
                 (answered ? reply.firstLine + ", " + reply.body : "nothing"));
  }

  Record m_record;
  Fleet m_fleet;
};

} // namespace fuchsiaramp::fleet_test

int
main(int aCount, char** aArguments)
{
  return fuchsiaramp::fleet_test::Script(aCount > 1 ? aArguments[1] : ".")
    .Main();
}
