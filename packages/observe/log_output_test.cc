#define BOOST_TEST_MODULE log_output
#include <boost/test/unit_test.hpp>

#include <climits>
#include <csignal>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "observe/log_output.h"

namespace fuchsiaramp {

static constexpr std::size_t kLimit = 4000;

// A write that waits for the reader ends the test.
struct Fixture
{
  Fixture()
  {
    std::signal(SIGPIPE, SIG_IGN);
    ::alarm(60);
  }
};
BOOST_GLOBAL_FIXTURE(Fixture);

enum class Channel
{
  kReopenedPipe,
  kPolledPipe,
  kSocket
};

static const std::vector<Channel> kChannels = { Channel::kReopenedPipe,
                                                Channel::kPolledPipe,
                                                Channel::kSocket };

// A pipe or socket with the capacity of a few pages, and an output to it.
class Stream
{
public:
  explicit Stream(Channel aChannel)
  {
    int ends[2] = { -1, -1 };
    if (aChannel == Channel::kSocket) {
      BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
      const int bytes = 16 << 10;
      ::setsockopt(ends[1], SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    } else {
      BOOST_REQUIRE(::pipe(ends) == 0);
      ::fcntl(ends[1], F_SETPIPE_SZ, 16 << 10);
    }
    m_reader = ends[0];
    m_writer = ends[1];
    m_output.emplace(
      m_writer, LogOutputOptions{ kLimit, aChannel == Channel::kReopenedPipe });
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  ~Stream()
  {
    CloseReader();
    ::close(m_writer);
  }

  LogOutput& Output() { return *m_output; }
  int Writer() const { return m_writer; }

  void CloseReader()
  {
    if (m_reader >= 0) {
      ::close(std::exchange(m_reader, -1));
    }
  }

  // Reads what is there, at most aLimit bytes.
  std::string Read(std::size_t aLimit = SIZE_MAX) const
  {
    std::string text;
    int available = 0;
    while (::ioctl(m_reader, FIONREAD, &available) == 0 && available > 0 &&
           text.size() < aLimit) {
      std::string piece(
        std::min(aLimit - text.size(), static_cast<std::size_t>(available)),
        '\0');
      const ssize_t count = ::read(m_reader, piece.data(), piece.size());
      BOOST_REQUIRE(count > 0);
      text.append(piece, 0, static_cast<std::size_t>(count));
    }
    return text;
  }

  // Reads until all kept lines have been written.
  std::string ReadAll()
  {
    std::string text = Read();
    m_output->Flush();
    for (std::string piece = Read(); !piece.empty(); piece = Read()) {
      text += piece;
      m_output->Flush();
    }
    return text;
  }

private:
  int m_reader = -1;
  int m_writer = -1;
  std::optional<LogOutput> m_output;
};

static std::string
NumberedLine(int aNumber, std::size_t aBytes = 100)
{
  std::string line = std::to_string(aNumber);
  line.resize(aBytes - 1, '.');
  return line + '\n';
}

static std::vector<int>
Numbers(const std::string& aText, std::size_t aBytes = 100)
{
  std::vector<int> numbers;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    numbers.push_back(std::atoi(line.c_str()));
    BOOST_TEST(line + '\n' == NumberedLine(numbers.back(), aBytes));
  }
  return numbers;
}

BOOST_AUTO_TEST_CASE(WritesAtOnceWhileTheReaderReads)
{
  for (const Channel channel : kChannels) {
    Stream stream(channel);
    for (int i = 0; i < 1000; ++i) {
      stream.Output().Write(NumberedLine(i));
      BOOST_TEST(stream.Read() == NumberedLine(i));
    }
    BOOST_TEST(stream.Output().Dropped() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(FullPipeDoesNotBlockAndKeepsTheFirstLinesAndTheLast)
{
  static constexpr int kLines = 5000;
  for (const Channel channel : kChannels) {
    Stream stream(channel);
    for (int i = 0; i < kLines; ++i) {
      stream.Output().Write(NumberedLine(i));
    }
    const std::vector<int> numbers = Numbers(stream.ReadAll());
    BOOST_REQUIRE(numbers.size() > kLimit / 100);
    for (std::size_t i = 0; i + 1 < numbers.size(); ++i) {
      BOOST_TEST(numbers[i] == static_cast<int>(i));
    }
    BOOST_TEST(numbers.back() == kLines - 1);
    BOOST_TEST(stream.Output().Dropped() == kLines - numbers.size());
  }
}

BOOST_AUTO_TEST_CASE(KeptLinesStayBounded)
{
  for (const Channel channel : kChannels) {
    Stream stream(channel);
    for (int i = 0; i < 5000; ++i) {
      stream.Output().Write(NumberedLine(i));
    }
    stream.Read();
    stream.Output().Flush();
    // Kept are the limit, the line that crosses it and the newest one.
    BOOST_TEST(stream.ReadAll().size() <= kLimit + 200);
  }
}

BOOST_AUTO_TEST_CASE(LinesLongerThanThePipeAreWrittenWholeByLaterCalls)
{
  static constexpr std::size_t kBytes = 50'000;
  for (const Channel channel : kChannels) {
    Stream stream(channel);
    stream.Output().Write(NumberedLine(1, kBytes));
    std::string text = stream.Read(10'000);
    stream.Output().Write(NumberedLine(2, kBytes));
    stream.Output().Write(NumberedLine(3, kBytes));
    text += stream.ReadAll();
    // The first line can't be replaced any more, since a part of it was taken.
    BOOST_TEST((Numbers(text, kBytes) == std::vector<int>{ 1, 3 }));
    BOOST_TEST(stream.Output().Dropped() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(EachDroppedLineIsReportedOnce)
{
  for (const Channel channel : kChannels) {
    Stream stream(channel);
    std::vector<std::uint64_t> reported;
    const auto write = [&](int aNumber) {
      stream.Output().Flush();
      reported.push_back(stream.Output().UnreportedBeforeNext());
      stream.Output().Write(NumberedLine(aNumber), reported.back());
    };
    int number = 0;
    std::vector<int> read;
    for (int round = 0; round < 20; ++round) {
      for (int i = 0; i < 40 * round; ++i) {
        write(number++);
      }
      for (const int line : Numbers(stream.Read())) {
        read.push_back(line);
      }
    }
    for (const int line : Numbers(stream.ReadAll())) {
      read.push_back(line);
    }
    BOOST_TEST(stream.Output().Dropped() > 0U);
    BOOST_TEST(read.size() + stream.Output().Dropped() ==
               static_cast<std::size_t>(number));
    int expected = 0;
    for (const int line : read) {
      expected += static_cast<int>(reported[static_cast<std::size_t>(line)]);
      BOOST_TEST(line == expected);
      ++expected;
    }
    BOOST_TEST(stream.Output().UnreportedBeforeNext() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(ReaderThatIsGoneNeitherEndsNorBlocksTheProcess)
{
  for (const Channel channel : kChannels) {
    Stream stream(channel);
    for (int i = 0; i < 400; ++i) {
      stream.Output().Write(NumberedLine(i));
    }
    stream.CloseReader();
    for (int i = 0; i < 400; ++i) {
      stream.Output().Write(NumberedLine(i));
      stream.Output().Flush();
    }
    // All that were kept or written after the reader had gone.
    BOOST_TEST(stream.Output().Dropped() >= 400U);
    const auto start = std::chrono::steady_clock::now();
    stream.Output().Drain(std::chrono::seconds(30));
    BOOST_TEST(
      (std::chrono::steady_clock::now() - start < std::chrono::seconds(5)));
  }
}

BOOST_AUTO_TEST_CASE(InheritedDescriptorStaysAsItWas)
{
  for (const Channel channel : kChannels) {
    const Stream stream(channel);
    BOOST_TEST((::fcntl(stream.Writer(), F_GETFL) & O_NONBLOCK) == 0);
  }
}

BOOST_AUTO_TEST_CASE(LongLineDoesNotBlockAFullTerminal)
{
  const int controller = ::posix_openpt(O_RDWR | O_NOCTTY);
  BOOST_REQUIRE(controller >= 0);
  BOOST_REQUIRE(::grantpt(controller) == 0);
  BOOST_REQUIRE(::unlockpt(controller) == 0);
  const int terminal = ::open(::ptsname(controller), O_RDWR | O_NOCTTY);
  BOOST_REQUIRE(terminal >= 0);
  {
    LogOutput output(terminal, { kLimit, true });
    for (int i = 0; i < 2000; ++i) {
      output.Write(NumberedLine(i));
    }
    BOOST_TEST(output.Dropped() > 0U);
  }
  ::close(terminal);
  ::close(controller);
}

BOOST_AUTO_TEST_CASE(DescriptorThatIsNotOpenDropsAllLines)
{
  LogOutput output(-1, {});
  output.Write(NumberedLine(1));
  output.Drain(std::chrono::seconds(30));
  BOOST_TEST(output.Dropped() == 1U);
}

BOOST_AUTO_TEST_CASE(DrainWaitsForASlowReaderAndGivesUpOnAStoppedOne)
{
  for (const Channel channel : kChannels) {
    Stream stream(channel);
    for (int i = 0; i < 400; ++i) {
      stream.Output().Write(NumberedLine(i));
    }
    const auto start = std::chrono::steady_clock::now();
    stream.Output().Drain(std::chrono::milliseconds(100));
    const auto waited = std::chrono::steady_clock::now() - start;
    BOOST_TEST((waited >= std::chrono::milliseconds(90)));
    BOOST_TEST((waited < std::chrono::seconds(5)));
    std::string text;
    std::thread reader([&] {
      while (text.find("399.") == std::string::npos) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        text += stream.Read();
      }
    });
    stream.Output().Drain(std::chrono::seconds(30));
    reader.join();
    BOOST_TEST(Numbers(text).back() == 399);
  }
}

BOOST_AUTO_TEST_CASE(OutputsToOnePipeAreTheSameStream)
{
  const Stream first(Channel::kReopenedPipe);
  const Stream second(Channel::kReopenedPipe);
  const int copy = ::dup(first.Writer());
  {
    const LogOutput output(first.Writer(), {});
    BOOST_TEST(output.IsSameStream(LogOutput(copy, {})));
    BOOST_TEST(!output.IsSameStream(LogOutput(second.Writer(), {})));
    BOOST_TEST(!output.IsSameStream(LogOutput(-1, {})));
  }
  ::close(copy);
}

} // namespace fuchsiaramp
