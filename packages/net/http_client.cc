#include "net/http_client.h"

#include <algorithm>
#include <cctype>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "base/error.h"
#include "net/address.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr std::uint64_t kMaxBodyBytes = 256 << 20;

static std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return aText;
}

HttpCallResponse
HttpCall(const HttpCallRequest& aRequest, std::error_code& aError)
{
  HttpCallResponse response;
  beast::error_code error;
  const auto endpoint = ParseEndpoint(aRequest.address, error);
  if (error) {
    aError = ErrorCode::kUnreachable;
    return response;
  }
  asio::io_context io;
  beast::tcp_stream stream(io);
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aRequest.method);
  request.target(aRequest.target);
  request.set(http::field::host, aRequest.address);
  for (const auto& [name, value] : aRequest.headers) {
    request.set(name, value);
  }
  request.body() = aRequest.body;
  request.prepare_payload();
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  bool done = false;
  stream.expires_after(aRequest.timeout);
  stream.async_connect(endpoint, [&](const beast::error_code& aConnect) {
    if ((error = aConnect)) {
      return;
    }
    http::async_write(
      stream, request, [&](const beast::error_code& aWrite, std::size_t) {
        if ((error = aWrite)) {
          return;
        }
        http::async_read(stream,
                         buffer,
                         parser,
                         [&](const beast::error_code& aRead, std::size_t) {
                           error = aRead;
                           done = !aRead;
                         });
      });
  });
  io.run();
  if (!done) {
    aError =
      error ? std::error_code(error) : make_error_code(ErrorCode::kUnreachable);
    return response;
  }
  response.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    response.headers[Lower(std::string(field.name_string()))] =
      std::string(field.value());
  }
  response.body = std::move(parser.get().body());
  return response;
}

} // namespace fuchsiaramp
