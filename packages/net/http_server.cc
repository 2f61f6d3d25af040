#include "net/http_server.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <unordered_set>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffer_ref.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "net/address.h"
#include "net/monotonic.h"
#include "net/request_framing.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

static constexpr char kHeaderEnd[] = "\r\n\r\n";
static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
// Bytes of the body and of later requests that may be read with a header.
static constexpr std::size_t kReadAheadBytes = 64 << 10;
// A peer may take this long to receive a response, and longer for a large one.
static constexpr Duration kWriteTimeout = std::chrono::seconds(30);
static constexpr std::size_t kMinWriteBytesPerSecond = 64 << 10;
// How long a peer may take to close a connection after the last response.
static constexpr Duration kCloseTimeout = std::chrono::seconds(2);
static constexpr std::size_t kDiscardBytes = 4 << 10;
// How long a body waits for room. Bodies of unknown length hold what they have
// while they wait for more, so that two of them could wait for each other.
static constexpr Duration kBodyWait = std::chrono::seconds(2);
// A larger read buffer is freed after its request.
static constexpr std::size_t kKeptReadBuffer = 16 << 10;
// How often the progress of a slow peer is looked at within a write timeout.
static constexpr int kStallChecks = 4;

class HttpSession;

// State shared by the connections of a server.
struct HttpServerState
{
  HttpServerOptions options;
  HttpHandler handler;
  std::unordered_set<HttpSession*> sessions;
  ConnectionCounts counts;
  std::uint64_t stalledWriters = 0;
  bool closing = false;

  std::size_t& Count(ConnectionState aState)
  {
    switch (aState) {
      case ConnectionState::kReceiving:
        return counts.receiving;
      case ConnectionState::kHandling:
        return counts.handling;
      case ConnectionState::kResponding:
        return counts.responding;
      case ConnectionState::kClosing:
        return counts.closing;
      case ConnectionState::kIdle:
        break;
    }
    return counts.idle;
  }
};

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(tcp::socket aSocket, std::shared_ptr<HttpServerState> aState)
    : m_stream(std::move(aSocket))
    , m_state(std::move(aState))
  {
    m_state->sessions.insert(this);
    ++m_state->Count(m_activity);
  }
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;
  ~HttpSession()
  {
    m_state->sessions.erase(this);
    --m_state->Count(m_activity);
  }

  void Start()
  {
    beast::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    Read();
  }

  const HttpExchange::Request& Message() const { return m_parser->get(); }

  BufferedBodyPtr TakeBody(std::uint64_t aExchange)
  {
    if (aExchange != m_exchangeNumber || m_answered ||
        m_parser->get().body().empty()) {
      return nullptr;
    }
    auto body = std::make_shared<BufferedBody>();
    body->bytes = std::move(m_parser->get().body());
    body->reservation = std::move(m_bodyReservation);
    return body;
  }

  void Respond(std::uint64_t aExchange, HttpResponse aResponse)
  {
    if (aExchange != m_exchangeNumber || m_answered) {
      return;
    }
    m_answered = true;
    m_onDisconnect = nullptr;
    const auto& request = m_parser->get();
    m_response = {};
    m_response.version(request.version());
    m_response.result(aResponse.status);
    m_response.set(http::field::content_type, aResponse.contentType);
    for (const auto& [name, value] : aResponse.headers) {
      m_response.set(name, value);
    }
    m_response.keep_alive(request.keep_alive() && !m_state->closing);
    m_response.body() = std::move(aResponse.body);
    m_responseReservation = std::move(aResponse.reservation);
    m_callerRequestId = std::move(aResponse.callerRequestId);
    const std::size_t size = m_response.body().size();
    if (request.method() == http::verb::head) {
      m_response.body().clear();
      m_response.content_length(size);
    } else {
      m_response.prepare_payload();
    }
    Write();
  }

  void OnDisconnect(std::uint64_t aExchange, std::function<void()> aHook)
  {
    if (aExchange == m_exchangeNumber && !m_answered) {
      m_onDisconnect = std::move(aHook);
    }
  }

  // A request that has arrived already is read and answered.
  void CloseIfIdle()
  {
    if (m_activity == ConnectionState::kIdle && !HasUnreadBytes()) {
      CloseGracefully();
    }
  }

private:
  void SetActivity(ConnectionState aActivity)
  {
    --m_state->Count(m_activity);
    m_activity = aActivity;
    ++m_state->Count(m_activity);
  }

  void Read()
  {
    SetActivity(ConnectionState::kIdle);
    m_stream.expires_after(m_state->options.limits.idleTimeout);
    if (m_buffer.size() > 0) {
      // The request arrived together with the previous one.
      ReadRequest();
      return;
    }
    // The idle timeout applies until the first byte arrives, the header timeout
    // from then on.
    m_stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const beast::error_code& aError) {
        if (!aError && self->m_activity == ConnectionState::kIdle) {
          self->ReadRequest();
        }
      });
    StartIdleTimer();
  }

  // The timeout of the stream does not cover async_wait. The timer may expire
  // in the moment in which a request arrives, and its handler may then already
  // be queued behind the one that reads the request.
  void StartIdleTimer()
  {
    m_idleTimer.emplace(m_stream.get_executor());
    m_idleTimer->expires_after(m_state->options.limits.idleTimeout);
    m_idleTimer->async_wait(
      [self = shared_from_this()](const beast::error_code& aError) {
        if (!aError && self->m_activity == ConnectionState::kIdle) {
          self->Close();
        }
      });
  }

  void ReadRequest()
  {
    SetActivity(ConnectionState::kReceiving);
    m_parser.emplace();
    m_parser->header_limit(
      static_cast<std::uint32_t>(m_state->options.limits.headerBytes));
    m_parser->body_limit(m_state->options.limits.bodyBytes);
    if (m_idleTimer) {
      m_idleTimer->cancel();
    }
    m_stream.expires_after(m_state->options.limits.headerTimeout);
    m_buffer.max_size(m_state->options.limits.headerBytes + kReadAheadBytes);
    asio::async_read_until(
      m_stream,
      beast::ref(m_buffer),
      kHeaderEnd,
      [self = shared_from_this()](const beast::error_code& aError,
                                  std::size_t aBytes) {
        self->OnHeader(aError, aBytes);
      });
  }

  // Checks the raw header first, since the parser accepts some forms that other
  // parsers interpret differently.
  void OnHeader(const beast::error_code& aError, std::size_t aBytes)
  {
    const bool tooLong = aError == asio::error::not_found ||
                         aBytes > m_state->options.limits.headerBytes;
    if (aError && !tooLong) {
      ++m_exchangeNumber;
      Reject(aError);
      return;
    }
    if (tooLong) {
      RejectWith({ 431, "the header exceeds the size limit" });
      return;
    }
    const std::string_view raw(static_cast<const char*>(m_buffer.data().data()),
                               aBytes);
    if (const auto problem = FindHeaderError(raw)) {
      RejectWith(*problem);
      return;
    }
    // A long body may take longer than the header timeout.
    m_stream.expires_after(m_state->options.limits.idleTimeout);
    m_mayWait = ExpectsContinue(raw) && m_buffer.size() == aBytes;
    m_bodyCapacity = 0;
    const beast::error_code error = ParseHeader();
    if (error || m_parser->is_done()) {
      OnRead(error);
    } else if (!ApplyBodyLimit()) {
      RejectBody(413, "the body exceeds the size limit");
    } else {
      ReserveBody(m_parser->content_length().value_or(m_buffer.size()));
    }
  }

  // Limits the body by what the header asks for. Returns whether the length
  // that the header gives is allowed; the parser counts a body without one.
  bool ApplyBodyLimit()
  {
    const auto& bodyLimit = m_state->options.bodyLimit;
    if (!bodyLimit) {
      return true;
    }
    const std::uint64_t limit =
      std::min(m_state->options.limits.bodyBytes, bodyLimit(m_parser->get()));
    m_parser->body_limit(limit);
    return m_parser->content_length().value_or(0) <= limit;
  }

  // Reserves room for a body of aCapacity bytes and for the bytes that are read
  // at a time, before any memory is used for them.
  void ReserveBody(std::uint64_t aCapacity)
  {
    const auto& budget = m_state->options.budget;
    BufferReservation held;
    if (budget == nullptr) {
      OnReserved(aCapacity, std::move(held));
      return;
    }
    BufferRequest request;
    request.bytes =
      aCapacity + std::min<std::uint64_t>(aCapacity, kReadAheadBytes);
    if (budget->TryReserve(request.use, request.bytes, held)) {
      OnReserved(aCapacity, std::move(held));
      return;
    }
    request.deadline = MonotonicNow() + kBodyWait;
    request.label = PeerAddress();
    // A body that grows holds its former room until it was copied.
    if (!budget->CanFit(request.use,
                        request.bytes + m_bodyReservation.Bytes())) {
      budget->RecordRejected(request);
      RejectBody(413, "the body exceeds the buffers of this host");
      return;
    }
    m_bodyWait = budget->Wait(
      std::move(request),
      [self = shared_from_this(), aCapacity](BufferReservation aHeld) {
        self->m_bodyWait = 0;
        if (!aHeld.IsHeld()) {
          self->RejectBody(503, "the buffers of this host are full");
          return;
        }
        // The wait was not the peer's.
        self->m_stream.expires_after(self->m_state->options.limits.idleTimeout);
        self->OnReserved(aCapacity, std::move(aHeld));
      });
  }

  void OnReserved(std::uint64_t aCapacity, BufferReservation aHeld)
  {
    m_bodyCapacity = aCapacity;
    if (!m_parser->content_length()) {
      m_parser->get().body().reserve(aCapacity);
    }
    m_bodyReservation = std::move(aHeld);
    const beast::error_code error = ParseBufferedBytes();
    if (std::exchange(m_mayWait, false) && error == http::error::need_more &&
        m_parser->get().version() >= 11 && !FindFramingError(m_parser->get())) {
      WriteContinue();
    } else {
      ReadRest(error);
    }
  }

  void RejectBody(std::uint32_t aStatus, const std::string& aText)
  {
    ++m_exchangeNumber;
    RejectWith({ aStatus, aText });
  }

  // Frees the body, unless it was taken, and its room.
  void ReleaseBody()
  {
    if (m_parser) {
      std::string().swap(m_parser->get().body());
    }
    m_bodyReservation.Release();
  }

  std::string PeerAddress()
  {
    beast::error_code unknown;
    const auto peer = m_stream.socket().remote_endpoint(unknown);
    return unknown ? "" : peer.address().to_string();
  }

  // The peer may wait for the interim response before it sends the body.
  void WriteContinue()
  {
    asio::async_write(m_stream,
                      asio::buffer(kContinue),
                      [self = shared_from_this()](
                        const beast::error_code& aError, std::size_t) {
                        if (aError) {
                          self->Close();
                        } else {
                          self->ReadRest(http::error::need_more);
                        }
                      });
  }

  beast::error_code ParseHeader()
  {
    m_parser->eager(false);
    return Parse([this] { return m_parser->is_header_done(); });
  }

  beast::error_code ParseBufferedBytes()
  {
    m_parser->eager(true);
    return Parse([this] { return m_parser->is_done(); });
  }

  // The parser throws for a header line or trailer that its fields can't hold.
  template<class IsDone>
  beast::error_code Parse(const IsDone& aIsDone)
  {
    beast::error_code error;
    try {
      while (!error && !aIsDone()) {
        const std::size_t bytes = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(bytes);
        if (bytes == 0 && !error) {
          error = http::error::need_more;
        }
      }
    } catch (const std::length_error&) {
      error = http::error::header_limit;
    }
    return error;
  }

  // aError: of parsing the bytes that have been read.
  void ReadRest(const beast::error_code& aError)
  {
    const std::size_t capacity = beast::read_size(m_buffer, kReadAheadBytes);
    const std::uint64_t size = m_parser->get().body().size();
    if (aError != http::error::need_more) {
      OnRead(aError);
    } else if (!m_parser->content_length() &&
               size + kReadAheadBytes > m_bodyCapacity) {
      ReserveBody(std::max(2 * m_bodyCapacity, size + kReadAheadBytes));
    } else if (capacity == 0) {
      OnRead(http::error::buffer_overflow);
    } else {
      m_stream.async_read_some(
        m_buffer.prepare(capacity),
        [self = shared_from_this()](const beast::error_code& aReadError,
                                    std::size_t aBytes) {
          self->m_buffer.commit(aBytes);
          if (aReadError) {
            self->OnRead(aReadError);
          } else {
            self->ReadRest(self->ParseBufferedBytes());
          }
        });
    }
  }

  void OnRead(const beast::error_code& aError)
  {
    ++m_exchangeNumber;
    m_answered = false;
    if (aError) {
      Reject(aError);
      return;
    }
    if (const auto problem = FindFramingError(m_parser->get())) {
      RejectWith(*problem);
      return;
    }
    m_bodyReservation.ShrinkTo(m_parser->get().body().capacity());
    if (m_buffer.size() == 0 && m_buffer.capacity() > kKeptReadBuffer) {
      m_buffer.shrink_to_fit();
    }
    m_stream.expires_never();
    SetActivity(ConnectionState::kHandling);
    WatchForDisconnect();
    m_state->handler(
      std::make_shared<Exchange>(shared_from_this(), m_exchangeNumber));
  }

  // Sends an error response if the peer can still receive one, and closes the
  // connection, since the end of the malformed request is unknown.
  void Reject(const beast::error_code& aError)
  {
    if (aError == http::error::end_of_stream ||
        aError == beast::error::timeout ||
        aError == asio::error::connection_reset || aError == asio::error::eof ||
        aError == http::error::partial_message) {
      Close();
      return;
    }
    std::uint32_t status = 400;
    if (aError == http::error::header_limit) {
      status = 431;
    } else if (aError == http::error::body_limit) {
      status = 413;
    }
    RejectWith({ status, aError.message() });
  }

  void RejectWith(const FramingError& aProblem)
  {
    if (m_state->options.onRejected) {
      m_state->options.onRejected(
        PeerAddress(), aProblem.status, aProblem.text);
    }
    m_answered = true;
    m_response = {};
    m_response.version(11);
    m_response.result(aProblem.status);
    m_response.set(http::field::content_type, "application/json");
    m_response.set("Fuchsiaramp-Outcome", "not-run");
    if (aProblem.status == 503) {
      m_response.set(http::field::retry_after, "1");
    }
    m_response.keep_alive(false);
    m_response.body() =
      "{\"error\":\"request rejected: " + aProblem.text + "\"}\n";
    m_response.prepare_payload();
    Write();
  }

  // Nothing is read while a request is handled, so a closed connection becomes
  // readable with no bytes.
  void WatchForDisconnect()
  {
    m_stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(),
       exchange = m_exchangeNumber](const beast::error_code& aError) {
        if (aError || exchange != self->m_exchangeNumber || self->m_answered) {
          return;
        }
        if (self->IsDisconnected() && self->m_onDisconnect) {
          const auto hook = std::move(self->m_onDisconnect);
          self->m_onDisconnect = nullptr;
          hook();
        }
      });
  }

  // Returns the number of bytes that can be read, up to one.
  std::size_t Peek(beast::error_code& aError)
  {
    char byte = 0;
    m_stream.socket().non_blocking(true, aError);
    return m_stream.socket().receive(
      asio::buffer(&byte, 1), tcp::socket::message_peek, aError);
  }

  bool HasUnreadBytes()
  {
    beast::error_code ignored;
    return Peek(ignored) > 0;
  }

  bool IsDisconnected()
  {
    beast::error_code error;
    return Peek(error) == 0 && error != asio::error::would_block;
  }

  void Write()
  {
    SetActivity(ConnectionState::kResponding);
    ReleaseBody();
    m_stream.expires_after(
      kWriteTimeout +
      std::chrono::seconds(m_response.body().size() / kMinWriteBytesPerSecond));
    m_written = 0;
    m_serializer.emplace(m_response);
    WriteSome();
  }

  void WriteSome()
  {
    http::async_write_some(
      m_stream,
      *m_serializer,
      [self = shared_from_this()](const beast::error_code& aError,
                                  std::size_t aBytes) {
        self->m_written += aBytes;
        if (aError || self->m_serializer->is_done()) {
          self->OnWritten(aError);
          return;
        }
        if (!self->m_stallTimer) {
          self->WatchProgress();
        }
        self->WriteSome();
      });
  }

  void OnWritten(const beast::error_code& aError)
  {
    const bool keepAlive = m_response.keep_alive();
    m_stallTimer.reset();
    m_serializer.reset();
    m_response = {};
    m_responseReservation.reset();
    if (aError) {
      Close();
    } else if (keepAlive) {
      Read();
    } else {
      CloseGracefully();
    }
  }

  // Closes the connection if its peer accepts no byte for the write timeout.
  // Only responses that the socket does not take at once are watched.
  void WatchProgress()
  {
    m_accepted = 0;
    m_progressAt = MonotonicNow();
    m_stallTimer.emplace(m_stream.get_executor());
    ScheduleProgressCheck();
  }

  void ScheduleProgressCheck()
  {
    m_stallTimer->expires_after(m_state->options.limits.writeTimeout /
                                kStallChecks);
    m_stallTimer->async_wait(
      [self = shared_from_this()](const beast::error_code& aError) {
        if (!aError && self->m_stallTimer) {
          self->CheckProgress();
        }
      });
  }

  void CheckProgress()
  {
    const TimePoint now = MonotonicNow();
    const std::uint64_t accepted = m_written - UnacknowledgedBytes();
    if (accepted != m_accepted) {
      m_accepted = accepted;
      m_progressAt = now;
    }
    if (!IsDue(m_progressAt + m_state->options.limits.writeTimeout, now)) {
      ScheduleProgressCheck();
      return;
    }
    ++m_state->stalledWriters;
    if (m_state->options.onStalled) {
      m_state->options.onStalled({ PeerAddress(),
                                   m_callerRequestId,
                                   accepted,
                                   m_response.body().size() });
    }
    // A plain close would keep the unsent bytes in the kernel.
    beast::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stallTimer.reset();
    Close();
  }

  // The socket takes further bytes only once a third of its buffer is free, so
  // a slow peer may accept megabytes without any effect on writes.
  std::uint64_t UnacknowledgedBytes()
  {
    int bytes = 0;
    if (::ioctl(m_stream.socket().native_handle(), SIOCOUTQ, &bytes) != 0 ||
        bytes < 0) {
      return 0;
    }
    return std::min<std::uint64_t>(static_cast<std::uint64_t>(bytes),
                                   m_written);
  }

  // Waits until the peer has closed the connection, too. A socket that is
  // closed with unread bytes resets the connection, and the peer then loses
  // what it has not read of the response.
  void CloseGracefully()
  {
    SetActivity(ConnectionState::kClosing);
    if (m_idleTimer) {
      m_idleTimer->cancel();
    }
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(kCloseTimeout);
    DiscardInput();
  }

  void DiscardInput()
  {
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(kDiscardBytes),
                             [self = shared_from_this()](
                               const beast::error_code& aError, std::size_t) {
                               if (aError) {
                                 self->Close();
                               } else {
                                 self->DiscardInput();
                               }
                             });
  }

  void Close()
  {
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.socket().close(ignored);
    if (m_idleTimer) {
      m_idleTimer->cancel();
    }
    if (m_bodyWait != 0) {
      m_state->options.budget->CancelWait(std::exchange(m_bodyWait, 0));
    }
    if (m_onDisconnect) {
      const auto hook = std::move(m_onDisconnect);
      m_onDisconnect = nullptr;
      hook();
    }
  }

  class Exchange : public HttpExchange
  {
  public:
    Exchange(std::shared_ptr<HttpSession> aSession, std::uint64_t aNumber)
      : m_session(std::move(aSession))
      , m_number(aNumber)
    {
    }
    const Request& Message() const override { return m_session->Message(); }
    BufferedBodyPtr TakeBody() override
    {
      return m_session->TakeBody(m_number);
    }
    void Respond(HttpResponse aResponse) override
    {
      m_session->Respond(m_number, std::move(aResponse));
    }
    void OnDisconnect(std::function<void()> aHook) override
    {
      m_session->OnDisconnect(m_number, std::move(aHook));
    }

  private:
    std::shared_ptr<HttpSession> m_session;
    std::uint64_t m_number;
  };

  beast::tcp_stream m_stream;
  std::shared_ptr<HttpServerState> m_state;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::optional<asio::steady_timer> m_idleTimer;
  ConnectionState m_activity = ConnectionState::kIdle;
  http::response<http::string_body> m_response;
  std::optional<http::response_serializer<http::string_body>> m_serializer;
  std::shared_ptr<BufferReservation> m_responseReservation;
  std::string m_callerRequestId;
  std::uint64_t m_written = 0; // bytes of the response given to the socket
  // Of a response that its peer reads slowly.
  std::optional<asio::steady_timer> m_stallTimer;
  std::uint64_t m_accepted = 0; // bytes that the peer acknowledged
  TimePoint m_progressAt;       // when it last did
  BufferReservation m_bodyReservation;
  std::uint64_t m_bodyCapacity = 0;
  BufferWaitId m_bodyWait = 0;
  bool m_mayWait = false; // the peer may wait for "100 Continue"
  std::uint64_t m_exchangeNumber = 0;
  bool m_answered = true;
  std::function<void()> m_onDisconnect;
};

class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aIo, HttpServerOptions aOptions, HttpHandler aHandler)
    : m_acceptor(aIo)
    , m_state(std::make_shared<HttpServerState>())
  {
    m_state->options = std::move(aOptions);
    m_state->handler = std::move(aHandler);
    beast::error_code error;
    const auto endpoint = ParseEndpoint(m_state->options.address, error);
    if (error) {
      throw boost::system::system_error(error, m_state->options.address);
    }
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
  }

  void Accept()
  {
    m_acceptor.async_accept(
      [self = shared_from_this()](const beast::error_code& aError,
                                  tcp::socket aSocket) {
        // Also if the acceptor has been closed since it accepted this one.
        if (!aError) {
          self->StartSession(std::move(aSocket));
        }
        if (self->m_acceptor.is_open()) {
          self->Accept();
        }
      });
  }

  // Takes over the connections that the kernel has accepted already; it would
  // reset them.
  void Stop()
  {
    beast::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(m_acceptor.get_executor());
      m_acceptor.accept(socket, error);
      if (!error) {
        StartSession(std::move(socket));
      }
    }
    m_acceptor.close(error);
  }

  void CloseIdle()
  {
    const std::vector<HttpSession*> sessions(m_state->sessions.begin(),
                                             m_state->sessions.end());
    for (HttpSession* session : sessions) {
      session->CloseIfIdle();
    }
  }

  HttpServerState& State() { return *m_state; }

private:
  // Connections that only wait for their peer to close may take half as many
  // again.
  void StartSession(tcp::socket aSocket)
  {
    const std::uint64_t limit = m_state->options.maxConnections;
    const std::size_t count = m_state->sessions.size();
    const bool hasCapacity =
      count - m_state->counts.closing < limit && count < limit + limit / 2;
    if (hasCapacity) {
      std::make_shared<HttpSession>(std::move(aSocket), m_state)->Start();
    }
  }

  tcp::acceptor m_acceptor;
  std::shared_ptr<HttpServerState> m_state;
};

HttpServer::HttpServer(asio::io_context& aIo,
                       HttpServerOptions aOptions,
                       HttpHandler aHandler)
  : m_impl(
      std::make_shared<Impl>(aIo, std::move(aOptions), std::move(aHandler)))
{
  m_impl->Accept();
}

HttpServer::~HttpServer()
{
  m_impl->Stop();
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  m_impl->State().options.limits = aLimits;
}

void
HttpServer::CloseAfterResponses()
{
  m_impl->State().closing = true;
}

void
HttpServer::StopAccepting()
{
  m_impl->Stop();
}

void
HttpServer::CloseIdleConnections()
{
  m_impl->CloseIdle();
}

std::size_t
HttpServer::ConnectionCount() const
{
  return m_impl->State().sessions.size();
}

std::uint64_t
HttpServer::StalledWriters() const
{
  return m_impl->State().stalledWriters;
}

ConnectionCounts
HttpServer::Connections() const
{
  return m_impl->State().counts;
}

} // namespace fuchsiaramp
