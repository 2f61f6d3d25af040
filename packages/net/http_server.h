// An HTTP/1.1 server on Boost.Beast with keep-alive and limits on sizes and
// times. Each connection handles one request at a time.
//
//   HttpServer server(io, options, [](const HttpExchangePtr& exchange) {
//     HttpResponse response;
//     exchange->Respond(response);
//   });
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/time.h"
#include "net/buffer_budget.h"

namespace fuchsiaramp {

// Maximum sizes and times of a peer's requests.
struct HttpLimits
{
  std::uint64_t bodyBytes = 1 << 20;
  std::uint64_t headerBytes = 16 << 10;
  // From the first byte of a request to the end of its header.
  Duration headerTimeout = std::chrono::seconds(10);
  // Between two requests, and from the end of a header to the end of its body.
  Duration idleTimeout = std::chrono::seconds(60);
  // A peer that accepts no byte of a response for this long is disconnected.
  Duration writeTimeout = std::chrono::seconds(10);
};

// Called for a request that is malformed or exceeds a limit, with its peer and
// the status and text of the response.
using HttpRejectHook = std::function<void(const std::string& aPeer,
                                          std::uint32_t aStatus,
                                          const std::string& aText)>;

// A response whose peer accepted no byte of it for the write timeout.
struct StalledResponse
{
  std::string peer;
  std::string callerRequestId; // as in the HttpResponse
  std::uint64_t accepted = 0;  // bytes that the peer acknowledged
  std::uint64_t held = 0;      // bytes of the body, freed now
};

using HttpStallHook = std::function<void(const StalledResponse& aResponse)>;

// Returns the maximum size of the body that the request with this header may
// have.
using HttpBodyLimit = std::function<std::uint64_t(
  const boost::beast::http::request<boost::beast::http::string_body>& aHeader)>;

struct HttpServerOptions
{
  std::string address; // IP:port
  HttpLimits limits;
  HttpBodyLimit bodyLimit; // besides the one of limits; may be null
  std::uint64_t maxConnections = 4096;
  HttpRejectHook onRejected;
  HttpStallHook onStalled;
  // Bounds the bodies of requests that are received; may be null.
  std::shared_ptr<BufferBudget> budget;
};

struct HttpResponse
{
  std::uint32_t status = 200;
  std::string contentType = "application/json";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string callerRequestId; // for log lines; may be empty
  // Held until the response is written; may be null.
  std::shared_ptr<BufferReservation> reservation;
};

// What a connection is doing.
enum class ConnectionState
{
  kIdle,       // no byte of a request has arrived
  kReceiving,  // a request is arriving
  kHandling,   // a whole request waits for its response
  kResponding, // the response is being written
  kClosing,    // no more is sent; waits for the peer to close
};

// The number of connections in each state.
struct ConnectionCounts
{
  std::size_t idle = 0;
  std::size_t receiving = 0;
  std::size_t handling = 0;
  std::size_t responding = 0;
  std::size_t closing = 0;
};

// A request that can be responded to once.
class HttpExchange
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  virtual ~HttpExchange() = default;
  virtual const Request& Message() const = 0;
  // Moves the body out of the message; null if it is empty. It is freed with
  // the message otherwise, when the response is written.
  virtual BufferedBodyPtr TakeBody() = 0;
  virtual void Respond(HttpResponse aResponse) = 0;
  // Sets a hook that is called when the peer closes the connection before the
  // response.
  virtual void OnDisconnect(std::function<void()> aHook) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(const HttpExchangePtr&)>;

class HttpServer
{
public:
  // Throws boost::system::system_error when the address cannot be bound.
  HttpServer(boost::asio::io_context& aIo,
             HttpServerOptions aOptions,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Applies from the next request of each connection.
  void SetLimits(const HttpLimits& aLimits);
  // Closes each connection after its next response.
  void CloseAfterResponses();
  // Accepts no further connections.
  void StopAccepting();
  // Closes the connections on which no byte of a request has arrived.
  void CloseIdleConnections();
  std::size_t ConnectionCount() const;
  ConnectionCounts Connections() const;
  // Connections closed because of the write timeout.
  std::uint64_t StalledWriters() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace fuchsiaramp
