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
//   BackendClient client(io, options, classifyResponse, onEnd);
//   ConnectionKind kind = client.Start(start, request);
//   client.Cancel(id);
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/ids.h"
#include "base/time.h"
#include "entry/request.h"

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
};

using BackendRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
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
  // aResponse is null unless a complete response was received.
  using EndHook =
    std::function<void(const AttemptEnd& aEnd, BackendResponse* aResponse)>;

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

private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  ConnectionPtr TakeIdleConnection(const AttemptStart& aStart);
  void OnFinished(const ConnectionPtr& aConnection,
                  const AttemptEnd& aEnd,
                  BackendResponse* aResponse,
                  bool aReusable);

  boost::asio::io_context& m_io;
  BackendClientOptions m_options;
  ResponseClassifier m_classifyResponse;
  EndHook m_onEnd;
  std::unordered_map<AttemptId, ConnectionPtr> m_running;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> m_idleConnections;
};

} // namespace fuchsiaramp
