// A blocking HTTP client for the command line, with one connection per request.
//
//   std::error_code error;
//   HttpCallResponse response =
//     HttpCall({ "127.0.0.1:8000", "GET", "/path" }, error);
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <system_error>

#include "base/time.h"

namespace fuchsiaramp {

struct HttpCallRequest
{
  std::string address; // IP:port
  std::string method = "GET";
  std::string target = "/";
  std::string body;
  std::map<std::string, std::string> headers;
  Duration timeout = std::chrono::seconds(5);
};

struct HttpCallResponse
{
  std::uint32_t status = 0;
  std::string body;
  std::map<std::string, std::string> headers; // names in lower case
};

HttpCallResponse
HttpCall(const HttpCallRequest& aRequest, std::error_code& aError);

} // namespace fuchsiaramp
