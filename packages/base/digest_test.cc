#define BOOST_TEST_MODULE digest
#include <boost/test/unit_test.hpp>

#include "base/digest.h"

namespace fuchsiaramp {

BOOST_AUTO_TEST_CASE(Sha256MatchesReferenceValue)
{
  BOOST_TEST(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                                 "b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(EqualConstantTimeComparesLengthAndBytes)
{
  BOOST_TEST(EqualConstantTime("token", "token"));
  BOOST_TEST(!EqualConstantTime("token", "token2"));
  BOOST_TEST(!EqualConstantTime("token", "tokem"));
}

} // namespace fuchsiaramp
