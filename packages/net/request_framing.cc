#include "net/request_framing.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

namespace fuchsiaramp {

namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr std::uint32_t kNotImplemented = 501;

std::optional<FramingError>
FindHeaderError(std::string_view aHeader)
{
  static constexpr std::string_view kFolds[] = { "\n ", "\n\t" };
  for (const std::string_view fold : kFolds) {
    if (aHeader.find(fold) != std::string_view::npos) {
      return FramingError{ 400, "a header line uses obsolete line folding" };
    }
  }
  return std::nullopt;
}

bool
ExpectsContinue(std::string_view aHeader)
{
  static constexpr std::string_view kName = "\nexpect:";
  static constexpr std::string_view kExpectation = "100-continue";
  for (std::size_t at = aHeader.find('\n'); at != std::string_view::npos;
       at = aHeader.find('\n', at + 1)) {
    if (!beast::iequals(aHeader.substr(at, kName.size()), kName)) {
      continue;
    }
    std::string_view value = aHeader.substr(at + kName.size());
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    return beast::iequals(value.substr(0, kExpectation.size()), kExpectation);
  }
  return false;
}

// Whether a path has a "." or ".." segment, percent-encoded or not, which only
// some HTTP servers resolve.
static bool
HasDotSegment(std::string_view aPath)
{
  std::string decoded;
  for (std::size_t i = 0; i < aPath.size(); ++i) {
    const bool dot = beast::iequals(aPath.substr(i, 3), "%2e");
    decoded += dot ? '.' : aPath[i];
    i += dot ? 2 : 0;
  }
  decoded += '/';
  return decoded.find("/./") != std::string::npos ||
         decoded.find("/../") != std::string::npos;
}

std::optional<FramingError>
FindFramingError(const http::request<http::string_body>& aMessage)
{
  const std::size_t codingCount =
    aMessage.count(http::field::transfer_encoding);
  if (codingCount > 1) {
    return FramingError{ 400,
                         "the request has more than one Transfer-Encoding" };
  }
  const bool hasCoding = codingCount == 1;
  if (hasCoding &&
      !beast::iequals(aMessage[http::field::transfer_encoding], "chunked")) {
    return FramingError{
      kNotImplemented,
      "unsupported Transfer-Encoding; only 'chunked' is allowed"
    };
  }
  if (hasCoding && aMessage.count(http::field::content_length) != 0) {
    return FramingError{
      400, "the request has both Transfer-Encoding and Content-Length"
    };
  }
  if (aMessage.method() == http::verb::trace && !aMessage.body().empty()) {
    return FramingError{ 400, "a TRACE request must not have a body" };
  }
  const std::string_view target = aMessage.target();
  if (HasDotSegment(target.substr(0, target.find('?')))) {
    return FramingError{ 400, "the path contains a '.' or '..' segment" };
  }
  return std::nullopt;
}

} // namespace fuchsiaramp
