// A stand-in for a target that reports its state, reads as fast as a case asks
// for, and records when the head of each request arrives.
//
//   Target target(record, fleet, 0, { .bytesPerSecond = 1 << 20 });
//   if (!target.Start()) { return kCannotRun; }
#pragma once

// The program that deploy/system.toml names.
#define FUCHSIARAMP_DAEMON "target/programs/fuchsiarampd"
#include <condition_variable>

#include "../../platform/process/stand_in_server.h"

namespace fuchsiaramp::fleet_test {

static constexpr std::int64_t kHeartbeatMs = 1500;       // HeartbeatIntervalMs
static constexpr std::int64_t kHeartbeatAnswerMs = 1000; // PROTOCOL.md
static constexpr std::int64_t kConnectionIdleMs = 10'000;
static constexpr int kReceiveBuffer = 64 << 10;

inline std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

struct TargetOptions
{
  std::int64_t bytesPerSecond = 0; // that it reads; 0: as fast as they come
  std::int64_t born = UnixMs();    // by the clock of its machine
  bool reports = true;             // by itself, each kHeartbeatMs
  std::int64_t workMs = 20;
  int slots = 6;
  int queue = 8; // requests that wait for a slot; others are rejected
};

class Target
{
public:
  Target(Record& aRecord,
         const Fleet& aFleet,
         int aIndex,
         TargetOptions aOptions)
    : m_record(aRecord)
    , m_id("i-" + std::to_string(aIndex + 1))
    , m_zone(aFleet.Zone(aIndex))
    , m_address(aFleet.ServerAddress(aIndex))
    , m_controls(aFleet.ControlAddresses())
    , m_rate(aOptions.bytesPerSecond)
    , m_born(aOptions.born)
    , m_reports(aOptions.reports)
    , m_workMs(aOptions.workMs)
    , m_slots(aOptions.slots)
    , m_queue(aOptions.queue)
  {
  }
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;
  ~Target() { Stop(); }

  // Ends without a word, as a target that crashes.
  void Stop()
  {
    m_stopped = true;
    if (m_listener.IsOpen()) {
      ::shutdown(m_listener.Descriptor(), SHUT_RDWR);
    }
    {
      const std::lock_guard<std::mutex> hold(m_lock);
      for (const int descriptor : m_connections) {
        ::shutdown(descriptor, SHUT_RDWR);
      }
    }
    for (std::thread* thread : { &m_acceptor, &m_reporter }) {
      if (thread->joinable()) {
        thread->join();
      }
    }
    while (m_running > 0) {
      SleepMs(5);
    }
    m_listener.Close();
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
    if (!m_reports) {
      return true;
    }
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

  // Says that it leaves without having said that it drains. Returns when that
  // was acknowledged, or -1.
  std::int64_t Deregister()
  {
    const std::int64_t until = NowMs() + 10'000;
    for (std::size_t i = 0; NowMs() < until; ++i) {
      const Address& control = m_controls[i % m_controls.size()];
      const auto reply = Call(control,
                              "POST",
                              "/rpc?call=instances.deregister&of=" + m_id,
                              "",
                              kHeartbeatAnswerMs);
      if (reply && reply->Status() / 100 == 2) {
        m_draining = true;
        m_record.Say(m_id + " deregistered at " + control.Text() +
                     ", acknowledged");
        return NowMs();
      }
      SleepMs(50);
    }
    return -1;
  }

  // The body of its next heartbeat.
  std::string Heartbeat()
  {
    const std::string state = m_draining ? "draining" : "ready";
    return "{\"Service\":\"calc\",\"Address\":\"" + m_address.Text() +
           "\",\"Zone\":\"" + m_zone +
           "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(m_slots) +
           ",\"State\":\"" + state + "\",\"ColdRemainingMs\":0,\"Sequence\":" +
           std::to_string(++m_sequence) +
           ",\"born\":" + std::to_string(m_born) + '}';
  }

  const std::string& Id() const { return m_id; }
  const Address& Where() const { return m_address; }

  // How many requests arrived within the time.
  int Arrivals(std::int64_t aFromMs, std::int64_t aUntilMs)
  {
    const std::lock_guard<std::mutex> hold(m_lock);
    int count = 0;
    for (const auto& [attempt, at] : m_arrivals) {
      count += at >= aFromMs && at < aUntilMs ? 1 : 0;
    }
    return count;
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
        Serve(*connection);
        --m_running;
      }).detach();
    }
  }

  void Serve(Socket& aSocket)
  {
    {
      const std::lock_guard<std::mutex> hold(m_lock);
      m_connections.insert(aSocket.Descriptor());
    }
    while (!m_stopped && ServeOne(aSocket)) {
    }
    const std::lock_guard<std::mutex> hold(m_lock);
    m_connections.erase(aSocket.Descriptor());
    aSocket.Close();
  }

  bool ReadMore(const Socket& aSocket, std::string& aText) const
  {
    if (!aSocket.WaitReadable(NowMs() + kConnectionIdleMs)) {
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
    m_record.Line("request " + attempt + " reaches " + m_id);
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
    if (!Work()) {
      return aSocket.Write(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + attempt +
        "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
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
    const auto reply = Call(aControl,
                            "POST",
                            "/rpc?call=instances.heartbeat&of=" + m_id,
                            Heartbeat(),
                            kHeartbeatAnswerMs);
    return reply && reply->Status() / 100 == 2;
  }

  // Works on a request as soon as a slot is free. Returns whether it did.
  bool Work()
  {
    std::unique_lock<std::mutex> hold(m_lock);
    if (m_held >= m_slots + m_queue) {
      return false;
    }
    ++m_held;
    m_slotFree.wait(hold, [this] { return m_atWork < m_slots; });
    ++m_atWork;
    hold.unlock();
    SleepMs(m_workMs);
    hold.lock();
    --m_atWork;
    --m_held;
    m_slotFree.notify_one();
    return true;
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
  bool m_reports;
  std::int64_t m_workMs;
  int m_slots;
  int m_queue;
  int m_held = 0; // requests that run or wait
  int m_atWork = 0;
  std::condition_variable m_slotFree;
  std::int64_t m_drainingAt = -1;
  std::uint64_t m_sequence = 0;
  Socket m_listener;
  std::thread m_acceptor;
  std::thread m_reporter;
  std::mutex m_lock;
  std::mutex m_reportLock;
  std::map<std::string, std::int64_t> m_arrivals;
  std::set<int> m_connections;
  std::atomic<int> m_running{ 0 };
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_acknowledged{ false };
  std::atomic<bool> m_stopped{ false };
};

} // namespace fuchsiaramp::fleet_test
