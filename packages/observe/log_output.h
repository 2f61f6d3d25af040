// Writes lines to a descriptor, such as standard output, without ever waiting
// for its reader.
//
// What the descriptor doesn't take at once is kept, up to a limit, and written
// by later calls. Beyond the limit the newest line replaces the one before it,
// which is counted as dropped: the last line of a process is never the one that
// is missing. A line is written whole or not at all, unless the process ends
// while its reader has taken only a part of it.
//
//   LogOutput output(STDOUT_FILENO, {});
//   output.Write("event=started\n");
//   output.Flush();                              // from time to time
//   output.Drain(std::chrono::milliseconds(100)); // before the process ends
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "base/time.h"

namespace fuchsiaramp {

struct LogOutputOptions
{
  // Bytes that are kept for a reader that doesn't keep up.
  std::size_t limit = 256 << 10;
  // Whether a pipe or terminal is opened a second time to be non-blocking.
  // The inherited descriptor must stay as it is: other processes, such as a
  // shell, may use the same open file description.
  bool mayReopen = true;
};

class LogOutput
{
public:
  // The descriptor must stay open. If it isn't open, all lines are dropped.
  LogOutput(int aDescriptor, LogOutputOptions aOptions);
  ~LogOutput();
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  // aLine ends with a line break. aReported is the number of dropped lines that
  // this line tells of.
  void Write(std::string aLine, std::uint64_t aReported = 0);

  // Writes as much as the descriptor takes at once.
  void Flush();

  // Waits until everything is written, for at most aLimit.
  void Drain(Duration aLimit);

  // Lines dropped since the start.
  std::uint64_t Dropped() const { return m_dropped; }

  // Dropped lines that no line has reported yet, with the one that the next
  // line would replace.
  std::uint64_t UnreportedBeforeNext() const;

  // Whether both write to the same pipe, socket, terminal or file.
  bool IsSameStream(const LogOutput& aOther) const;

private:
  enum class Kind
  {
    kClosed,      // isn't open
    kFile,        // never blocks
    kSocket,      // each call is non-blocking
    kNonBlocking, // a pipe or terminal with an open file description of its own
    kPolled       // a pipe or terminal that may block
  };

  struct Line
  {
    std::string text;
    std::uint64_t reported = 0;
  };

  Kind Open(int aDescriptor);
  long WriteSome(const char* aData, std::size_t aSize) const;
  bool ReplacesLast() const;
  void DropLast();
  void DropAll();

  LogOutputOptions m_options;
  int m_descriptor;
  std::uint64_t m_device = 0;
  std::uint64_t m_inode = 0;
  Kind m_kind;
  std::deque<Line> m_lines;
  std::size_t m_bytes = 0;   // in m_lines
  std::size_t m_written = 0; // bytes of the first line
  std::uint64_t m_dropped = 0;
  std::uint64_t m_unreported = 0;
};

// The standard output and standard error of this process. They are one object
// when both are the same pipe or file, so that their lines don't mix.
LogOutput&
StandardOutput();
LogOutput&
StandardError();

// Waits for both, for a short time in all. To be called before the process
// ends.
void
DrainStandardStreams();

} // namespace fuchsiaramp
