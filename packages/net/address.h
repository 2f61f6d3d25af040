// Conversions between "IP:port" texts and Asio endpoints.
#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace fuchsiaramp {

// Parses "IP:port"; sets aError when the text is not one.
boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aText, boost::system::error_code& aError);

} // namespace fuchsiaramp
