// Finds requests that two readers could frame or route differently.
//
// What this system reads as one request, a backend server must read as the same
// one; where that is in doubt the request is refused and its connection closed.
//
//   if (auto fault = FindHeadFault(rawHead)) { ... }
//   if (auto fault = FindFramingFault(message)) { ... }
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace fuchsiaramp {

struct FramingFault
{
  std::uint32_t status = 400;
  std::string text;
};

// aHead: the bytes up to the empty line, as they came.
std::optional<FramingFault>
FindHeadFault(std::string_view aHead);

std::optional<FramingFault>
FindFramingFault(
  const boost::beast::http::request<boost::beast::http::string_body>& aMessage);

} // namespace fuchsiaramp
