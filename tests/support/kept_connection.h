// A blocking connection of a caller that is kept for many requests.
//
//   KeptConnection connection("127.0.0.1:8000");
//   if (connection.Connect(std::chrono::seconds(1))) {
//     HttpCallResponse response = connection.Call(request, error);
//   }
#pragma once

#include <cstdint>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "net/http_client.h"

namespace fuchsiaramp {

class KeptConnection
{
public:
  explicit KeptConnection(std::string aAddress);

  // Returns whether the connection is open now, also if it was before.
  bool Connect(Duration aTimeout);

  // Sends a request and waits for its whole response. The connection is closed
  // after an error or if the response says so.
  HttpCallResponse Call(const HttpCallRequest& aRequest,
                        std::error_code& aError);

  const std::string& Address() const { return m_address; }

  // When the last byte of the request was sent, in ms since 1970.
  std::int64_t SentAtMs() const { return m_sentAtMs; }

  // Whether the last call ended by a reset before a byte of its response: a
  // process that ends without having read the whole request causes one.
  bool WasReset() const { return m_wasReset; }

private:
  void Close();

  std::string m_address;
  boost::asio::io_context m_io;
  boost::beast::tcp_stream m_stream{ m_io };
  boost::beast::flat_buffer m_buffer; // may hold bytes after a response
  bool m_isOpen = false;
  std::int64_t m_sentAtMs = 0;
  bool m_wasReset = false;
};

} // namespace fuchsiaramp
