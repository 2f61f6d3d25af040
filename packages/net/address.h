// Parses "IP:port" strings into Asio endpoints.
#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace fuchsiaramp {

// Parses "IP:port"; sets aError when the text has another form.
boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aText, boost::system::error_code& aError);

// Whether a host can be reached at the endpoint. A connection to the
// unspecified address would reach this host itself.
bool
IsConnectable(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace fuchsiaramp
