#define BOOST_TEST_MODULE service_common
#include <boost/test/unit_test.hpp>

#include "net/service_common.h"

namespace fuchsiaramp {

BOOST_AUTO_TEST_CASE(HostsThatStartAtTheSameMomentDrawDifferentNumbers)
{
  constexpr std::uint64_t kIncarnation = 1'796'440'228'861'641;
  Random first = MakeRandom(HostId("10.1.0.1:7380"), kIncarnation);
  Random second = MakeRandom(HostId("10.1.0.2:7380"), kIncarnation);
  BOOST_TEST(first.Bits() != second.Bits());
}

} // namespace fuchsiaramp
