#include "net/forwarding.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace fuchsiaramp {

namespace http = boost::beast::http;

// Headers that apply to a single connection are not forwarded.
static bool
IsEndToEnd(std::string_view aName)
{
  static const std::set<std::string> kDropped = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "proxy-authorization",
    "proxy-connection",
    "expect",
  };
  std::string name(aName);
  std::transform(
    name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return kDropped.count(name) == 0;
}

// prepare_payload() throws for methods that should have no body.
static void
SetContentLength(BackendRequest& aRequest)
{
  const http::verb method = aRequest.method();
  const std::uint64_t size = SharedBody::size(aRequest.body());
  if (size > 0 || method == http::verb::post || method == http::verb::put ||
      method == http::verb::options) {
    aRequest.content_length(size);
  }
}

BackendRequest
ForwardedRequest(const HttpExchange::Request& aMessage,
                 BufferedBodyPtr aBody,
                 const HeaderFilter& aPasses)
{
  BackendRequest request;
  request.version(11);
  request.method_string(aMessage.method_string());
  request.target(aMessage.target());
  for (const auto& field : aMessage) {
    if (IsEndToEnd(field.name_string()) && aPasses(field.name_string())) {
      request.insert(field.name_string(), field.value());
    }
  }
  request.body() = std::move(aBody);
  SetContentLength(request);
  return request;
}

std::optional<int>
ParseServersLeft(std::string_view aText)
{
  int servers = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, servers);
  const bool valid =
    parsed.ec == std::errc() && parsed.ptr == end && servers >= 0;
  return valid ? std::optional<int>(servers) : std::nullopt;
}

BackendRequest
PeerRequest(const HttpExchange::Request& aMessage,
            BufferedBodyPtr aBody,
            const AttemptStart& aStart,
            const std::function<void(BackendRequest&)>& aRemoveCredentials)
{
  BackendRequest request = ForwardedRequest(
    aMessage, std::move(aBody), [](std::string_view) { return true; });
  request.set(kForwardedHeader, "1");
  request.set(kServersLeftHeader, std::to_string(aStart.serversLeft));
  // The caller may have set this header itself.
  request.erase(kKeyHashHeader);
  if (aStart.removesCredentials) {
    aRemoveCredentials(request);
  }
  if (!aStart.tokenHash.empty()) {
    request.set(kKeyHashHeader, aStart.tokenHash);
  }
  return request;
}

void
SetRemainingMs(BackendRequest& aRequest,
               std::string_view aHeader,
               Duration aRemaining)
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRemaining).count();
  aRequest.set(aHeader,
               std::to_string(std::max<std::int64_t>(milliseconds, 1)));
}

HttpResponse
RelayedResponse(BackendResponse& aResponse, const HeaderFilter& aPasses)
{
  HttpResponse response;
  response.status = aResponse.result_int();
  response.contentType = std::string(aResponse[http::field::content_type]);
  for (const auto& field : aResponse) {
    if (IsEndToEnd(field.name_string()) && aPasses(field.name_string())) {
      response.headers.emplace_back(field.name_string(), field.value());
    }
  }
  response.body = std::move(aResponse.body());
  return response;
}

} // namespace fuchsiaramp
