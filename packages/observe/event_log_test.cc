#define BOOST_TEST_MODULE event_log
#include <boost/test/unit_test.hpp>

#include <array>

#include <fcntl.h>
#include <unistd.h>

#include "observe/event_log.h"

namespace fuchsiaramp {

// The library can't be started again once its last user has ended.
struct Fixture
{
  log4cplus::Initializer initializer;
};
BOOST_GLOBAL_FIXTURE(Fixture);

static std::string
Read(int aReader)
{
  std::array<char, 1 << 16> buffer{};
  const ssize_t count = ::read(aReader, buffer.data(), buffer.size());
  return { buffer.data(),
           static_cast<std::size_t>(std::max<ssize_t>(count, 0)) };
}

static std::uint64_t
FieldOf(const std::string& aLine, const std::string& aKey)
{
  const std::size_t at = aLine.find(' ' + aKey + '=');
  return at == std::string::npos
           ? 0
           : std::strtoull(aLine.c_str() + at + aKey.size() + 2, nullptr, 10);
}

BOOST_AUTO_TEST_CASE(LineHasTheEventAndItsHost)
{
  int ends[2] = { -1, -1 };
  BOOST_REQUIRE(::pipe(ends) == 0);
  LogOutput output(ends[1], {});
  CausalClock clock;
  EventLog log(
    HostId("entry-1"), 7, "INFO", clock, [] { return TimePoint(); }, output);
  log.Write(Event("hidden").AsDebug());
  log.Write(Event("started").With("role", "entry").With("text", "two words"));
  const std::string line = Read(ends[0]);
  BOOST_TEST(line.rfind("time=2", 0) == 0U);
  BOOST_TEST(line.substr(line.find(" level=")) ==
             " level=INFO event=started host=entry-1 incarnation=7 sequence=1 "
             "clock=1 role=entry text=\"two words\"\n");
  ::close(ends[0]);
  ::close(ends[1]);
}

BOOST_AUTO_TEST_CASE(NextLineThatGetsThroughTellsHowManyWereDropped)
{
  int ends[2] = { -1, -1 };
  BOOST_REQUIRE(::pipe2(ends, O_NONBLOCK) == 0);
  ::fcntl(ends[1], F_SETPIPE_SZ, 8 << 10);
  LogOutput output(ends[1], { 2000, true });
  CausalClock clock;
  TimePoint now;
  EventLog log(
    HostId("entry-1"), 7, "INFO", clock, [&] { return now; }, output);
  static constexpr int kLines = 2000;
  for (int i = 0; i < kLines; ++i) {
    now += std::chrono::seconds(1);
    log.Write(Event("request_failed").With("request", i));
  }
  log.Write(Event("stopped"));
  std::string text;
  for (std::string piece = Read(ends[0]); !piece.empty();
       piece = Read(ends[0])) {
    text += piece;
    log.Flush();
  }
  std::istringstream lines(text);
  std::uint64_t sequence = 0;
  std::string line;
  while (std::getline(lines, line)) {
    sequence += FieldOf(line, "dropped_lines") + 1;
    BOOST_TEST(FieldOf(line, "sequence") == sequence);
  }
  BOOST_TEST(line.empty());
  BOOST_TEST(sequence == kLines + 1U);
  BOOST_TEST(text.find("event=stopped") != std::string::npos);
  BOOST_TEST(log.Dropped() > 0U);
  ::close(ends[0]);
  ::close(ends[1]);
}

} // namespace fuchsiaramp
