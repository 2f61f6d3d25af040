#define BOOST_TEST_MODULE connection_probe
#include <boost/test/unit_test.hpp>

#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "net/connection_probe.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
using asio::ip::tcp;

static std::optional<bool>
Probe(const std::string& aAddress)
{
  asio::io_context io;
  std::optional<bool> connected;
  ProbeConnection(io,
                  aAddress,
                  std::chrono::milliseconds(500),
                  [&](bool aConnected) { connected = aConnected; });
  io.run_for(std::chrono::seconds(5));
  return connected;
}

BOOST_AUTO_TEST_CASE(TellsAListeningAddressFromOthers)
{
  asio::io_context io;
  tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  const std::string address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  BOOST_TEST((Probe(address) == true));
  acceptor.close();
  BOOST_TEST((Probe(address) == false));
  BOOST_TEST((Probe("nowhere") == false));
}

BOOST_AUTO_TEST_CASE(AnAddressThatNamesNoHostIsNotConnectedTo)
{
  asio::io_context io;
  tcp::acceptor acceptor(io, { asio::ip::address_v4::any(), 0 });
  const std::string port = std::to_string(acceptor.local_endpoint().port());
  for (const std::string& address : { "0.0.0.0:" + port,
                                      ":" + port,
                                      "300.0.0.1:" + port,
                                      std::string("127.0.0.1:0"),
                                      std::string("127.0.0.1:70000"),
                                      std::string(100'000, '[') }) {
    BOOST_TEST((Probe(address) == false), address.substr(0, 40));
  }
}

} // namespace fuchsiaramp
