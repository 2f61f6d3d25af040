#include "kept_connection.h"

#include <cctype>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "net/address.h"
#include "net/monotonic.h"

namespace fuchsiaramp {

namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr std::int64_t kMicrosPerMs = 1000;

KeptConnection::KeptConnection(std::string aAddress)
  : m_address(std::move(aAddress))
{
}

void
KeptConnection::Close()
{
  beast::error_code ignored;
  m_stream.socket().close(ignored);
  m_buffer.clear();
  m_isOpen = false;
}

bool
KeptConnection::Connect(Duration aTimeout)
{
  if (m_isOpen) {
    return true;
  }
  beast::error_code error;
  const auto endpoint = ParseEndpoint(m_address, error);
  if (error) {
    return false;
  }
  m_stream.expires_after(aTimeout);
  m_stream.async_connect(
    endpoint, [this](const beast::error_code& aError) { m_isOpen = !aError; });
  m_io.restart();
  m_io.run();
  return m_isOpen;
}

HttpCallResponse
KeptConnection::Call(const HttpCallRequest& aRequest, std::error_code& aError)
{
  http::request<http::string_body> request;
  request.method_string(aRequest.method);
  request.target(aRequest.target);
  for (const auto& [name, value] : aRequest.headers) {
    request.set(name, value);
  }
  request.body() = aRequest.body;
  request.prepare_payload();
  http::response_parser<http::string_body> parser;
  beast::error_code error;
  m_stream.expires_after(aRequest.timeout);
  http::async_write(
    m_stream, request, [&](const beast::error_code& aWrite, std::size_t) {
      m_sentAtMs = WallClockMicros() / kMicrosPerMs;
      // A response may have come before the request was written as a whole.
      http::async_read(
        m_stream,
        m_buffer,
        parser,
        [&, aWrite](const beast::error_code& aRead, std::size_t) {
          error = aRead && aWrite ? aWrite : aRead;
        });
    });
  m_io.restart();
  m_io.run();
  HttpCallResponse response;
  if (error) {
    const bool isReset = error == boost::asio::error::connection_reset ||
                         error == boost::asio::error::broken_pipe;
    m_wasReset = isReset && !parser.got_some();
    aError = error;
    Close();
    return response;
  }
  response.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    std::string name(field.name_string());
    for (char& letter : name) {
      letter =
        static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    response.headers[name] = std::string(field.value());
  }
  response.body = parser.get().body();
  if (!parser.keep_alive()) {
    Close();
  }
  return response;
}

} // namespace fuchsiaramp
