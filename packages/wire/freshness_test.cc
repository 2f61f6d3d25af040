#define BOOST_TEST_MODULE freshness
#include <boost/test/unit_test.hpp>

#include "wire/freshness.h"

namespace fuchsiaramp {

static wire::Envelope
Message(std::uint64_t aIncarnation, std::uint64_t aSequence, std::int64_t aSent)
{
  wire::Envelope message;
  message.set_from("entry-1");
  message.set_incarnation(aIncarnation);
  message.set_sequence(aSequence);
  message.set_sent_at_us(aSent);
  message.set_ttl_us(100'000);
  return message;
}

BOOST_AUTO_TEST_CASE(DropsLateMessages)
{
  FreshnessFilter filter;
  BOOST_TEST(filter.Accept(Message(1, 1, 500), FromMicros(10'000)));
  BOOST_TEST(filter.Accept(Message(1, 2, 1000), FromMicros(11'000)));
  BOOST_TEST(!filter.Accept(Message(1, 3, 2000), FromMicros(200'000)));
}

BOOST_AUTO_TEST_CASE(DropsDuplicatesAndOldIncarnations)
{
  FreshnessFilter filter;
  BOOST_TEST(filter.Accept(Message(2, 5, 0), FromMicros(10)));
  BOOST_TEST(!filter.Accept(Message(2, 5, 0), FromMicros(11)));
  BOOST_TEST(filter.Accept(Message(2, 4, 0), FromMicros(12)));
  BOOST_TEST(!filter.Accept(Message(1, 9, 0), FromMicros(13)));
  BOOST_TEST(filter.Accept(Message(3, 1, 0), FromMicros(14)));
}

BOOST_AUTO_TEST_CASE(FollowsClockDrift)
{
  FreshnessFilter filter;
  std::uint64_t sequence = 1;
  // The receiver's clock runs fast by one part in ten thousand for ten days.
  for (std::int64_t minute = 0; minute < std::int64_t{ 10 } * 24 * 60;
       ++minute) {
    const std::int64_t sent = minute * std::int64_t{ 60'000'000 };
    const std::int64_t received = sent + sent / 10'000;
    BOOST_REQUIRE(
      filter.Accept(Message(1, sequence++, sent), FromMicros(received + 500)));
  }
}

} // namespace fuchsiaramp
