#include "net/backend_client.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
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

static constexpr char kNotRunHeader[] = "Fuchsiaramp-Not-Run";
static constexpr char kLoadHeader[] = "Fuchsiaramp-Load";
static constexpr char kStateHeader[] = "Fuchsiaramp-State";
static constexpr std::uint32_t kServiceUnavailable = 503;
static constexpr std::uint32_t kTooManyRequests = 429;
static constexpr std::uint32_t kFirstServerError = 500;

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
  TimePoint LastUsed() const { return m_lastUsed; }

  // An idle connection on which something is to be read was closed by the
  // server, or holds bytes that belong to no request.
  bool IsQuiet()
  {
    beast::error_code error;
    m_stream.socket().non_blocking(true, error);
    char byte = 0;
    m_stream.socket().receive(
      asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void Start(const AttemptStart& aStart,
             const BackendRequest& aRequest,
             ConnectionKind aKind)
  {
    m_attempt = aStart.id;
    m_deadline = aStart.deadline;
    m_request = aRequest;
    m_kind = aKind;
    m_wrote = false;
    m_received = false;
    m_parser.emplace();
    m_parser->body_limit(m_owner.m_options.answerBytes);
    if (m_request.method() == http::verb::head) {
      m_parser->skip(true);
    }
    if (aKind == ConnectionKind::kReused) {
      Write();
      return;
    }
    beast::error_code error;
    const auto endpoint = ParseEndpoint(m_address, error);
    const Duration left = m_deadline - MonotonicNow();
    m_stream.expires_after(std::min(left, m_owner.m_options.connectTimeout));
    m_stream.async_connect(
      endpoint, [self = shared_from_this()](const beast::error_code& aError) {
        self->OnConnected(aError);
      });
  }

  void Abandon()
  {
    m_abandoned = true;
    beast::error_code ignored;
    m_stream.socket().close(ignored);
  }

private:
  void OnConnected(const beast::error_code& aError)
  {
    if (m_abandoned) {
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
                        if (self->m_abandoned) {
                          return;
                        }
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
        self->m_received = aBytes > 0;
        if (self->m_abandoned) {
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
    if (!bounded) {
      // The end of the connection would have to mark the end of the answer.
      End(AttemptOutcome::kBroken, false);
      return;
    }
    http::async_read(m_stream,
                     m_buffer,
                     *m_parser,
                     [self = shared_from_this()](
                       const beast::error_code& aError, std::size_t) {
                       if (self->m_abandoned) {
                         return;
                       }
                       if (aError) {
                         self->OnError(aError);
                       } else {
                         self->OnWhole();
                       }
                     });
  }

  void OnError(const beast::error_code& aError)
  {
    const bool timeout = aError == beast::error::timeout;
    if (!m_wrote && !timeout) {
      End(AttemptOutcome::kNothingWritten, false);
    } else if (!m_received && m_kind == ConnectionKind::kReused) {
      // The server or something between may have dropped the connection.
      End(AttemptOutcome::kSilent, false);
    } else {
      End(timeout ? AttemptOutcome::kTimeout : AttemptOutcome::kBroken, false);
    }
  }

  void OnWhole()
  {
    BackendResponse& response = m_parser->get();
    const std::uint32_t status = response.result_int();
    const bool notRun = response[kNotRunHeader] == "true";
    AttemptOutcome outcome = AttemptOutcome::kSuccess;
    if (status == kServiceUnavailable || status == kTooManyRequests) {
      // Without the server's word that nothing ran, it is a plain failure.
      outcome = notRun ? AttemptOutcome::kShed : AttemptOutcome::kServerError;
    } else if (notRun) {
      outcome = AttemptOutcome::kNotRun;
    } else if (status >= kFirstServerError) {
      outcome = AttemptOutcome::kServerError;
    }
    End(outcome, response.keep_alive() && m_buffer.size() == 0);
  }

  void End(AttemptOutcome aOutcome, bool aReusable)
  {
    m_lastUsed = MonotonicNow();
    AttemptEnd end;
    end.id = m_attempt;
    end.outcome = aOutcome;
    BackendResponse* response = nullptr;
    const bool whole = aOutcome == AttemptOutcome::kSuccess ||
                       aOutcome == AttemptOutcome::kServerError ||
                       aOutcome == AttemptOutcome::kShed ||
                       aOutcome == AttemptOutcome::kNotRun;
    if (whole) {
      response = &m_parser->get();
      end.status = response->result_int();
      end.contentType = std::string((*response)[http::field::content_type]);
      end.serverIsLeaving = (*response)[kStateHeader] == "leaving";
      const auto load = (*response)[kLoadHeader];
      std::uint32_t value = 0;
      const auto parsed =
        std::from_chars(load.data(), load.data() + load.size(), value);
      if (!load.empty() && parsed.ec == std::errc()) {
        end.reportedLoad = value;
      }
      if (response->body().size() <= m_owner.m_options.keptAnswerBytes) {
        end.body = response->body();
      }
    }
    m_stream.expires_never();
    m_owner.Finished(shared_from_this(), end, response, aReusable);
  }

  BackendClient& m_owner;
  beast::tcp_stream m_stream;
  std::string m_address;
  beast::flat_buffer m_buffer;
  BackendRequest m_request;
  std::optional<http::response_parser<http::string_body>> m_parser;
  AttemptId m_attempt;
  TimePoint m_deadline;
  TimePoint m_lastUsed;
  ConnectionKind m_kind = ConnectionKind::kNew;
  bool m_wrote = false;
  bool m_received = false;
  bool m_abandoned = false;
};

BackendClient::BackendClient(asio::io_context& aIo,
                             BackendClientOptions aOptions,
                             EndHook aOnEnd)
  : m_io(aIo)
  , m_options(aOptions)
  , m_onEnd(std::move(aOnEnd))
{
}

BackendClient::~BackendClient()
{
  for (const auto& [id, connection] : m_running) {
    connection->Abandon();
  }
}

BackendClient::ConnectionPtr
BackendClient::TakeIdle(const std::string& aAddress)
{
  const auto it = m_idle.find(aAddress);
  if (it == m_idle.end()) {
    return nullptr;
  }
  const TimePoint now = MonotonicNow();
  std::vector<ConnectionPtr>& idle = it->second;
  while (!idle.empty()) {
    ConnectionPtr connection = idle.back();
    idle.pop_back();
    const Duration age = now - connection->LastUsed();
    const bool usable = age < m_options.idleLifetime && connection->IsQuiet();
    if (usable) {
      return connection;
    }
    connection->Abandon();
  }
  return nullptr;
}

ConnectionKind
BackendClient::Start(const AttemptStart& aStart, const BackendRequest& aRequest)
{
  ConnectionPtr connection;
  if (!aStart.freshConnection) {
    connection = TakeIdle(aStart.address);
  }
  const ConnectionKind kind =
    connection == nullptr ? ConnectionKind::kNew : ConnectionKind::kReused;
  if (kind == ConnectionKind::kNew) {
    connection = std::make_shared<Connection>(*this, aStart.address);
  }
  m_running[aStart.id] = connection;
  connection->Start(aStart, aRequest, kind);
  return kind;
}

void
BackendClient::Cancel(AttemptId aAttempt)
{
  const auto it = m_running.find(aAttempt);
  if (it != m_running.end()) {
    const ConnectionPtr connection = it->second;
    m_running.erase(it);
    connection->Abandon();
  }
}

void
BackendClient::Finished(const ConnectionPtr& aConnection,
                        const AttemptEnd& aEnd,
                        BackendResponse* aResponse,
                        bool aReusable)
{
  m_running.erase(aEnd.id);
  m_onEnd(aEnd, aResponse);
  std::vector<ConnectionPtr>& idle = m_idle[aConnection->Address()];
  if (aReusable && idle.size() < m_options.idlePerServer) {
    idle.push_back(aConnection);
  } else {
    aConnection->Abandon();
  }
}

} // namespace fuchsiaramp
