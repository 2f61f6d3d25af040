#include "net/http_server.h"

#include <optional>
#include <stdexcept>
#include <string_view>
#include <unordered_set>

#include <boost/asio/read_until.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffer_ref.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "net/address.h"
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

class HttpSession;

// State shared by the connections of a server.
struct HttpServerState
{
  HttpServerOptions options;
  HttpHandler handler;
  std::unordered_set<HttpSession*> sessions;
  ConnectionCounts counts;
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
    const bool mayWait = ExpectsContinue(raw) && m_buffer.size() == aBytes;
    const beast::error_code error = ParseBufferedBytes();
    if (mayWait && error == http::error::need_more &&
        m_parser->get().version() >= 11 && !FindFramingError(m_parser->get())) {
      WriteContinue();
    } else {
      ReadRest(error);
    }
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

  // The parser throws for a header line or trailer that its fields can't hold.
  beast::error_code ParseBufferedBytes()
  {
    m_parser->eager(true);
    beast::error_code error;
    try {
      while (!error && !m_parser->is_done()) {
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
    if (aError != http::error::need_more) {
      OnRead(aError);
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
      beast::error_code unknown;
      const auto peer = m_stream.socket().remote_endpoint(unknown);
      m_state->options.onRejected(unknown ? "" : peer.address().to_string(),
                                  aProblem.status,
                                  aProblem.text);
    }
    m_answered = true;
    m_response = {};
    m_response.version(11);
    m_response.result(aProblem.status);
    m_response.set(http::field::content_type, "application/json");
    m_response.set("Fuchsiaramp-Outcome", "not-run");
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
    m_stream.expires_after(
      kWriteTimeout +
      std::chrono::seconds(m_response.body().size() / kMinWriteBytesPerSecond));
    http::async_write(m_stream,
                      m_response,
                      [self = shared_from_this()](
                        const beast::error_code& aError, std::size_t) {
                        if (!aError && self->m_response.keep_alive()) {
                          self->Read();
                        } else if (aError) {
                          self->Close();
                        } else {
                          self->CloseGracefully();
                        }
                      });
  }

  // Waits until the peer has closed the connection, too. A socket that is
  // closed with unread bytes resets the connection, and the peer then loses
  // what it has not read of the response.
  void CloseGracefully()
  {
    SetActivity(ConnectionState::kClosing);
    m_response = {};
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

ConnectionCounts
HttpServer::Connections() const
{
  return m_impl->State().counts;
}

} // namespace fuchsiaramp
