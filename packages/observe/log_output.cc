#include "observe/log_output.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace fuchsiaramp {

// Entry hosts exit a quarter of a second before the end of their grace period.
static constexpr Duration kDrainLimit = std::chrono::milliseconds(150);

using Clock = std::chrono::steady_clock;

// Returns 0 if a write could block; a negative result leaves the cause in
// errno.
static int
PollWritable(int aDescriptor, Duration aLimit)
{
  pollfd entry = { aDescriptor, POLLOUT, 0 };
  const auto limit = std::chrono::ceil<std::chrono::milliseconds>(aLimit);
  return ::poll(&entry, 1, static_cast<int>(limit.count()));
}

LogOutput::LogOutput(int aDescriptor, LogOutputOptions aOptions)
  : m_options(aOptions)
  , m_descriptor(aDescriptor)
  , m_kind(Open(aDescriptor))
{
}

LogOutput::~LogOutput()
{
  if (m_kind == Kind::kNonBlocking) {
    ::close(m_descriptor);
  }
}

LogOutput::Kind
LogOutput::Open(int aDescriptor)
{
  struct stat status = {};
  if (::fstat(aDescriptor, &status) != 0) {
    return Kind::kClosed;
  }
  m_device = status.st_dev;
  m_inode = status.st_ino;
  if (S_ISSOCK(status.st_mode)) {
    return Kind::kSocket;
  }
  if (!S_ISFIFO(status.st_mode) && ::isatty(aDescriptor) == 0) {
    return Kind::kFile;
  }
  if (!m_options.mayReopen) {
    return Kind::kPolled;
  }
  const std::string path = "/proc/self/fd/" + std::to_string(aDescriptor);
  const int own =
    ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
  if (own < 0) {
    return Kind::kPolled;
  }
  const bool isSame = ::fstat(own, &status) == 0 && status.st_dev == m_device &&
                      status.st_ino == m_inode;
  if (!isSame) {
    ::close(own);
    return Kind::kPolled;
  }
  m_descriptor = own;
  return Kind::kNonBlocking;
}

bool
LogOutput::IsSameStream(const LogOutput& aOther) const
{
  return m_kind != Kind::kClosed && m_kind == aOther.m_kind &&
         m_device == aOther.m_device && m_inode == aOther.m_inode;
}

bool
LogOutput::ReplacesLast() const
{
  const bool hasBegunLast = m_lines.size() == 1 && m_written > 0;
  return m_bytes > m_options.limit && !hasBegunLast;
}

std::uint64_t
LogOutput::UnreportedBeforeNext() const
{
  return m_unreported +
         (ReplacesLast() ? m_lines.back().reported + 1 : std::uint64_t{ 0 });
}

void
LogOutput::DropLast()
{
  ++m_dropped;
  m_unreported += m_lines.back().reported + 1;
  m_bytes -= m_lines.back().text.size();
  m_lines.pop_back();
}

void
LogOutput::DropAll()
{
  while (!m_lines.empty()) {
    DropLast();
  }
  m_written = 0;
}

void
LogOutput::Write(std::string aLine, std::uint64_t aReported)
{
  if (ReplacesLast()) {
    DropLast();
  }
  m_unreported -= std::min(m_unreported, aReported);
  m_bytes += aLine.size();
  m_lines.push_back({ std::move(aLine), aReported });
  // Otherwise the descriptor took nothing a moment ago.
  if (m_lines.size() == 1) {
    Flush();
  }
}

void
LogOutput::Flush()
{
  while (!m_lines.empty()) {
    const std::string& text = m_lines.front().text;
    const long count =
      WriteSome(text.data() + m_written, text.size() - m_written);
    if (count < 0) {
      // Without a reader, nothing that is kept can be read any more. A later
      // line is tried again, because a named pipe may get another reader.
      if (errno == EPIPE || errno == EBADF) {
        DropAll();
      }
      return;
    }
    m_written += static_cast<std::size_t>(count);
    if (m_written == text.size()) {
      m_bytes -= m_written;
      m_written = 0;
      m_lines.pop_front();
    }
  }
}

// A negative result leaves the cause in errno.
long
LogOutput::WriteSome(const char* aData, std::size_t aSize) const
{
  if (m_kind == Kind::kClosed) {
    errno = EBADF;
    return -1;
  }
  if (m_kind == Kind::kPolled) {
    int ready = 0;
    do {
      ready = PollWritable(m_descriptor, Duration::zero());
    } while (ready < 0 && errno == EINTR);
    if (ready == 0) {
      errno = EAGAIN;
      return -1;
    }
    // A writable pipe takes so much without blocking.
    aSize = std::min<std::size_t>(aSize, PIPE_BUF);
  }
  long count = 0;
  do {
    count = m_kind == Kind::kSocket
              ? ::send(m_descriptor, aData, aSize, MSG_DONTWAIT | MSG_NOSIGNAL)
              : ::write(m_descriptor, aData, aSize);
  } while (count < 0 && errno == EINTR);
  return count;
}

void
LogOutput::Drain(Duration aLimit)
{
  const auto deadline = Clock::now() + aLimit;
  Flush();
  while (!m_lines.empty() && Clock::now() < deadline) {
    const auto left = std::chrono::ceil<Duration>(deadline - Clock::now());
    const int ready = PollWritable(m_descriptor, std::max(left, Duration(0)));
    if (ready < 0 && errno == EINTR) {
      continue;
    }
    const std::size_t before = m_bytes - m_written;
    Flush();
    // A full disk, for example, is writable but takes nothing.
    if (ready == 0 || m_bytes - m_written == before) {
      return;
    }
  }
}

LogOutput&
StandardOutput()
{
  static LogOutput output(STDOUT_FILENO, {});
  return output;
}

LogOutput&
StandardError()
{
  static LogOutput output(STDERR_FILENO, {});
  static LogOutput& shared =
    output.IsSameStream(StandardOutput()) ? StandardOutput() : output;
  return shared;
}

void
DrainStandardStreams()
{
  const auto deadline = Clock::now() + kDrainLimit;
  StandardError().Drain(kDrainLimit);
  StandardOutput().Drain(
    std::chrono::duration_cast<Duration>(deadline - Clock::now()));
}

} // namespace fuchsiaramp
