#define BOOST_TEST_MODULE http_server
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "net/http_server.h"
#include "net/monotonic.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
using asio::ip::tcp;

// A server on a free port that responds with 200 and records the paths of its
// requests.
static constexpr std::uint64_t kMaxReportBytes = 1000;

class TestServer
{
public:
  // A budget of 0 bytes has no limit.
  explicit TestServer(std::uint64_t aMaxConnections = 4096,
                      std::uint64_t aBudget = 0)
  {
    BufferBudgetOptions budget;
    budget.limit = aBudget;
    budget.onRoom = [this] {
      asio::post(m_io, [this] { m_budget->ServeWaiting(MonotonicNow()); });
    };
    m_budget = std::make_shared<BufferBudget>(budget);
    {
      tcp::acceptor probe(m_io, { asio::ip::address_v4::loopback(), 0 });
      m_port = probe.local_endpoint().port();
    }
    HttpServerOptions options;
    options.address = "127.0.0.1:" + std::to_string(m_port);
    options.limits.headerBytes = 2048;
    options.maxConnections = aMaxConnections;
    options.budget = m_budget;
    options.bodyLimit = [this](const HttpExchange::Request& aHeader) {
      return aHeader.target() == "/report" ? kMaxReportBytes : m_bodyLimit;
    };
    options.limits.bodyBytes = aBudget == 0 ? 1 << 20 : 64 << 20;
    options.onStalled = [this](const StalledResponse& aResponse) {
      m_stalled.push_back(aResponse);
    };
    options.onRejected =
      [this](const std::string&, std::uint32_t aStatus, const std::string&) {
        m_rejected.push_back(aStatus);
      };
    m_server = std::make_unique<HttpServer>(
      m_io, options, [this](const HttpExchangePtr& aExchange) {
        m_paths.emplace_back(aExchange->Message().target());
        if (m_holds) {
          m_held.emplace_back(aExchange, aExchange->TakeBody());
          return;
        }
        HttpResponse response;
        response.body = m_body;
        response.callerRequestId = "c1";
        aExchange->Respond(std::move(response));
      });
  }

  // Sends the bytes and returns what the server sends until it closes the
  // connection or the time for reading ends.
  std::string Exchange(const std::string& aBytes)
  {
    tcp::socket socket(m_io);
    socket.connect({ asio::ip::address_v4::loopback(), m_port });
    asio::write(socket, asio::buffer(aBytes));
    return ReadFrom(socket);
  }

  // The same on a connection that the server has accepted before; the server
  // does nothing until aDelay after the bytes were sent.
  std::string ExchangeAfterStall(const std::string& aBytes, Duration aDelay)
  {
    tcp::socket socket(m_io);
    socket.connect({ asio::ip::address_v4::loopback(), m_port });
    m_io.run_for(std::chrono::milliseconds(5));
    asio::write(socket, asio::buffer(aBytes));
    std::this_thread::sleep_for(aDelay);
    return ReadFrom(socket);
  }

  std::string ReadFrom(tcp::socket& aSocket)
  {
    aSocket.non_blocking(true);
    std::string response;
    m_closed = false;
    for (int i = 0; i < 200 && !m_closed; ++i) {
      m_io.run_for(std::chrono::milliseconds(2));
      char buffer[4096];
      boost::system::error_code error;
      const std::size_t count = aSocket.read_some(asio::buffer(buffer), error);
      response.append(buffer, count);
      m_closed = error && error != asio::error::would_block;
    }
    return response;
  }

  // Connects, and sends the bytes if there are any.
  tcp::socket Connect(const std::string& aBytes, int aReceiveBuffer = 0)
  {
    tcp::socket socket(m_io);
    socket.open(tcp::v4());
    if (aReceiveBuffer > 0) {
      socket.set_option(asio::socket_base::receive_buffer_size(aReceiveBuffer));
    }
    socket.connect({ asio::ip::address_v4::loopback(), m_port });
    asio::write(socket, asio::buffer(aBytes));
    return socket;
  }
  void RunFor(Duration aSpan) { m_io.run_for(aSpan); }
  // Runs until the condition holds, for 5 s of the server's time at most.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    static constexpr int kTurns = 1000;
    for (int i = 0; i < kTurns && !aCondition(); ++i) {
      m_io.run_for(std::chrono::milliseconds(5));
    }
    return aCondition();
  }
  // Runs one handler at a time until the condition holds.
  bool RunOneUntil(const std::function<bool()>& aCondition)
  {
    static constexpr int kHandlers = 100;
    for (int i = 0; i < kHandlers && !aCondition(); ++i) {
      m_io.run_one_for(std::chrono::milliseconds(5));
    }
    return aCondition();
  }
  // Whether this many connections are in the given state.
  bool Reaches(std::size_t ConnectionCounts::*aState, std::size_t aCount)
  {
    return RunUntil([&] { return m_server->Connections().*aState == aCount; });
  }
  void SetBody(const std::string& aBody) { m_body = aBody; }
  // Keeps requests and their bodies until they are answered.
  void HoldRequests() { m_holds = true; }
  void AnswerHeld()
  {
    const auto held = std::exchange(m_held, {});
    for (const auto& [exchange, body] : held) {
      exchange->Respond(HttpResponse());
    }
  }
  std::size_t Held() const { return m_held.size(); }
  const std::shared_ptr<BufferBudget>& Budget() const { return m_budget; }
  const std::vector<StalledResponse>& Stalled() const { return m_stalled; }
  HttpServer& Server() { return *m_server; }

  bool Closed() const { return m_closed; }
  std::vector<std::string>& Paths() { return m_paths; }
  const std::vector<std::uint32_t>& Rejected() const { return m_rejected; }
  void SetLimits(const HttpLimits& aLimits) { m_server->SetLimits(aLimits); }

private:
  asio::io_context m_io;
  std::uint16_t m_port = 0;
  std::string m_body;
  bool m_holds = false;
  std::shared_ptr<BufferBudget> m_budget;
  std::uint64_t m_bodyLimit = std::numeric_limits<std::uint64_t>::max();
  std::vector<std::pair<HttpExchangePtr, BufferedBodyPtr>> m_held;
  std::vector<StalledResponse> m_stalled;
  std::vector<std::string> m_paths;
  std::vector<std::uint32_t> m_rejected;
  bool m_closed = false;
  std::unique_ptr<HttpServer> m_server;
};

static std::string
StatusOf(const std::string& aResponse)
{
  return aResponse.substr(0, 12);
}

BOOST_AUTO_TEST_CASE(ARequestThatArrivesInTwoPartsIsReadWhole)
{
  TestServer server;
  const std::string start = "POST /a HTTP/1.1\r\nHost: x\r\n";
  for (const std::string& request :
       { start + "Content-Length: 4\r\n\r\nbody",
         start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                 "X-Trailer: t\r\n\r\n" }) {
    for (std::size_t cut = 1; cut < request.size(); ++cut) {
      tcp::socket socket = server.Connect(request.substr(0, cut));
      server.RunFor(std::chrono::milliseconds(1));
      asio::write(socket, asio::buffer(request.substr(cut)));
      server.Paths().clear();
      BOOST_TEST(server.RunUntil([&] { return !server.Paths().empty(); }),
                 "cut after " << cut << " bytes");
    }
  }
}

BOOST_AUTO_TEST_CASE(RespondsToAValidRequest)
{
  TestServer server;
  const std::string response =
    server.Exchange("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  BOOST_TEST(StatusOf(response) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(RejectsUnknownTransferCodingAndIgnoresTheBody)
{
  TestServer server;
  const std::string response =
    server.Exchange("POST /a HTTP/1.1\r\nHost: x\r\n"
                    "Transfer-Encoding: xchunked\r\n\r\n"
                    "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(StatusOf(response) == "HTTP/1.1 501");
  BOOST_TEST(server.Closed());
  BOOST_TEST(server.Paths().empty());
}

BOOST_AUTO_TEST_CASE(RejectsRepeatedTransferCodings)
{
  TestServer server;
  const std::string response = server.Exchange(
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
    "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n");
  BOOST_TEST((StatusOf(response) == "HTTP/1.1 400"));
  BOOST_TEST(server.Paths().empty());
}

BOOST_AUTO_TEST_CASE(RejectsFoldedHeaderLines)
{
  TestServer server;
  const std::string response = server.Exchange(
    "GET /a HTTP/1.1\r\nHost: x\r\nX-Note: one\r\n two\r\n\r\n");
  BOOST_TEST(StatusOf(response) == "HTTP/1.1 400");
  BOOST_TEST(server.Closed());
}

BOOST_AUTO_TEST_CASE(RejectsDotSegments)
{
  for (const char* path : { "/read/../once/x", "/a/%2E%2e/b", "/a/." }) {
    TestServer server;
    const std::string response = server.Exchange(
      std::string("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(StatusOf(response) == "HTTP/1.1 400");
  }
}

BOOST_AUTO_TEST_CASE(RejectsHeadersOverTheSizeLimit)
{
  TestServer server;
  const std::string response = server.Exchange(
    "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(4000, 'a') +
    "\r\n\r\n");
  BOOST_TEST(StatusOf(response) == "HTTP/1.1 431");
}

BOOST_AUTO_TEST_CASE(HandlesPipelinedRequestsInOrder)
{
  TestServer server;
  const std::string response =
    server.Exchange("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
                    "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  BOOST_TEST(server.Paths().size() == 2u);
}

BOOST_AUTO_TEST_CASE(RejectsAndReportsBodiesOverNewLimits)
{
  TestServer server;
  const std::string request = "POST /a HTTP/1.1\r\nHost: x\r\n"
                              "Connection: close\r\n"
                              "Content-Length: 20\r\n\r\n01234567890123456789";
  BOOST_TEST(StatusOf(server.Exchange(request)) == "HTTP/1.1 200");
  HttpLimits limits;
  limits.bodyBytes = 10;
  server.SetLimits(limits);
  BOOST_TEST(StatusOf(server.Exchange(request)) == "HTTP/1.1 413");
  BOOST_TEST(server.Paths().size() == 1u);
  BOOST_REQUIRE(server.Rejected().size() == 1u);
  BOOST_TEST(server.Rejected()[0] == 413u);
}

// Such callers gave up, or waited for a second, before they sent the body.
BOOST_AUTO_TEST_CASE(ACallerThatExpectsContinueGetsItBeforeItSendsTheBody)
{
  for (const char* framing :
       { "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n" }) {
    TestServer server;
    tcp::socket socket =
      server.Connect(std::string("POST /a HTTP/1.1\r\nHost: x\r\n"
                                 "EXPECT: \t100-Continue\r\n") +
                     framing + "\r\n");
    BOOST_TEST(server.ReadFrom(socket) == "HTTP/1.1 100 Continue\r\n\r\n");
    BOOST_TEST(server.Paths().empty());
    const bool chunked = framing[0] == 'T';
    const std::string body = chunked ? "2\r\nab\r\n0\r\n\r\n" : "ab";
    const std::string next = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
    asio::write(socket, asio::buffer(body + next));
    BOOST_TEST(StatusOf(server.ReadFrom(socket)) == "HTTP/1.1 200");
    BOOST_TEST((server.Paths() == std::vector<std::string>{ "/a", "/b" }));
    BOOST_TEST(server.Rejected().empty());
  }
}

BOOST_AUTO_TEST_CASE(NobodyElseGetsAnInterimResponse)
{
  const std::string expect = "Host: x\r\nExpect: 100-continue\r\n";
  const struct
  {
    std::string request;
    const char* status;
  } cases[] = {
    { "POST /a HTTP/1.1\r\n" + expect + "Content-Length: 2\r\n\r\nab",
      "HTTP/1.1 200" },
    { "GET /a HTTP/1.1\r\n" + expect + "\r\n", "HTTP/1.1 200" },
    { "POST /a HTTP/1.0\r\n" + expect + "Content-Length: 2\r\n\r\nab",
      "HTTP/1.0 200" },
    { "POST /a HTTP/1.1\r\n" + expect + "Content-Length: 9000000\r\n\r\n",
      "HTTP/1.1 413" },
    { "POST /a/../b HTTP/1.1\r\n" + expect + "Content-Length: 0\r\n\r\n",
      "HTTP/1.1 400" },
    { "POST /a HTTP/1.1\r\n" + expect +
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 501" },
  };
  for (const auto& item : cases) {
    TestServer server;
    BOOST_TEST(StatusOf(server.Exchange(item.request)) == item.status,
               item.request);
  }
}

BOOST_AUTO_TEST_CASE(ACallerThatWaitsForContinueAndClosesReachesNoHandler)
{
  TestServer server;
  {
    const tcp::socket socket =
      server.Connect("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                     "Expect: 100-continue\r\n\r\n");
    server.RunFor(std::chrono::milliseconds(50));
  }
  BOOST_TEST(
    server.RunUntil([&] { return server.Server().ConnectionCount() == 0; }));
  BOOST_TEST(server.Paths().empty());
}

// A close and a half-close look the same, so that the work of a caller that has
// gone can be cancelled.
BOOST_AUTO_TEST_CASE(AHalfClosedCallerCountsAsGoneButGetsTheResponse)
{
  asio::io_context io;
  std::uint16_t port = 0;
  {
    tcp::acceptor probe(io, { asio::ip::address_v4::loopback(), 0 });
    port = probe.local_endpoint().port();
  }
  HttpServerOptions options;
  options.address = "127.0.0.1:" + std::to_string(port);
  HttpExchangePtr exchange;
  bool gone = false;
  HttpServer server(io, options, [&](const HttpExchangePtr& aExchange) {
    exchange = aExchange;
    exchange->OnDisconnect([&] { gone = true; });
  });
  tcp::socket socket(io);
  socket.connect({ asio::ip::address_v4::loopback(), port });
  asio::write(socket,
              asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
  const auto run = [&](const auto& aCondition) {
    for (int i = 0; i < 1000 && !aCondition(); ++i) {
      io.run_for(std::chrono::milliseconds(2));
    }
    return aCondition();
  };
  BOOST_REQUIRE(run([&] { return exchange != nullptr; }));
  BOOST_TEST(!gone);
  socket.shutdown(tcp::socket::shutdown_send);
  BOOST_TEST(run([&] { return gone; }));
  exchange->Respond(HttpResponse());
  io.run_for(std::chrono::milliseconds(20));
  char buffer[1024];
  const std::size_t count = socket.read_some(asio::buffer(buffer));
  BOOST_TEST(StatusOf(std::string(buffer, count)) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(ClosesTheConnectionOnHeaderTimeout)
{
  TestServer server;
  HttpLimits limits;
  limits.headerTimeout = std::chrono::milliseconds(20);
  server.SetLimits(limits);
  BOOST_TEST(server.Exchange("GET /a HTTP/1.1\r\nHost: x\r\n").empty());
  BOOST_TEST(server.Closed());
}

// The server finds the request and the end of its idle timeout at the same
// time.
BOOST_AUTO_TEST_CASE(ARequestThatCrossesTheIdleTimeoutIsAnsweredIfItIsHandled)
{
  for (int i = 0; i < 20; ++i) {
    TestServer server;
    HttpLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(30);
    server.SetLimits(limits);
    const std::string response = server.ExchangeAfterStall(
      "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", std::chrono::milliseconds(40));
    BOOST_TEST(server.Paths().empty() == response.empty());
  }
}

BOOST_AUTO_TEST_CASE(AResponseIsDeliveredWholeAlthoughMoreRequestsWereSent)
{
  TestServer server;
  server.Server().CloseAfterResponses();
  server.SetBody(std::string(300'000, 'x'));
  static constexpr int kReceiveBuffer = 4 << 10;
  const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  tcp::socket socket = server.Connect(request + request, kReceiveBuffer);
  BOOST_TEST(server.RunUntil([&] { return !server.Paths().empty(); }));
  asio::write(socket, asio::buffer(request));
  const std::string response = server.ReadFrom(socket);
  BOOST_TEST(response.size() > 300'000u);
  BOOST_TEST(server.Paths().size() == 1u);
}

BOOST_AUTO_TEST_CASE(ClosesIdleConnectionsButAnswersARequestThatHasArrived)
{
  TestServer server;
  tcp::socket idle = server.Connect("");
  tcp::socket busy = server.Connect("");
  BOOST_TEST(server.Reaches(&ConnectionCounts::idle, 2));
  server.Server().CloseAfterResponses();
  asio::write(busy,
              asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n"
                                       "\r\n")));
  server.Server().CloseIdleConnections();
  BOOST_TEST(StatusOf(server.ReadFrom(busy)) == "HTTP/1.1 200");
  BOOST_TEST(server.ReadFrom(idle).empty());
  BOOST_TEST(server.Closed());
  BOOST_TEST(server.Server().Connections().idle == 0u);
}

BOOST_AUTO_TEST_CASE(DoesNotWaitWithoutBoundForAPeerToClose)
{
  TestServer server;
  server.Server().CloseAfterResponses();
  const tcp::socket socket =
    server.Connect("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(server.Reaches(&ConnectionCounts::closing, 1));
  BOOST_TEST(
    server.RunUntil([&] { return server.Server().ConnectionCount() == 0; }));
}

BOOST_AUTO_TEST_CASE(AConnectionThatWasAnnouncedAsKeptIsKept)
{
  TestServer server;
  server.SetBody(std::string(6'000'000, 'x'));
  static constexpr int kReceiveBuffer = 4 << 10;
  const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  tcp::socket socket = server.Connect(request, kReceiveBuffer);
  BOOST_TEST(server.Reaches(&ConnectionCounts::responding, 1));
  server.Server().CloseAfterResponses();
  socket.non_blocking(true);
  std::string response;
  for (int i = 0; i < 20'000 && response.size() < 6'000'000u; ++i) {
    server.RunFor(std::chrono::microseconds(200));
    char buffer[65536];
    boost::system::error_code error;
    response.append(buffer, socket.read_some(asio::buffer(buffer), error));
  }
  BOOST_TEST(response.find("Connection: close") == std::string::npos);
  server.SetBody("ok");
  socket.non_blocking(false);
  asio::write(socket, asio::buffer(request));
  const std::string next = server.ReadFrom(socket);
  BOOST_TEST(next.find("HTTP/1.1 200") != std::string::npos);
  BOOST_TEST(next.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ARequestIsHeldToTheLimitsInForceWhenItArrives)
{
  TestServer server;
  HttpLimits limits;
  limits.bodyBytes = 10;
  server.SetLimits(limits);
  tcp::socket socket = server.Connect("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(StatusOf(server.ReadFrom(socket)) == "HTTP/1.1 200");
  limits.bodyBytes = 1000;
  server.SetLimits(limits);
  socket.non_blocking(false);
  asio::write(socket,
              asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: x\r\n"
                                       "Content-Length: 20\r\n\r\n"
                                       "01234567890123456789")));
  BOOST_TEST(StatusOf(server.ReadFrom(socket)) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(AConnectionThatWaitsToBeAcceptedIsServedWhenAcceptingStops)
{
  TestServer server;
  server.Server().CloseAfterResponses();
  tcp::socket socket = server.Connect("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  server.Server().StopAccepting();
  BOOST_TEST(StatusOf(server.ReadFrom(socket)) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(ConnectionsThatWaitForTheirPeersLeaveRoomForOthers)
{
  TestServer server(2);
  server.Server().CloseAfterResponses();
  const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  const tcp::socket first = server.Connect(request);
  const tcp::socket second = server.Connect(request);
  BOOST_TEST(server.Reaches(&ConnectionCounts::closing, 2));
  BOOST_TEST(StatusOf(server.Exchange(request)) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(NoneOfSeveralWaitingConnectionsIsDroppedWhenAcceptingStops)
{
  TestServer server;
  server.Server().CloseAfterResponses();
  const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  tcp::socket first = server.Connect(request);
  tcp::socket second = server.Connect(request);
  tcp::socket third = server.Connect(request);
  BOOST_TEST(
    server.RunOneUntil([&] { return server.Server().ConnectionCount() == 1; }));
  server.Server().StopAccepting();
  BOOST_TEST(StatusOf(server.ReadFrom(first)) == "HTTP/1.1 200");
  BOOST_TEST(StatusOf(server.ReadFrom(second)) == "HTTP/1.1 200");
  BOOST_TEST(StatusOf(server.ReadFrom(third)) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(AHeaderLineThatIsTooLongForTheParserEndsNoProcess)
{
  TestServer server;
  HttpLimits limits;
  limits.headerBytes = 1 << 20; // the largest that settings allow
  server.SetLimits(limits);
  std::string response;
  BOOST_CHECK_NO_THROW(
    response = server.Exchange("GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " +
                               std::string(70'000, 'a') + "\r\n\r\n"));
  BOOST_TEST(StatusOf(response) == "HTTP/1.1 431");
}

BOOST_AUTO_TEST_CASE(ATrailerThatIsTooLongForTheParserEndsNoProcess)
{
  TestServer server;
  std::string response;
  BOOST_CHECK_NO_THROW(
    response = server.Exchange("POST /a HTTP/1.1\r\nHost: x\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "4\r\nbody\r\n0\r\nX-Long: " +
                               std::string(65'534, 'a') + "\r\n\r\n"));
  BOOST_TEST(!response.empty());
}

static std::string
Post(std::size_t aLength)
{
  return "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(aLength) + "\r\n\r\n";
}

static constexpr std::size_t kMega = 1'000'000;

// Memory that stayed with the connection of a served request would not be
// counted.
BOOST_AUTO_TEST_CASE(ABodyCountsUntilItsRequestIsAnswered)
{
  TestServer server(4096, 8 * kMega);
  server.HoldRequests();
  tcp::socket socket = server.Connect(Post(kMega));
  asio::write(socket, asio::buffer(std::string(kMega, 'x')));
  BOOST_TEST(server.RunUntil([&] { return server.Held() == 1; }));
  BOOST_TEST(server.Budget()->Used() == kMega);
  server.AnswerHeld();
  BOOST_TEST(StatusOf(server.ReadFrom(socket)) == "HTTP/1.1 200");
  BOOST_TEST(server.Budget()->Used() == 0U);
}

// The budget is 8 MB, of which requests use 5.
BOOST_AUTO_TEST_CASE(ABodyThatCannotFitIsRejectedBeforeItIsRead)
{
  TestServer server(4096, 8 * kMega);
  tcp::socket socket = server.Connect(Post(6 * kMega));
  BOOST_TEST(StatusOf(server.ReadFrom(socket)) == "HTTP/1.1 413");
  BOOST_TEST(server.Paths().empty());
  BOOST_TEST(server.Budget()->Rejected() == 1U);
  BOOST_TEST(server.Budget()->Used() == 0U);
}

// Without a length, the rejection comes when the room is exceeded.
// Guards against a host whose memory is filled by bodies that are far larger
// than what their calls need.
BOOST_AUTO_TEST_CASE(ABodyIsLimitedByWhatItsHeaderAsksFor)
{
  const std::string chunk = "1f4\r\n" + std::string(500, 'x') + "\r\n";
  const auto post = [](const std::string& aPath, const std::string& aRest) {
    return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\n" + aRest;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  TestServer server;
  BOOST_TEST(
    server
      .Exchange(post("/report",
                     "Content-Length: 1000\r\n\r\n" + std::string(1000, 'x')))
      .starts_with("HTTP/1.1 200"));
  BOOST_TEST(
    server.Exchange(post("/report", chunked + chunk + chunk + "0\r\n\r\n"))
      .starts_with("HTTP/1.1 200"));
  BOOST_TEST(server.Exchange(post("/report", "Content-Length: 1001\r\n\r\n"))
               .starts_with("HTTP/1.1 413"));
  BOOST_TEST(server.Exchange(post("/report", chunked + chunk + chunk + chunk))
               .starts_with("HTTP/1.1 413"));
  BOOST_TEST(
    server
      .Exchange(post("/lists", chunked + chunk + chunk + chunk + "0\r\n\r\n"))
      .starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(AChunkedBodyIsHeldToTheBudget)
{
  TestServer server(4096, 8 * kMega);
  tcp::socket socket = server.Connect("POST /a HTTP/1.1\r\nHost: x\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "f4240\r\n" + std::string(kMega, 'x') + "\r\n";
  socket.non_blocking(true);
  std::size_t sent = 0;
  server.RunUntil([&] {
    boost::system::error_code error;
    const std::size_t at = sent % chunk.size();
    sent += socket.write_some(
      asio::buffer(chunk.data() + at, chunk.size() - at), error);
    return !server.Rejected().empty();
  });
  BOOST_REQUIRE(server.Rejected().size() == 1U);
  BOOST_TEST(server.Rejected()[0] == 413U);
  BOOST_TEST(server.Budget()->Peak() <= 5 * kMega);
  BOOST_TEST(server.Paths().empty());
  BOOST_TEST(server.Budget()->Used() == 0U);
}

BOOST_AUTO_TEST_CASE(AChunkedBodyArrivesWhole)
{
  TestServer server(4096, 8 * kMega);
  server.HoldRequests();
  tcp::socket socket = server.Connect("POST /a HTTP/1.1\r\nHost: x\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n");
  socket.non_blocking(true);
  const std::string body =
    "f4240\r\n" + std::string(kMega, 'x') + "\r\n0\r\n\r\n";
  std::size_t sent = 0;
  server.RunUntil([&] {
    boost::system::error_code error;
    sent += socket.write_some(asio::buffer(body) + sent, error);
    return server.Held() == 1;
  });
  BOOST_TEST(server.Held() == 1U);
  BOOST_TEST(server.Budget()->Used() >= kMega);
  server.AnswerHeld();
  BOOST_TEST(StatusOf(server.ReadFrom(socket)) == "HTTP/1.1 200");
  BOOST_TEST(server.Budget()->Used() == 0U);
}

// A body that waits for room is not read; small requests are served meanwhile.
BOOST_AUTO_TEST_CASE(ABodyWaitsForRoomWhileSmallRequestsAreServed)
{
  TestServer server(4096, 8 * kMega);
  server.HoldRequests();
  tcp::socket first = server.Connect(Post(4 * kMega));
  std::thread writer(
    [&] { asio::write(first, asio::buffer(std::string(4 * kMega, 'x'))); });
  BOOST_TEST(server.RunUntil([&] { return server.Held() == 1; }));
  writer.join();
  tcp::socket second =
    server.Connect("POST /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
                   "Content-Length: 1000000\r\n\r\n");
  BOOST_TEST(server.RunUntil([&] { return server.Budget()->Waiting() == 1; }));
  BOOST_TEST(server.ReadFrom(second).empty());
  tcp::socket small = server.Connect(Post(1000) + std::string(1000, 'x'));
  BOOST_TEST(server.RunUntil([&] { return server.Held() == 2; }));
  server.AnswerHeld();
  BOOST_TEST(server.ReadFrom(second) == "HTTP/1.1 100 Continue\r\n\r\n");
  asio::write(second, asio::buffer(std::string(kMega, 'x')));
  BOOST_TEST(server.RunUntil([&] { return server.Held() == 1; }));
}

BOOST_AUTO_TEST_CASE(ABodyThatFindsNoRoomInTimeIsRefused)
{
  TestServer server(4096, 8 * kMega);
  BufferReservation held;
  BOOST_TEST(
    server.Budget()->TryReserve(BufferUse::kResponse, 7 * kMega, held));
  tcp::socket socket = server.Connect(Post(kMega));
  BOOST_TEST(server.RunUntil([&] { return server.Budget()->Waiting() == 1; }));
  server.Budget()->ServeWaiting(MonotonicNow() + std::chrono::seconds(3));
  const std::string response = server.ReadFrom(socket);
  BOOST_TEST(StatusOf(response) == "HTTP/1.1 503");
  BOOST_TEST(response.find("Retry-After: 1\r\n") != std::string::npos);
  BOOST_TEST(server.Paths().empty());
}

// The response stayed in memory for as long as its reader liked.
BOOST_AUTO_TEST_CASE(AReaderThatAcceptsNothingIsDisconnected)
{
  TestServer server;
  HttpLimits limits;
  limits.writeTimeout = std::chrono::milliseconds(200);
  server.SetLimits(limits);
  server.SetBody(std::string(30 * kMega, 'x'));
  const tcp::socket socket =
    server.Connect("GET /a HTTP/1.1\r\nHost: x\r\n\r\n", 4 << 10);
  BOOST_TEST(server.Reaches(&ConnectionCounts::responding, 1));
  BOOST_TEST(
    server.RunUntil([&] { return server.Server().ConnectionCount() == 0; }));
  BOOST_TEST(server.Server().StalledWriters() == 1U);
  BOOST_REQUIRE(server.Stalled().size() == 1U);
  BOOST_TEST(server.Stalled()[0].callerRequestId == "c1");
  BOOST_TEST(server.Stalled()[0].held == 30 * kMega);
}

// A slow reader takes megabytes from the buffers of the sockets before a write
// of the server makes progress.
BOOST_AUTO_TEST_CASE(AReaderThatIsSlowButReadsIsNotDisconnected)
{
  TestServer server;
  HttpLimits limits;
  limits.writeTimeout = std::chrono::milliseconds(200);
  server.SetLimits(limits);
  server.SetBody(std::string(30 * kMega, 'x'));
  tcp::socket socket =
    server.Connect("GET /a HTTP/1.1\r\nHost: x\r\n\r\n", 4 << 10);
  BOOST_TEST(server.Reaches(&ConnectionCounts::responding, 1));
  socket.non_blocking(true);
  std::vector<char> buffer(16 << 10);
  for (int i = 0; i < 60; ++i) {
    server.RunFor(std::chrono::milliseconds(20));
    boost::system::error_code error;
    socket.read_some(asio::buffer(buffer), error);
  }
  BOOST_TEST(server.Server().StalledWriters() == 0U);
  BOOST_TEST(server.Server().Connections().responding == 1U);
}

} // namespace fuchsiaramp
