// Minimal blocking HTTP/1.1 for the stand-ins: enough to speak to the daemons
// and to misbehave where a case needs it.
#pragma once

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

inline std::int64_t
NowMs()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - start)
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

// An address of a daemon or stand-in.
struct Address
{
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ':' + std::to_string(port); }
};

inline Address
ParseAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  return { aText.substr(0, colon), std::atoi(aText.c_str() + colon + 1) };
}

inline sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  return address;
}

// Owns a socket. Close() may be called from another thread.
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }
  Socket(Socket&& aOther) noexcept
    : m_descriptor(std::exchange(aOther.m_descriptor, -1))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept
  {
    std::swap(m_descriptor, aOther.m_descriptor);
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }

  int Descriptor() const { return m_descriptor; }
  bool IsOpen() const { return m_descriptor >= 0; }
  void Close()
  {
    if (m_descriptor >= 0) {
      ::close(m_descriptor);
      m_descriptor = -1;
    }
  }
  // Closes with a reset, as the kernel does for a process that was killed with
  // unread data, or for a crashed server.
  void Reset()
  {
    const linger now{ 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

  bool WaitReadable(std::int64_t aUntilMs) const
  {
    pollfd item{ m_descriptor, POLLIN, 0 };
    const std::int64_t left = std::max<std::int64_t>(aUntilMs - NowMs(), 0);
    return ::poll(&item, 1, static_cast<int>(left)) > 0;
  }

  bool Write(std::string_view aData) const
  {
    while (!aData.empty()) {
      const ssize_t count =
        ::send(m_descriptor, aData.data(), aData.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      aData.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

private:
  int m_descriptor = -1;
};

// A receive buffer of 0 leaves the system's default.
inline Socket
Connect(const Address& aAddress,
        std::int64_t aTimeoutMs,
        int aReceiveBuffer = 0)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (aReceiveBuffer > 0) {
    ::setsockopt(socket.Descriptor(),
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &aReceiveBuffer,
                 sizeof(aReceiveBuffer));
  }
  const int on = 1;
  ::setsockopt(socket.Descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const timeval limit{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  ::setsockopt(
    socket.Descriptor(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (::connect(socket.Descriptor(),
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    return {};
  }
  const timeval writing{ 30, 0 };
  ::setsockopt(
    socket.Descriptor(), SOL_SOCKET, SO_SNDTIMEO, &writing, sizeof(writing));
  return socket;
}

inline Socket
Listen(const Address& aAddress)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.Descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (::bind(socket.Descriptor(),
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(socket.Descriptor(), 1024) != 0) {
    return {};
  }
  return socket;
}

struct Message
{
  std::string firstLine;
  std::map<std::string, std::string> headers; // names in lower case
  std::string body;

  std::string Header(const std::string& aName) const
  {
    const auto it = headers.find(aName);
    return it == headers.end() ? std::string() : it->second;
  }
  int Status() const
  {
    return firstLine.size() > 9 ? std::atoi(firstLine.c_str() + 9) : 0;
  }
  std::string Method() const
  {
    return firstLine.substr(0, firstLine.find(' '));
  }
  std::string Target() const
  {
    const std::size_t from = firstLine.find(' ') + 1;
    return firstLine.substr(from, firstLine.find(' ', from) - from);
  }
};

enum class ReadResult
{
  kComplete,
  kClosed,  // before the first byte
  kBroken,  // within the message
  kTimeout, // nothing more came in time
};

// Reads messages with a Content-Length, the only framing that the daemons use.
class MessageReader
{
public:
  ReadResult Read(const Socket& aSocket,
                  Message& aMessage,
                  std::int64_t aUntilMs)
  {
    aMessage = {};
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      const ReadResult more = More(aSocket, aUntilMs);
      if (more != ReadResult::kComplete) {
        const bool clean = more == ReadResult::kBroken && m_buffer.empty();
        return clean ? ReadResult::kClosed : more;
      }
    }
    ParseHead(m_buffer.substr(0, end), aMessage);
    m_buffer.erase(0, end + 4);
    const std::size_t length = static_cast<std::size_t>(
      std::strtoull(aMessage.Header("content-length").c_str(), nullptr, 10));
    while (m_buffer.size() < length) {
      const ReadResult more = More(aSocket, aUntilMs);
      if (more != ReadResult::kComplete) {
        aMessage.body = m_buffer;
        return more;
      }
    }
    aMessage.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return ReadResult::kComplete;
  }

  // Bytes a second that are read at most; 0: as fast as they come.
  void SetRate(std::int64_t aBytesPerSecond) { m_rate = aBytesPerSecond; }

private:
  ReadResult More(const Socket& aSocket, std::int64_t aUntilMs)
  {
    static constexpr std::size_t kPiece = 16 << 10;
    if (!aSocket.WaitReadable(aUntilMs)) {
      return ReadResult::kTimeout;
    }
    char piece[kPiece];
    const ssize_t count = ::recv(aSocket.Descriptor(), piece, kPiece, 0);
    if (count <= 0) {
      return ReadResult::kBroken;
    }
    m_buffer.append(piece, static_cast<std::size_t>(count));
    if (m_rate > 0) {
      SleepMs(count * 1000 / m_rate);
    }
    return ReadResult::kComplete;
  }

  static void ParseHead(const std::string& aHead, Message& aMessage)
  {
    std::size_t at = aHead.find("\r\n");
    aMessage.firstLine = aHead.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t from = at + 2;
      at = aHead.find("\r\n", from);
      const std::string line = aHead.substr(from, at - from);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(
        name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
          return static_cast<char>(std::tolower(aChar));
        });
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      aMessage.headers[name] =
        value == std::string::npos ? "" : line.substr(value);
    }
  }

  std::string m_buffer;
  std::int64_t m_rate = 0;
};

// One call on a connection of its own. Empty if no complete response came.
inline std::optional<Message>
Call(const Address& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody,
     std::int64_t aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  const Socket socket = Connect(aAddress, aTimeoutMs);
  if (!socket.IsOpen()) {
    return std::nullopt;
  }
  std::string head = aMethod + ' ' + aTarget +
                     " HTTP/1.1\r\nHost: " + aAddress.Text() +
                     "\r\nConnection: close\r\n";
  if (!aBody.empty()) {
    head += "Content-Type: application/json\r\n";
  }
  head += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  Message message;
  MessageReader reader;
  if (!socket.Write(head + aBody) ||
      reader.Read(socket, message, until) != ReadResult::kComplete) {
    return std::nullopt;
  }
  return message;
}

} // namespace review
