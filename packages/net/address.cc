#include "net/address.h"

#include <charconv>

#include <boost/asio/error.hpp>

namespace fuchsiaramp {

boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aText, boost::system::error_code& aError)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    aError = boost::asio::error::invalid_argument;
    return {};
  }
  const auto address =
    boost::asio::ip::make_address(aText.substr(0, colon), aError);
  unsigned short port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    aError = boost::asio::error::invalid_argument;
  }
  return { address, port };
}

bool
IsConnectable(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  return aEndpoint.port() != 0 && !aEndpoint.address().is_unspecified();
}

} // namespace fuchsiaramp
