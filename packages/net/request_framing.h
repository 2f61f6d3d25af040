// Finds requests that two readers could frame or route differently.
//
// What this system reads as one request, a backend server must read as the same
// one; where that is in doubt the request is refused and its connection closed.
//
//   if (auto fault = FindHeaderError(rawHead)) { ... }
//   if (auto fault = FindFramingError(message)) { ... }
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

// aHead: the bytes up to the empty line, as they came.
std::optional<FramingError>
FindHeaderError(std::string_view aHead);

std::optional<FramingError>
FindFramingError(
  const boost::beast::http::request<boost::beast::http::string_body>& aMessage);

} // namespace fuchsiaramp
