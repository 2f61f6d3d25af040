// Sends attempts to backend servers over pooled HTTP/1.1 connections.
//
// A connection carries one request at a time. A connection whose request was
// cancelled, or whose response was incomplete, is closed and not reused.
//
// A faulty server may write an earlier response once more. The first response
// on a new connection belongs to the request; on a reused one, it must carry
// the id of the request if responses of the API have ids. A request is not sent
// on a connection on which it failed before, so that its id is unambiguous; a
// connection on which a request without an id was refused is not reused.
// A response with neither a
// Content-Length nor chunked encoding is complete only if the options allow an
// orderly close of the connection to delimit it.
//
// Request bodies are shared, not copied. Those that would exceed the bound of
// bytes sent to one server at a time wait, and the attempt ends with
// kNothingWritten if its deadline passes meanwhile. Room for a response is
// reserved before it is read.
//
//   BackendClient client(io, options, classifyResponse, onEnd);
//   ConnectionKind kind = client.Start(start, request);
//   client.Cancel(id);
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/ids.h"
#include "base/time.h"
#include "entry/request.h"
#include "net/buffer_budget.h"

namespace fuchsiaramp {

struct BackendClientOptions
{
  std::uint64_t maxResponseBytes = 8 << 20;
  // Larger bodies are not kept for the ledger.
  std::uint64_t maxLedgerResponseBytes = 16 << 10;
  Duration idleLifetime = std::chrono::seconds(30);
  Duration connectTimeout = std::chrono::seconds(1);
  std::size_t maxIdlePerServer = 8;
  // Whether a response that is delimited by the end of its connection counts
  // as complete when the server closed the connection in order.
  bool acceptsUnframedResponses = false;
  // Bytes of request bodies that are sent to one server at a time. Small bodies
  // are counted, but never wait, and a larger body is sent alone.
  std::uint64_t serverBytes = 8 << 20;
  // Bounds the responses that are read; may be null.
  std::shared_ptr<BufferBudget> budget;
  // Called when a response finds no room at once. It must not call the client.
  std::function<void(AttemptId aAttempt)> onHeld;
};

// The body of a message as Boost.Beast defines one, for shared bodies. Its
// names are those that Boost.Beast looks for.
// NOLINTBEGIN(readability-identifier-naming)
struct SharedBody
{
  using value_type = BufferedBodyPtr; // null: empty

  static std::uint64_t size(const value_type& aBody)
  {
    return aBody == nullptr ? 0 : aBody->bytes.size();
  }

  class writer
  {
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template<bool kIsRequest, class Fields>
    writer(const boost::beast::http::header<kIsRequest, Fields>&,
           const value_type& aBody)
      : m_body(aBody)
    {
    }
    void init(boost::beast::error_code& aError) { aError = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(
      boost::beast::error_code& aError)
    {
      aError = {};
      if (m_body == nullptr) {
        return boost::none;
      }
      return std::pair<const_buffers_type, bool>{
        { m_body->bytes.data(), m_body->bytes.size() }, false
      };
    }

  private:
    const value_type& m_body;
  };
};

// NOLINTEND(readability-identifier-naming)

using BackendRequest = boost::beast::http::request<SharedBody>;
using BackendResponse =
  boost::beast::http::response<boost::beast::http::string_body>;

// What a complete response means for its attempt.
struct ClassifiedResponse
{
  // The response belongs to another request of the connection; the response to
  // the current request is still expected.
  bool isForOtherRequest = false;
  // The response carries the id of the current request.
  bool hasRequestId = false;
  // The response has no id, although every response of its sender has one.
  bool lacksRequestId = false;
  AttemptOutcome outcome = AttemptOutcome::kSuccess;
  std::optional<std::uint32_t> reportedLoad;
  bool serverIsLeaving = false;
  // For how long the server wants no requests from this host, if it says so.
  std::optional<Duration> retryAfter;
  std::optional<LimitNotice> limitNotice; // empty if its header is invalid
};

using ResponseClassifier =
  std::function<ClassifiedResponse(const BackendResponse& aResponse,
                                   const BackendRequest& aRequest)>;

class BackendClient
{
public:
  // aResponse is null unless a complete response was received; aHeld holds its
  // room.
  using EndHook = std::function<void(const AttemptEnd& aEnd,
                                     BackendResponse* aResponse,
                                     BufferReservation aHeld)>;

  BackendClient(boost::asio::io_context& aIo,
                BackendClientOptions aOptions,
                ResponseClassifier aClassifyResponse,
                EndHook aOnEnd);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  ConnectionKind Start(const AttemptStart& aStart,
                       const BackendRequest& aRequest);
  // Closes the attempt's connection; the end hook is not called.
  void Cancel(AttemptId aAttempt);
  std::size_t Running() const { return m_running.size(); }
  // Closes idle connections that are too old, that the server closed, or on
  // which bytes arrived that belong to no request. Call it once a second.
  void CloseUnusableConnections();
  std::size_t IdleCount() const;
  // Attempts that wait for others to the same server to be sent.
  std::size_t WaitingToSend() const;

private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  // Request bodies on their way to one server.
  struct ServerSends
  {
    std::uint64_t bytes = 0;
    std::deque<ConnectionPtr> waiting;
  };

  ConnectionPtr TakeIdleConnection(const AttemptStart& aStart);
  bool MaySend(const ServerSends& aSends, std::uint64_t aBytes) const;
  // A body was sent, or its connection has ended.
  void OnSent(const std::string& aAddress, std::uint64_t aBytes);
  void StartWaiting(const std::string& aAddress);
  void OnFinished(const ConnectionPtr& aConnection,
                  const AttemptEnd& aEnd,
                  BackendResponse* aResponse,
                  BufferReservation aHeld,
                  bool aReusable);

  boost::asio::io_context& m_io;
  BackendClientOptions m_options;
  ResponseClassifier m_classifyResponse;
  EndHook m_onEnd;
  std::unordered_map<AttemptId, ConnectionPtr> m_running;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> m_idleConnections;
  std::unordered_map<std::string, ServerSends> m_sends; // by address
};

} // namespace fuchsiaramp
