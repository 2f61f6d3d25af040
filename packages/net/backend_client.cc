#include "net/backend_client.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "net/address.h"
#include "net/monotonic.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// A connection is not reused within this time of the server's announced idle
// timeout, since the request could cross the server's close.
static constexpr Duration kIdleMargin = std::chrono::seconds(1);

// Bytes that are received but not parsed yet; more than a header or the header
// of a chunk may have.
static constexpr std::size_t kMaxBufferedBytes = 64 << 10;
// A connection keeps no larger buffer while it is idle.
static constexpr std::size_t kKeptBufferBytes = 16 << 10;
// How long a response of unknown length waits for more room. It holds what it
// has meanwhile, so that two of them could wait for each other.
static constexpr Duration kGrowthWait = std::chrono::seconds(2);
// A response without a length waits for more room only up to this part of the
// largest one. Beyond that it gives its room to others, as it may have no end.
static constexpr std::uint64_t kOversizedPart = 4;
// A chunked response may be this many times as long as its body.
static constexpr std::uint64_t kFramingFactor = 2;
// Late responses to earlier requests that one attempt skips.
static constexpr int kMaxOtherResponses = 8;
// Interim responses (1xx) that one attempt skips.
static constexpr int kMaxInterimResponses = 8;
// Failed requests that a connection remembers; it is not reused after more.
static constexpr std::size_t kMaxFailedRequests = 32;

// Another transfer coding than chunks can't be passed on without its header.
static bool
HasSupportedFraming(const BackendResponse& aResponse)
{
  const std::size_t codings = aResponse.count(http::field::transfer_encoding);
  return codings == 0 ||
         (codings == 1 &&
          beast::iequals(aResponse[http::field::transfer_encoding], "chunked"));
}

// The parser takes any three digits. A server that failed answered with 000,
// which is no status, with all headers of a proper response.
static bool
HasValidStatus(const BackendResponse& aResponse)
{
  static constexpr unsigned kFirst = 100;
  static constexpr unsigned kLast = 599;
  return aResponse.result_int() >= kFirst && aResponse.result_int() <= kLast;
}

// One connection to a backend server, which carries one attempt at a time.
class BackendClient::Connection
  : public std::enable_shared_from_this<BackendClient::Connection>
{
public:
  Connection(BackendClient& aOwner, std::string aAddress)
    : m_owner(aOwner)
    , m_stream(aOwner.m_io)
    , m_address(std::move(aAddress))
  {
  }

  const std::string& Address() const { return m_address; }
  TimePoint UsableUntil() const { return m_lastUsed + m_idleLifetime; }

  // Whether the connection carried a request with this id that failed, so that
  // a response with the id may be a copy of that one's.
  bool HasFailed(const std::string& aRequestId) const
  {
    return std::find(m_failedRequests.begin(),
                     m_failedRequests.end(),
                     std::hash<std::string>()(aRequestId)) !=
           m_failedRequests.end();
  }

  // A readable idle connection was either closed by the server or holds bytes
  // that belong to no request; neither may be reused.
  bool IsIdleAndOpen()
  {
    beast::error_code error;
    m_stream.socket().non_blocking(true, error);
    char byte = 0;
    m_stream.socket().receive(
      asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void Prepare(const AttemptStart& aStart,
               const BackendRequest& aRequest,
               ConnectionKind aKind)
  {
    m_attempt = aStart.id;
    m_requestId = aStart.callerRequestId;
    m_deadline = aStart.deadline;
    m_request = aRequest;
    m_kind = aKind;
    m_forwards = aStart.forwards;
    m_wrote = false;
    m_received = false;
    m_otherResponses = 0;
    m_interimResponses = 0;
    ResetParser();
  }

  std::uint64_t BodyBytes() const { return SharedBody::size(m_request.body()); }
  bool IsClosed() const { return m_closed; }

  // Waits until the owner calls Start(), or until the deadline.
  void WaitToSend()
  {
    m_sendTimer.emplace(m_owner.m_io);
    m_sendTimer->expires_after(m_deadline - MonotonicNow());
    m_sendTimer->async_wait(
      [self = shared_from_this()](const beast::error_code& aError) {
        if (!aError && !self->m_closed && self->m_sendTimer) {
          self->End(AttemptOutcome::kNothingWritten, false);
        }
      });
  }

  // The owner has counted the bytes of the body.
  void Start()
  {
    m_sendTimer.reset();
    m_sendBytes = BodyBytes();
    if (m_kind == ConnectionKind::kReused) {
      Write();
      return;
    }
    beast::error_code error;
    const auto endpoint = ParseEndpoint(m_address, error);
    if (error) {
      // The owner does not know the attempt before this call returns.
      asio::post(m_owner.m_io, [self = shared_from_this(), error] {
        self->OnConnected(error);
      });
      return;
    }
    const Duration remaining = m_deadline - MonotonicNow();
    m_stream.expires_after(
      std::min(remaining, m_owner.m_options.connectTimeout));
    m_stream.async_connect(
      endpoint, [self = shared_from_this()](const beast::error_code& aError) {
        self->OnConnected(aError);
      });
  }

  void Close()
  {
    m_closed = true;
    beast::error_code ignored;
    m_stream.socket().close(ignored);
    if (m_sendTimer) {
      // The queue of the server may keep the connection for a while.
      m_sendTimer.reset();
      m_request = {};
    }
    if (m_bodyWait != 0) {
      m_owner.m_options.budget->CancelWait(std::exchange(m_bodyWait, 0));
    }
    ReleaseSend();
  }

  // Frees what the last attempt held. No operation may be running.
  void ReleaseBuffers()
  {
    m_request = {};
    m_parser.reset();
    m_held.Release();
    if (m_buffer.size() == 0 && m_buffer.capacity() > kKeptBufferBytes) {
      m_buffer.shrink_to_fit();
    }
  }

private:
  void ReleaseSend()
  {
    if (m_sendBytes > 0) {
      m_owner.OnSent(m_address, std::exchange(m_sendBytes, 0));
    }
  }

  void ResetParser()
  {
    m_receivedBytes = 0;
    m_bodyCapacity = 0;
    m_held.Release();
    m_parser.emplace();
    m_parser->body_limit(m_owner.m_options.maxResponseBytes);
    if (m_request.method() == http::verb::head) {
      m_parser->skip(true);
    }
  }

  void OnConnected(const beast::error_code& aError)
  {
    if (m_closed) {
      return;
    }
    if (aError) {
      End(AttemptOutcome::kRefused, false);
      return;
    }
    beast::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    Write();
  }

  void Write()
  {
    m_stream.expires_after(m_deadline - MonotonicNow());
    http::async_write(m_stream,
                      m_request,
                      [self = shared_from_this()](
                        const beast::error_code& aError, std::size_t aBytes) {
                        self->m_wrote = aBytes > 0;
                        if (self->m_closed) {
                          return;
                        }
                        self->ReleaseSend();
                        if (aError) {
                          self->OnError(aError);
                        } else {
                          self->ReadHeader();
                        }
                      });
  }

  void ReadHeader()
  {
    http::async_read_header(
      m_stream,
      m_buffer,
      *m_parser,
      [self = shared_from_this()](const beast::error_code& aError,
                                  std::size_t aBytes) {
        // An invalid status line stays in the buffer.
        self->m_received = aBytes > 0 || self->m_buffer.size() > 0;
        if (self->m_closed) {
          return;
        }
        if (aError) {
          self->OnError(aError);
        } else {
          self->ReadBody();
        }
      });
  }

  void ReadBody()
  {
    m_received = true;
    const auto& message = m_parser->get();
    const bool bounded =
      m_parser->is_done() || message.chunked() || message.has_content_length();
    if (!HasValidStatus(message) || !HasSupportedFraming(message)) {
      End(AttemptOutcome::kBroken, false);
      return;
    }
    const bool acceptsUnframed =
      m_owner.m_options.acceptsUnframedResponses && !m_forwards;
    if (!bounded && !acceptsUnframed) {
      // Only the end of the connection would delimit the response.
      End(AttemptOutcome::kBroken, false);
      return;
    }
    if (m_parser->is_done()) {
      OnComplete();
    } else {
      ReserveBody(m_parser->content_length().value_or(m_buffer.size()));
    }
  }

  // Reserves room for a body of aCapacity bytes before it is read.
  void ReserveBody(std::uint64_t aCapacity)
  {
    const auto& budget = m_owner.m_options.budget;
    BufferReservation held;
    if (budget == nullptr ||
        budget->TryReserve(BufferUse::kResponse, aCapacity, held)) {
      OnReserved(aCapacity, std::move(held));
      return;
    }
    BufferRequest request;
    request.use = BufferUse::kResponse;
    request.bytes = aCapacity;
    if (IsOversized()) {
      budget->RecordRejected(request);
      End(AttemptOutcome::kBroken, false);
      return;
    }
    request.deadline = m_held.Bytes() == 0
                         ? m_deadline
                         : std::min(m_deadline, MonotonicNow() + kGrowthWait);
    request.label = "attempt " + std::to_string(m_attempt.Value());
    if (m_owner.m_options.onHeld) {
      m_owner.m_options.onHeld(m_attempt);
    }
    if (!budget->CanFit(request.use, aCapacity + m_held.Bytes())) {
      budget->RecordRejected(request);
      End(AttemptOutcome::kBroken, false);
      return;
    }
    m_bodyWait = budget->Wait(
      std::move(request),
      [self = shared_from_this(), aCapacity](BufferReservation aHeld) {
        self->m_bodyWait = 0;
        if (aHeld.IsHeld()) {
          self->OnReserved(aCapacity, std::move(aHeld));
        } else {
          self->End(IsDue(self->m_deadline, MonotonicNow())
                      ? AttemptOutcome::kTimeout
                      : AttemptOutcome::kBroken,
                    false);
        }
      });
  }

  void OnReserved(std::uint64_t aCapacity, BufferReservation aHeld)
  {
    m_bodyCapacity = aCapacity;
    if (!m_parser->content_length()) {
      m_parser->get().body().reserve(aCapacity);
    }
    m_held = std::move(aHeld);
    ReadBodyPart();
  }

  // The parser limits the body, but not its chunk headers and trailers.
  void ReadBodyPart()
  {
    if (m_parser->is_done()) {
      OnComplete();
      return;
    }
    if (m_receivedBytes > MaxReceivedBytes()) {
      End(AttemptOutcome::kBroken, false);
      return;
    }
    const std::uint64_t size = m_parser->get().body().size();
    if (!m_parser->content_length() &&
        size + kMaxBufferedBytes > m_bodyCapacity) {
      ReserveBody(
        std::min(std::max(2 * m_bodyCapacity, size + kMaxBufferedBytes),
                 m_owner.m_options.maxResponseBytes + kMaxBufferedBytes));
      return;
    }
    http::async_read_some(
      m_stream,
      m_buffer,
      *m_parser,
      [self = shared_from_this()](const beast::error_code& aError,
                                  std::size_t aBytes) {
        if (self->m_closed) {
          return;
        }
        self->m_receivedBytes += aBytes;
        if (aError) {
          self->OnError(aError);
        } else {
          self->ReadBodyPart();
        }
      });
  }

  // Whether the response has no length and may have no end.
  bool IsOversized()
  {
    // Bytes of a body are counted once its header was read.
    return m_receivedBytes >
             m_owner.m_options.maxResponseBytes / kOversizedPart &&
           !m_parser->content_length();
  }

  std::uint64_t MaxReceivedBytes() const
  {
    return kFramingFactor * m_owner.m_options.maxResponseBytes +
           kMaxBufferedBytes;
  }

  void OnError(const beast::error_code& aError)
  {
    const bool timeout = aError == beast::error::timeout;
    if (!m_wrote && !timeout) {
      End(AttemptOutcome::kNothingWritten, false);
    } else if (!m_received && m_kind == ConnectionKind::kReused) {
      // The server or a middlebox may have dropped the idle connection.
      End(AttemptOutcome::kSilent, false);
    } else {
      End(timeout ? AttemptOutcome::kTimeout : AttemptOutcome::kBroken, false);
    }
  }

  void OnComplete()
  {
    BackendResponse& response = m_parser->get();
    if (http::to_status_class(response.result_int()) ==
        http::status_class::informational) {
      // No request asks for another protocol.
      if (response.result() == http::status::switching_protocols ||
          ++m_interimResponses > kMaxInterimResponses) {
        End(AttemptOutcome::kBroken, false);
        return;
      }
      ResetParser();
      ReadHeader();
      return;
    }
    m_classified = m_owner.m_classifyResponse(response, m_request);
    if (m_classified.isForOtherRequest) {
      // A late response to an earlier request on this connection.
      if (++m_otherResponses > kMaxOtherResponses) {
        End(AttemptOutcome::kBroken, false);
        return;
      }
      ResetParser();
      ReadHeader();
      return;
    }
    const bool isFirst =
      m_kind == ConnectionKind::kNew && m_otherResponses == 0;
    if (m_classified.lacksRequestId && !isFirst) {
      // It may be a response to an earlier request.
      End(m_kind == ConnectionKind::kReused ? AttemptOutcome::kSilent
                                            : AttemptOutcome::kBroken,
          false);
      return;
    }
    const bool distinguishable = RememberFailure();
    const bool reusable = response.keep_alive() && !m_parser->need_eof() &&
                          m_buffer.size() == 0 && m_otherResponses == 0 &&
                          distinguishable;
    SetIdleLifetime(response);
    End(m_classified.outcome, reusable);
  }

  // Returns whether a copy of the response could be told from the response to
  // a later request. Only copies of refusals would let a request run twice.
  bool RememberFailure()
  {
    if (m_classified.hasRequestId) {
      if (m_classified.outcome != AttemptOutcome::kSuccess) {
        m_failedRequests.push_back(std::hash<std::string>()(m_requestId));
      }
      return m_failedRequests.size() <= kMaxFailedRequests;
    }
    return m_classified.outcome == AttemptOutcome::kSuccess ||
           m_classified.outcome == AttemptOutcome::kServerError;
  }

  // The Keep-Alive header gives whole seconds, as in "timeout=10, max=100".
  void SetIdleLifetime(const BackendResponse& aResponse)
  {
    static constexpr std::string_view kTimeout = "timeout=";
    m_idleLifetime = m_owner.m_options.idleLifetime;
    const std::string_view text = aResponse[http::field::keep_alive];
    const std::size_t at = text.find(kTimeout);
    if (at == std::string_view::npos) {
      return;
    }
    std::int64_t seconds = 0;
    const char* first = text.data() + at + kTimeout.size();
    const auto parsed =
      std::from_chars(first, text.data() + text.size(), seconds);
    if (parsed.ec == std::errc()) {
      const Duration announced = std::chrono::seconds(seconds) - kIdleMargin;
      m_idleLifetime = std::min(m_idleLifetime, announced);
    }
  }

  void End(AttemptOutcome aOutcome, bool aReusable)
  {
    m_lastUsed = MonotonicNow();
    AttemptEnd end;
    end.id = m_attempt;
    end.outcome = aOutcome;
    end.isOversized = IsOversized();
    BackendResponse* response = nullptr;
    const bool complete = aOutcome == AttemptOutcome::kSuccess ||
                          aOutcome == AttemptOutcome::kServerError ||
                          aOutcome == AttemptOutcome::kShed ||
                          aOutcome == AttemptOutcome::kOtherServer ||
                          aOutcome == AttemptOutcome::kNotRun;
    if (complete) {
      response = &m_parser->get();
      end.status = response->result_int();
      end.contentType = std::string((*response)[http::field::content_type]);
      end.serverIsLeaving = m_classified.serverIsLeaving;
      end.retryAfter = m_classified.retryAfter;
      if (aOutcome != AttemptOutcome::kOtherServer) {
        end.limitNotice = m_classified.limitNotice;
      }
      end.reportedLoad = m_classified.reportedLoad;
      if (response->body().size() <= m_owner.m_options.maxLedgerResponseBytes) {
        end.body = response->body();
      }
    }
    m_stream.expires_never();
    ReleaseSend();
    m_held.ShrinkTo(response == nullptr ? 0 : response->body().capacity());
    m_owner.OnFinished(
      shared_from_this(), end, response, std::move(m_held), aReusable);
  }

  BackendClient& m_owner;
  beast::tcp_stream m_stream;
  std::string m_address;
  beast::flat_buffer m_buffer{ kMaxBufferedBytes };
  BackendRequest m_request;
  std::optional<http::response_parser<http::string_body>> m_parser;
  AttemptId m_attempt;
  std::string m_requestId;                   // of the caller; may be empty
  std::vector<std::size_t> m_failedRequests; // hashes of their ids
  TimePoint m_deadline;
  TimePoint m_lastUsed;
  Duration m_idleLifetime{};
  ClassifiedResponse m_classified;
  int m_otherResponses = 0;          // to other requests, skipped
  int m_interimResponses = 0;        // skipped
  std::uint64_t m_receivedBytes = 0; // of the body of this response
  BufferReservation m_held;          // of the body of this response
  std::uint64_t m_bodyCapacity = 0;
  BufferWaitId m_bodyWait = 0;
  std::uint64_t m_sendBytes = 0; // that count for the server
  std::optional<asio::steady_timer> m_sendTimer;
  ConnectionKind m_kind = ConnectionKind::kNew;
  bool m_forwards = false; // to an entry host, which frames each response
  bool m_wrote = false;
  bool m_received = false;
  bool m_closed = false;
};

BackendClient::BackendClient(asio::io_context& aIo,
                             BackendClientOptions aOptions,
                             ResponseClassifier aClassifyResponse,
                             EndHook aOnEnd)
  : m_io(aIo)
  , m_options(std::move(aOptions))
  , m_classifyResponse(std::move(aClassifyResponse))
  , m_onEnd(std::move(aOnEnd))
{
}

BackendClient::~BackendClient()
{
  m_sends.clear();
  for (const auto& [id, connection] : m_running) {
    connection->Close();
  }
}

BackendClient::ConnectionPtr
BackendClient::TakeIdleConnection(const AttemptStart& aStart)
{
  const auto it = m_idleConnections.find(aStart.address);
  if (it == m_idleConnections.end()) {
    return nullptr;
  }
  const TimePoint now = MonotonicNow();
  std::vector<ConnectionPtr>& idle = it->second;
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (idle[i]->HasFailed(aStart.callerRequestId)) {
      continue;
    }
    ConnectionPtr connection = idle[i];
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    const bool usable =
      now < connection->UsableUntil() && connection->IsIdleAndOpen();
    if (usable) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

ConnectionKind
BackendClient::Start(const AttemptStart& aStart, const BackendRequest& aRequest)
{
  const std::uint64_t bytes = SharedBody::size(aRequest.body());
  ServerSends* sends = bytes == 0 ? nullptr : &m_sends[aStart.address];
  const bool waits = sends != nullptr && !MaySend(*sends, bytes);
  // An idle connection may be closed by the server before the wait ends.
  ConnectionPtr connection;
  if (!aStart.requiresNewConnection && !waits) {
    connection = TakeIdleConnection(aStart);
  }
  const ConnectionKind kind =
    connection == nullptr ? ConnectionKind::kNew : ConnectionKind::kReused;
  if (kind == ConnectionKind::kNew) {
    connection = std::make_shared<Connection>(*this, aStart.address);
  }
  m_running[aStart.id] = connection;
  connection->Prepare(aStart, aRequest, kind);
  if (waits) {
    sends->waiting.push_back(connection);
    connection->WaitToSend();
    return kind;
  }
  if (sends != nullptr) {
    sends->bytes += bytes;
  }
  connection->Start();
  return kind;
}

bool
BackendClient::MaySend(const ServerSends& aSends, std::uint64_t aBytes) const
{
  if (aBytes <= BufferBudget::kSmallBytes) {
    return true;
  }
  return aSends.bytes == 0 || (aSends.waiting.empty() &&
                               aSends.bytes + aBytes <= m_options.serverBytes);
}

void
BackendClient::OnSent(const std::string& aAddress, std::uint64_t aBytes)
{
  const auto it = m_sends.find(aAddress);
  if (it != m_sends.end()) {
    it->second.bytes -= aBytes;
    StartWaiting(aAddress);
  }
}

void
BackendClient::StartWaiting(const std::string& aAddress)
{
  const auto it = m_sends.find(aAddress);
  ServerSends& sends = it->second;
  std::vector<ConnectionPtr> started;
  while (!sends.waiting.empty()) {
    const ConnectionPtr next = sends.waiting.front();
    const std::uint64_t bytes = next->BodyBytes();
    const bool fits =
      sends.bytes == 0 || sends.bytes + bytes <= m_options.serverBytes;
    if (!next->IsClosed() && !fits) {
      break;
    }
    sends.waiting.pop_front();
    if (!next->IsClosed()) {
      sends.bytes += bytes;
      started.push_back(next);
    }
  }
  if (sends.bytes == 0 && sends.waiting.empty()) {
    m_sends.erase(it);
  }
  for (const ConnectionPtr& connection : started) {
    connection->Start();
  }
}

std::size_t
BackendClient::WaitingToSend() const
{
  std::size_t count = 0;
  for (const auto& [address, sends] : m_sends) {
    count += static_cast<std::size_t>(
      std::count_if(sends.waiting.begin(),
                    sends.waiting.end(),
                    [](const ConnectionPtr& aConnection) {
                      return !aConnection->IsClosed();
                    }));
  }
  return count;
}

void
BackendClient::CloseUnusableConnections()
{
  const TimePoint now = MonotonicNow();
  for (auto it = m_idleConnections.begin(); it != m_idleConnections.end();) {
    std::erase_if(it->second, [now](const ConnectionPtr& aConnection) {
      const bool usable =
        now < aConnection->UsableUntil() && aConnection->IsIdleAndOpen();
      if (!usable) {
        aConnection->Close();
      }
      return !usable;
    });
    it = it->second.empty() ? m_idleConnections.erase(it) : ++it;
  }
}

std::size_t
BackendClient::IdleCount() const
{
  std::size_t count = 0;
  for (const auto& [address, connections] : m_idleConnections) {
    count += connections.size();
  }
  return count;
}

void
BackendClient::Cancel(AttemptId aAttempt)
{
  const auto it = m_running.find(aAttempt);
  if (it != m_running.end()) {
    const ConnectionPtr connection = it->second;
    m_running.erase(it);
    connection->Close();
  }
}

void
BackendClient::OnFinished(const ConnectionPtr& aConnection,
                          const AttemptEnd& aEnd,
                          BackendResponse* aResponse,
                          BufferReservation aHeld,
                          bool aReusable)
{
  m_running.erase(aEnd.id);
  m_onEnd(aEnd, aResponse, std::move(aHeld));
  aConnection->ReleaseBuffers();
  std::vector<ConnectionPtr>& idle = m_idleConnections[aConnection->Address()];
  if (aReusable && idle.size() < m_options.maxIdlePerServer) {
    idle.push_back(aConnection);
  } else {
    aConnection->Close();
  }
}

} // namespace fuchsiaramp
