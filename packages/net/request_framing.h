// Finds requests that two HTTP parsers could frame or route differently, which
// would allow request smuggling.
//
// A backend server must see the same request as this system. A request for
// which that is uncertain is rejected and its connection closed.
//
//   if (auto error = FindHeaderError(rawHeader)) { ... }
//   if (auto error = FindFramingError(message)) { ... }
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace fuchsiaramp {

struct FramingError
{
  std::uint32_t status = 400;
  std::string text;
};

// aHeader: the raw bytes of the request up to the empty line.
std::optional<FramingError>
FindHeaderError(std::string_view aHeader);

// Whether the sender may wait for "100 Continue" before it sends the body.
bool
ExpectsContinue(std::string_view aHeader);

std::optional<FramingError>
FindFramingError(
  const boost::beast::http::request<boost::beast::http::string_body>& aMessage);

} // namespace fuchsiaramp
