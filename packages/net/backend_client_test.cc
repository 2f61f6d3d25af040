#define BOOST_TEST_MODULE backend_client
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "net/backend_client.h"
#include "net/monotonic.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

static constexpr std::size_t kMaxResponseBytes = 100'000;
static constexpr std::size_t kServerBytes = 1'000'000;

// What a scripted server does after it received a request.
struct Script
{
  std::string bytes;           // sent at once
  std::string endless{};       // sent again and again after that, if not empty
  std::string afterResponse{}; // sent 30 ms later
  bool closes = false;         // in order
  bool resets = false;
  bool bytewise = false; // one byte a write
};

// A server on loopback that plays one script for each request, on as many
// connections as the client opens.
class ScriptedServer
{
public:
  explicit ScriptedServer(asio::io_context& aIo)
    : m_io(aIo)
    , m_acceptor(aIo, { asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  std::vector<Script> m_scripts; // by request
  std::size_t m_requests = 0;
  std::size_t m_connections = 0;
  std::size_t m_endlessBytes = 0; // taken by the client's side
  // Written before what a script says, on connections on which a script has
  // written exactly this.
  std::string m_copiesOnUse;

private:
  using SocketPtr = std::shared_ptr<tcp::socket>;

  void Accept()
  {
    auto socket = std::make_shared<tcp::socket>(m_io);
    m_acceptor.async_accept(
      *socket, [this, socket](const boost::system::error_code& aError) {
        if (!aError) {
          ++m_connections;
          Read(socket);
          Accept();
        }
      });
  }

  void Read(const SocketPtr& aSocket)
  {
    auto buffer = std::make_shared<std::vector<char>>(4096);
    aSocket->async_read_some(
      asio::buffer(*buffer),
      [this, aSocket, buffer](const boost::system::error_code& aError,
                              std::size_t) {
        if (aError || m_requests >= m_scripts.size()) {
          return;
        }
        const Script& script = m_scripts[m_requests++];
        if (m_copying.count(aSocket) != 0) {
          boost::system::error_code ignored;
          asio::write(*aSocket, asio::buffer(m_copiesOnUse), ignored);
        }
        if (!m_copiesOnUse.empty() && script.bytes == m_copiesOnUse) {
          m_copying.insert(aSocket);
        }
        Play(aSocket, script);
        Read(aSocket);
      });
  }

  void Play(const SocketPtr& aSocket, const Script& aScript)
  {
    if (aScript.bytewise) {
      PlayBytewise(aSocket, aScript, 0);
      return;
    }
    boost::system::error_code error;
    asio::write(*aSocket, asio::buffer(aScript.bytes), error);
    if (!aScript.endless.empty()) {
      SendEndless(aSocket, std::make_shared<std::string>(aScript.endless));
    }
    if (!aScript.afterResponse.empty()) {
      auto timer = std::make_shared<asio::steady_timer>(
        m_io, std::chrono::milliseconds(30));
      timer->async_wait([aSocket, timer, bytes = aScript.afterResponse](
                          const boost::system::error_code&) {
        boost::system::error_code ignored;
        asio::write(*aSocket, asio::buffer(bytes), ignored);
      });
    }
    End(aSocket, aScript);
  }

  static void End(const SocketPtr& aSocket, const Script& aScript)
  {
    boost::system::error_code error;
    if (aScript.resets) {
      aSocket->set_option(asio::socket_base::linger(true, 0), error);
    }
    if (aScript.resets || aScript.closes) {
      aSocket->close(error);
    }
  }

  void PlayBytewise(const SocketPtr& aSocket, Script aScript, std::size_t aAt)
  {
    if (aAt >= aScript.bytes.size()) {
      End(aSocket, aScript);
      return;
    }
    boost::system::error_code error;
    asio::write(*aSocket, asio::buffer(&aScript.bytes[aAt], 1), error);
    asio::post(m_io, [this, aSocket, script = std::move(aScript), aAt] {
      PlayBytewise(aSocket, script, aAt + 1);
    });
  }

  void SendEndless(const SocketPtr& aSocket,
                   const std::shared_ptr<std::string>& aBytes)
  {
    asio::async_write(
      *aSocket,
      asio::buffer(*aBytes),
      [this, aSocket, aBytes](const boost::system::error_code& aError,
                              std::size_t aCount) {
        m_endlessBytes += aCount;
        if (!aError) {
          SendEndless(aSocket, aBytes);
        }
      });
  }

  asio::io_context& m_io;
  tcp::acceptor m_acceptor;
  std::set<SocketPtr> m_copying;
};

static std::string
Response(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nX-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

// A refusal. Without an id, it has no header that names its request.
static std::string
Refusal(const std::string& aId = "", int aStatus = 503)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Refused\r\n" +
         (aId.empty() ? "" : "X-Id: " + aId + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

class ClientFixture
{
public:
  struct Ended
  {
    AttemptOutcome outcome = AttemptOutcome::kCancelled;
    std::string body;
    Duration after{};
    ConnectionKind connection = ConnectionKind::kNew;
    bool isOversized = false;
  };

  // A budget of 0 bytes has no limit.
  explicit ClientFixture(std::uint64_t aBudget = 0,
                         std::uint64_t aMaxResponseBytes = kMaxResponseBytes)
    : m_server(m_io)
    , m_address(m_server.Address())
  {
    BufferBudgetOptions budget;
    budget.limit = aBudget;
    m_budget = std::make_shared<BufferBudget>(budget);
    BackendClientOptions options;
    options.budget = m_budget;
    options.serverBytes = kServerBytes;
    options.maxResponseBytes = aMaxResponseBytes;
    options.acceptsUnframedResponses = true;
    m_client = std::make_unique<BackendClient>(
      m_io,
      options,
      [this](const BackendResponse& aResponse, const BackendRequest& aRequest) {
        return Classify(aResponse, aRequest);
      },
      [this](const AttemptEnd& aEnd,
             BackendResponse* aResponse,
             const BufferReservation&) {
        m_ended = Ended{ aEnd.outcome,
                         aResponse == nullptr ? "" : aResponse->body(),
                         MonotonicNow() - m_startedAt,
                         ConnectionKind::kNew,
                         aEnd.isOversized };
      });
  }

  ConnectionKind Start(const std::string& aId, bool aNewConnection = false)
  {
    AttemptStart start;
    start.id = AttemptId(++m_lastAttempt);
    start.address = m_address;
    start.callerRequestId = aId;
    start.forwards = m_forwards;
    m_startedAt = MonotonicNow();
    start.deadline = m_startedAt + m_timeout;
    start.requiresNewConnection = aNewConnection;
    BackendRequest request{ http::verb::get, "/x", 11 };
    request.body() = m_body;
    request.content_length(SharedBody::size(m_body));
    request.set(http::field::host, "service");
    request.set("X-Id", aId);
    m_ended.reset();
    return m_client->Start(start, request);
  }

  // Sends a request with this id and returns how it ended.
  Ended Send(const std::string& aId, bool aNewConnection = false)
  {
    const ConnectionKind connection = Start(aId, aNewConnection);
    const TimePoint until = MonotonicNow() + std::chrono::seconds(3);
    while (!m_ended && MonotonicNow() < until) {
      m_io.run_one_for(std::chrono::milliseconds(10));
    }
    BOOST_REQUIRE(m_ended);
    m_ended->connection = connection;
    return *m_ended;
  }

  ClassifiedResponse Classify(const BackendResponse& aResponse,
                              const BackendRequest& aRequest) const
  {
    ClassifiedResponse classified;
    if (aResponse.result_int() == 503) {
      classified.outcome = AttemptOutcome::kShed;
    } else if (aResponse.result_int() == 421) {
      classified.outcome = AttemptOutcome::kOtherServer;
    } else if (aResponse.result_int() >= 500) {
      classified.outcome = AttemptOutcome::kServerError;
    }
    if (m_hasIds) {
      const auto id = aResponse["X-Id"];
      classified.lacksRequestId = id.empty();
      classified.hasRequestId = id == aRequest["X-Id"];
      classified.isForOtherRequest = !id.empty() && !classified.hasRequestId;
    }
    return classified;
  }

  void Wait(int aMilliseconds)
  {
    m_io.run_for(std::chrono::milliseconds(aMilliseconds));
  }

  asio::io_context m_io;
  ScriptedServer m_server;
  std::string m_address; // to which requests are sent
  bool m_hasIds = true;  // whether responses have ids
  bool m_forwards = false;
  BufferedBodyPtr m_body; // of requests
  Duration m_timeout = std::chrono::seconds(2);
  std::shared_ptr<BufferBudget> m_budget;
  std::unique_ptr<BackendClient> m_client;
  std::optional<Ended> m_ended;
  TimePoint m_startedAt;
  std::uint64_t m_lastAttempt = 0;
};

// A response without end ends the attempt as broken once it exceeds the limit,
// well before the deadline.
static void
ExpectBounded(const Script& aScript)
{
  ClientFixture fixture;
  fixture.m_server.m_scripts = { aScript };
  const auto ended = fixture.Send("1");
  BOOST_TEST((ended.outcome == AttemptOutcome::kBroken));
  BOOST_TEST(ToSeconds(ended.after) < 1.0);
  fixture.Wait(20);
  // The sockets of both sides may hold some megabytes.
  BOOST_TEST(fixture.m_server.m_endlessBytes < 16'000'000U);
}

BOOST_AUTO_TEST_CASE(BytesWithoutEndInTheStatusLine)
{
  ExpectBounded({ "HTTP/1.1 200 ", std::string(1000, 'x'), "", false, false });
}

BOOST_AUTO_TEST_CASE(BytesWithoutEndThatAreNoResponse)
{
  ExpectBounded({ "", std::string(1000, 'x'), "", false, false });
}

BOOST_AUTO_TEST_CASE(HeaderFieldsWithoutEnd)
{
  ExpectBounded({ "HTTP/1.1 200 OK\r\n", "X-More: yes\r\n", "", false, false });
}

BOOST_AUTO_TEST_CASE(AHeaderFieldWithoutEnd)
{
  ExpectBounded({ "HTTP/1.1 200 OK\r\nX-More: ",
                  std::string(1000, 'y'),
                  "",
                  false,
                  false });
}

BOOST_AUTO_TEST_CASE(ChunksWithoutEnd)
{
  ExpectBounded(
    { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
      "64\r\n" + std::string(100, 'x') + "\r\n",
      "",
      false,
      false });
}

BOOST_AUTO_TEST_CASE(AChunkSizeWithoutEnd)
{
  ExpectBounded(
    { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=",
      std::string(1000, 'x'),
      "",
      false,
      false });
}

BOOST_AUTO_TEST_CASE(TrailersWithoutEnd)
{
  ExpectBounded(
    { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "X-More: yes\r\n",
      "",
      false,
      false });
}

BOOST_AUTO_TEST_CASE(ABodyWithoutLengthThatDoesNotEnd)
{
  ExpectBounded({ "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
                  std::string(1000, 'x'),
                  "",
                  false,
                  false });
}

BOOST_AUTO_TEST_CASE(ResponsesToOtherRequestsWithoutEnd)
{
  ExpectBounded({ "", Response("other", "x"), "", false, false });
}

BOOST_AUTO_TEST_CASE(InterimResponsesWithoutEnd)
{
  ExpectBounded(
    { "", "HTTP/1.1 100 Continue\r\nX-Id: other\r\n\r\n", "", false, false });
}

// Bytes after a complete response belong to no request. The response is good,
// but the connection is not used again.
BOOST_AUTO_TEST_CASE(BytesWithoutEndAfterACompleteResponse)
{
  ClientFixture fixture;
  fixture.m_server.m_scripts = {
    { Response("1", "one"), std::string(1000, 'x'), "", false, false },
    { Response("2", "two"), "", "", false, false }
  };
  BOOST_TEST(fixture.Send("1").body == "one");
  fixture.Wait(20);
  BOOST_TEST(fixture.Send("2").body == "two");
  BOOST_TEST(fixture.m_server.m_connections == 2U);
  BOOST_TEST(fixture.m_server.m_endlessBytes < 16'000'000U);
}

// A second copy of a response that comes while the connection is idle, or just
// after the next request, does not reach the next caller.
BOOST_AUTO_TEST_CASE(ALateSecondCopyOnAnIdleConnection)
{
  ClientFixture fixture;
  const std::string copy = Response("1", "one");
  fixture.m_server.m_scripts = {
    { copy, "", copy, false, false },
    { Response("2", "two"), "", "", false, false }
  };
  BOOST_TEST(fixture.Send("1").body == "one");
  fixture.Wait(60);
  BOOST_TEST(fixture.Send("2").body == "two");
}

BOOST_AUTO_TEST_CASE(ALateSecondCopyAfterTheNextRequest)
{
  ClientFixture fixture;
  const std::string copy = Response("1", "one");
  fixture.m_server.m_scripts = {
    { copy, "", "", false, false },
    { copy, "", Response("2", "two"), false, false },
    { Response("3", "three"), "", "", false, false }
  };
  BOOST_TEST(fixture.Send("1").body == "one");
  BOOST_TEST(fixture.Send("2").body == "two");
  // A connection on which copies appear is not used again.
  BOOST_TEST(fixture.Send("3").body == "three");
  BOOST_TEST(fixture.m_server.m_connections == 2U);
}

// A response that ends early is never complete.
BOOST_AUTO_TEST_CASE(ResponsesThatBreakOff)
{
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
  const std::vector<std::string> parts = {
    "HTTP/1.1 200 OK\r\nX-Id",
    head + "Content-Length: 10\r\n\r\nhalf",
    head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    head + "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
  };
  for (const std::string& part : parts) {
    for (const bool resets : { false, true }) {
      ClientFixture fixture;
      fixture.m_server.m_scripts = { { part, "", "", !resets, resets } };
      const auto ended = fixture.Send("1", true);
      BOOST_TEST_CONTEXT(part << (resets ? " reset" : " closed"))
      BOOST_TEST((ended.outcome == AttemptOutcome::kBroken));
    }
  }
}

BOOST_AUTO_TEST_CASE(AResponseWithoutLengthThatIsReset)
{
  ClientFixture fixture;
  fixture.m_server.m_scripts = {
    { "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalf", "", "", false, true }
  };
  BOOST_TEST((fixture.Send("1", true).outcome == AttemptOutcome::kBroken));
}

// Idle connections that their server closed do not keep a descriptor.
BOOST_AUTO_TEST_CASE(ConnectionsThatTheServerClosedAreReleased)
{
  ClientFixture fixture;
  fixture.m_server.m_scripts = {
    { Response("1", "one"), "", "", true, false }
  };
  BOOST_TEST(fixture.Send("1").body == "one");
  fixture.Wait(20);
  BOOST_TEST(fixture.m_client->IdleCount() == 1U);
  fixture.m_client->CloseUnusableConnections();
  BOOST_TEST(fixture.m_client->IdleCount() == 0U);
}

// An address with a host name was connected to as 0.0.0.0, thus as this host.
BOOST_AUTO_TEST_CASE(AnAddressThatCannotBeParsedIsNotConnectedTo)
{
  ClientFixture fixture;
  const std::string port = fixture.m_server.Address().substr(10);
  const std::vector<std::string> addresses = { "",
                                               ":" + port,
                                               "localhost:" + port,
                                               "127.0.0.1",
                                               "127.0.0.1:",
                                               "127.0.0.1:65536",
                                               "127.0.0.1:-1",
                                               "127.0.0.1:" + port + "x",
                                               port };
  for (const std::string& address : addresses) {
    fixture.m_server.m_scripts = {
      { Response("1", "one"), "", "", true, false }
    };
    fixture.m_server.m_requests = 0;
    fixture.m_address = address;
    BOOST_TEST_CONTEXT("address '" << address << "'")
    {
      BOOST_TEST((fixture.Send("1").outcome == AttemptOutcome::kRefused));
      BOOST_TEST(fixture.m_server.m_connections == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnAttemptAtAnAddressThatCannotBeParsedCanBeCancelled)
{
  ClientFixture fixture;
  fixture.m_address = "nowhere";
  fixture.Start("1");
  fixture.m_client->Cancel(AttemptId(1));
  fixture.Wait(20);
  BOOST_TEST(!fixture.m_ended.has_value());
  BOOST_TEST(fixture.m_client->Running() == 0U);
}

static bool
ProvesNotRun(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::kShed ||
         aOutcome == AttemptOutcome::kOtherServer;
}

// A refusal is written once more; the server runs the next request.
BOOST_AUTO_TEST_CASE(ARefusalWithoutIdOnAReusedConnectionProvesNothing)
{
  for (const int status : { 503, 421 }) {
    for (const bool late : { false, true }) {
      ClientFixture fixture;
      const std::string copy = Refusal("", status);
      const std::string own = Response("2", "two");
      fixture.m_server.m_scripts = {
        { Response("1", "one"), "", "", false, false },
        { late ? "" : copy + own, "", late ? copy + own : "", false, false },
        { Response("3", "three"), "", "", false, false }
      };
      BOOST_TEST(fixture.Send("1").body == "one");
      const auto ended = fixture.Send("2");
      BOOST_TEST_CONTEXT("status " << status << (late ? " late" : ""))
      {
        BOOST_TEST((ended.connection == ConnectionKind::kReused));
        BOOST_TEST((ended.outcome == AttemptOutcome::kSilent));
        BOOST_TEST(fixture.Send("3").body == "three");
        BOOST_TEST(fixture.m_server.m_connections == 2U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ARefusalWithoutIdOnANewConnectionIsOfTheRequest)
{
  for (const int status : { 503, 421 }) {
    ClientFixture fixture;
    fixture.m_server.m_scripts = {
      { Refusal("", status), "", "", false, false },
      { Response("2", "two"), "", "", false, false }
    };
    BOOST_TEST(ProvesNotRun(fixture.Send("1").outcome));
    BOOST_TEST((fixture.Send("2").connection == ConnectionKind::kNew));
  }
}

BOOST_AUTO_TEST_CASE(ARefusalWithoutIdAfterAnotherResponseProvesNothing)
{
  ClientFixture fixture;
  fixture.m_server.m_scripts = {
    { Response("other", "x") + Refusal(), "", "", false, false },
  };
  BOOST_TEST((fixture.Send("1").outcome == AttemptOutcome::kBroken));
}

// The same request is sent again to the server, which runs it and writes its
// earlier refusal once more.
BOOST_AUTO_TEST_CASE(ARefusedRequestIsNotSentOnTheSameConnectionAgain)
{
  for (const bool late : { false, true }) {
    ClientFixture fixture;
    const std::string copy = Refusal("1");
    const std::string own = Response("1", "one");
    fixture.m_server.m_scripts = {
      { copy, "", "", false, false },
      { late ? "" : own, "", late ? own : "", false, false },
      { Response("2", "two"), "", "", false, false }
    };
    fixture.m_server.m_copiesOnUse = copy;
    BOOST_TEST((fixture.Send("1").outcome == AttemptOutcome::kShed));
    const auto again = fixture.Send("1");
    BOOST_TEST((again.outcome == AttemptOutcome::kSuccess));
    BOOST_TEST(again.body == "one");
    // Another request tells the copy from its own response.
    BOOST_TEST(fixture.Send("2").body == "two");
  }
}

BOOST_AUTO_TEST_CASE(AnyTimeOfACopyOfARefusalLeavesTheNextResponseWhole)
{
  const std::string copy = Refusal("1");
  const std::string own = Response("2", "two");
  const std::vector<std::pair<Script, Script>> cases = {
    // with the refusal, in one segment
    { { copy + copy, "", "", false, false }, { own, "", "", false, false } },
    // while the connection is idle
    { { copy, "", copy, false, false }, { own, "", "", false, false } },
    // after the next request was written
    { { copy, "", "", false, false }, { copy + own, "", "", false, false } },
    { { copy, "", "", false, false }, { copy, "", own, false, false } },
  };
  for (const auto& [first, second] : cases) {
    for (const int pause : { 0, 60 }) {
      ClientFixture fixture;
      fixture.m_server.m_scripts = { first, second };
      BOOST_TEST((fixture.Send("1").outcome == AttemptOutcome::kShed));
      fixture.Wait(pause);
      const auto next = fixture.Send("2");
      BOOST_TEST((next.outcome == AttemptOutcome::kSuccess));
      BOOST_TEST(next.body == "two");
    }
  }
}

// An overloaded server refuses often; its connections stay in use.
BOOST_AUTO_TEST_CASE(RefusalsWithIdsRarelyCostAConnection)
{
  ClientFixture fixture;
  for (int i = 1; i <= 64; ++i) {
    fixture.m_server.m_scripts.push_back(
      { Refusal(std::to_string(i)), "", "", false, false });
  }
  for (int i = 1; i <= 64; ++i) {
    BOOST_TEST(
      (fixture.Send(std::to_string(i)).outcome == AttemptOutcome::kShed));
  }
  BOOST_TEST(fixture.m_server.m_connections <= 4U);
}

// Servers of an API without ids: a copy of a refusal cannot be told from one.
BOOST_AUTO_TEST_CASE(ARefusalOfAnApiWithoutIdsEndsItsConnection)
{
  ClientFixture fixture;
  fixture.m_hasIds = false;
  fixture.m_server.m_scripts = {
    { Response("1", "one"), "", "", false, false },
    { Refusal(), "", "", false, false },
    { Response("3", "three"), "", "", false, false }
  };
  fixture.m_server.m_copiesOnUse = Refusal();
  BOOST_TEST(fixture.Send("1").body == "one");
  BOOST_TEST((fixture.Send("2").outcome == AttemptOutcome::kShed));
  const auto next = fixture.Send("3");
  BOOST_TEST((next.outcome == AttemptOutcome::kSuccess));
  BOOST_TEST(next.body == "three");
  BOOST_TEST(fixture.m_server.m_connections == 2U);
}

// How the cut responses below end.
enum class Framing
{
  kLength,
  kChunks,
  kClose, // of the connection
};

static const std::string kWholeBody = "the whole body";

static std::string
WholeResponse(const std::string& aId, Framing aFraming)
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nX-Id: " + aId + "\r\nContent-Type: text/plain\r\n";
  switch (aFraming) {
    case Framing::kLength:
      return head + "Content-Length: 14\r\n\r\n" + kWholeBody;
    case Framing::kChunks:
      return head + "Transfer-Encoding: chunked\r\n\r\n"
                    "4;a=b\r\nthe \r\n0a\r\nwhole body\r\n"
                    "0\r\nX-Sum: 1\r\n\r\n";
    case Framing::kClose:
      break;
  }
  return head + "\r\n" + kWholeBody;
}

struct CutCase
{
  std::string before; // on the connection, ahead of the response
  Framing framing = Framing::kLength;
  bool reused = false;
  bool forwards = false;
  bool bytewise = false;
};

static std::ostream&
operator<<(std::ostream& aStream, const CutCase& aCase)
{
  return aStream << "framing " << static_cast<int>(aCase.framing)
                 << (aCase.reused ? " reused" : "")
                 << (aCase.forwards ? " forwards" : "")
                 << (aCase.bytewise ? " bytewise" : "") << " after '"
                 << aCase.before << "'";
}

// Sends the first aCount bytes of the response.
static ClientFixture::Ended
SendCut(const CutCase& aCase, std::size_t aCount, bool aResets)
{
  ClientFixture fixture;
  fixture.m_forwards = aCase.forwards;
  const std::string whole = WholeResponse("1", aCase.framing);
  const Script cut{ aCase.before + whole.substr(0, aCount),
                    "",
                    "",
                    !aResets,
                    aResets,
                    aCase.bytewise };
  if (aCase.reused) {
    fixture.m_server.m_scripts = { { Response("0", "zero") }, cut };
    BOOST_REQUIRE(fixture.Send("0").body == "zero");
  } else {
    fixture.m_server.m_scripts = { cut };
  }
  ClientFixture::Ended ended = fixture.Send("1");
  BOOST_REQUIRE((ended.connection == ConnectionKind::kReused) == aCase.reused);
  return ended;
}

// A response without a length that ends with its connection can't be told from
// a whole one once its head is complete, unless the connection is reset.
static void
ExpectOnlyWholeResponses(const CutCase& aCase)
{
  const std::string whole = WholeResponse("1", aCase.framing);
  const std::size_t head = whole.find("\r\n\r\n") + 4;
  for (const bool resets : { false, true }) {
    const bool endsWithConnection =
      aCase.framing == Framing::kClose && !resets && !aCase.forwards;
    const std::size_t cuts = endsWithConnection ? head : whole.size();
    for (std::size_t count = 0; count < cuts; ++count) {
      const auto ended = SendCut(aCase, count, resets);
      BOOST_TEST_CONTEXT(aCase << (resets ? " reset" : " closed") << " after "
                               << count << " bytes")
      {
        BOOST_TEST((ended.outcome == AttemptOutcome::kBroken ||
                    ended.outcome == AttemptOutcome::kSilent));
        BOOST_TEST(ended.body.empty());
      }
    }
  }
  // The same response in full is used.
  if (aCase.framing != Framing::kClose || !aCase.forwards) {
    BOOST_TEST_CONTEXT(aCase)
    BOOST_TEST(SendCut(aCase, whole.size(), false).body == kWholeBody);
  }
}

static void
ExpectOnlyWholeResponsesAfter(const std::string& aBefore)
{
  for (const Framing framing :
       { Framing::kLength, Framing::kChunks, Framing::kClose }) {
    for (const bool reused : { false, true }) {
      for (const bool bytewise : { false, true }) {
        ExpectOnlyWholeResponses({ aBefore, framing, reused, false, bytewise });
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(AResponseThatIsCutAtAnyByteIsNotWhole)
{
  ExpectOnlyWholeResponsesAfter("");
}

BOOST_AUTO_TEST_CASE(AResponseThatIsCutAfterOneToAnotherRequestIsNotWhole)
{
  ExpectOnlyWholeResponsesAfter(WholeResponse("other", Framing::kLength));
  ExpectOnlyWholeResponsesAfter(WholeResponse("other", Framing::kChunks));
}

BOOST_AUTO_TEST_CASE(AResponseThatIsCutAfterAnInterimOneIsNotWhole)
{
  ExpectOnlyWholeResponsesAfter("HTTP/1.1 100 Continue\r\n\r\n");
  ExpectOnlyWholeResponsesAfter("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                                "HTTP/1.1 102 Processing\r\n\r\n");
}

// Peers give the length of each response.
BOOST_AUTO_TEST_CASE(AResponseOfAPeerThatIsCutAtAnyByteIsNotWhole)
{
  for (const Framing framing :
       { Framing::kLength, Framing::kChunks, Framing::kClose }) {
    for (const bool reused : { false, true }) {
      ExpectOnlyWholeResponses({ "", framing, reused, true, false });
    }
  }
}

BOOST_AUTO_TEST_CASE(AnInterimResponseIsNotTheResponse)
{
  for (const bool hasIds : { false, true }) {
    ClientFixture fixture;
    fixture.m_hasIds = hasIds;
    fixture.m_server.m_scripts = {
      { "HTTP/1.1 100 Continue\r\n\r\n" + Response("1", "one") },
      { "HTTP/1.1 103 Early Hints\r\n\r\n", "", Response("2", "two") },
      { "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" +
        Response("3", "three") }
    };
    BOOST_TEST(fixture.Send("1").body == "one");
    BOOST_TEST(fixture.Send("2").body == "two");
    BOOST_TEST(fixture.m_server.m_connections == 1U);
    BOOST_TEST((fixture.Send("3").outcome == AttemptOutcome::kBroken));
  }
}

BOOST_AUTO_TEST_CASE(AResponseWithUnclearFramingIsBroken)
{
  const std::vector<std::string> framings = {
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    "Content-Length: 5, 6\r\n",
    "Content-Length: 5x\r\n",
    "Content-Length: +5\r\n",
    "Content-Length: -5\r\n",
    "Content-Length: 0x5\r\n",
    "Content-Length: 5 5\r\n",
    "Content-Length:\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked, gzip\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding:\r\n",
  };
  for (const std::string& framing : framings) {
    for (const char* body : { "1\r\nx\r\n0\r\n\r\n", "12345" }) {
      ClientFixture fixture;
      fixture.m_server.m_scripts = { { "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" +
                                         framing + "\r\n" + body,
                                       "",
                                       "",
                                       true,
                                       false } };
      BOOST_TEST_CONTEXT(framing << body)
      BOOST_TEST((fixture.Send("1").outcome == AttemptOutcome::kBroken));
    }
  }
}

BOOST_AUTO_TEST_CASE(AHeadWithoutItsLineEndsIsBroken)
{
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1";
  const std::vector<std::string> responses = {
    "HTTP/1.1 200 OK\nX-Id: 1\n\nbody",
    head + "\n\nbody",
    head + "\r\n\nbody",
    head + "\r\n\rbody",
    head + "\r\r\nbody",
    head + "\n\r\nbody",
    head + "\r\n",
    head + "\r\nX-More\r\n\r\nbody",
    "HTTP/1.1 200\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\n: 1\r\n\r\n",
  };
  for (const std::string& response : responses) {
    for (const bool bytewise : { false, true }) {
      ClientFixture fixture;
      fixture.m_server.m_scripts = {
        { response, "", "", true, false, bytewise }
      };
      BOOST_TEST_CONTEXT(response)
      BOOST_TEST((fixture.Send("1").outcome == AttemptOutcome::kBroken));
    }
  }
}

// A failing server answered with status 000, which reached the caller. Such a
// response ends its attempt as broken, and its connection is not used again.
BOOST_AUTO_TEST_CASE(AStatusLineWithoutAStatusFrom100To599IsBroken)
{
  const std::vector<std::string> lines = {
    "HTTP/1.1 000 x",   "HTTP/1.1 001 x",  "HTTP/1.1 099 x",  "HTTP/1.1 600 x",
    "HTTP/1.1 999 x",   "HTTP/1.1 99 x",   "HTTP/1.1 9 x",    "HTTP/1.1 2000 x",
    "HTTP/1.1 20000 x", "HTTP/1.1 abc x",  "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 x",
    "HTTP/1.1 +200 x",  "HTTP/1.1  200 x", "HTTP/1.1 x",      "HTTP/1.1 ",
    "HTTP/1.1",         "HTTP/1.1 200",    "HTTP/2.0 200 OK", "HTTP/2 200 OK",
    "HTTP/0.9 200 OK",  "HTTP/1.2 200 OK", "HTTP/11 200 OK",  "http/1.1 200 OK",
    "HTTP/1.1\t200 OK", "ICY 200 OK",      "200 OK",
  };
  const std::string rest = "\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody";
  for (const std::string& line : lines) {
    for (const bool reused : { false, true }) {
      for (const bool forwards : { false, true }) {
        ClientFixture fixture;
        fixture.m_forwards = forwards;
        fixture.m_server.m_scripts = { { line + rest },
                                       { Response("2", "two") } };
        if (reused) {
          auto& scripts = fixture.m_server.m_scripts;
          scripts.insert(scripts.begin(), { Response("0", "zero") });
          BOOST_REQUIRE(fixture.Send("0").body == "zero");
        }
        const auto ended = fixture.Send("1");
        BOOST_TEST_CONTEXT(line << (reused ? " reused" : "")
                                << (forwards ? " forwards" : ""))
        {
          BOOST_TEST((ended.outcome == AttemptOutcome::kBroken));
          BOOST_TEST(ended.body.empty());
          BOOST_TEST(fixture.m_client->IdleCount() == 0U);
          const auto next = fixture.Send("2");
          BOOST_TEST((next.connection == ConnectionKind::kNew));
          BOOST_TEST(next.body == "two");
        }
      }
    }
  }
}

// A status at the bounds, or one without a reason, is as good as any other.
BOOST_AUTO_TEST_CASE(AStatusFrom200To599IsAResponse)
{
  const std::vector<std::pair<std::string, AttemptOutcome>> lines = {
    { "HTTP/1.1 200 ", AttemptOutcome::kSuccess },
    { "HTTP/1.0 200 OK", AttemptOutcome::kSuccess },
    { "HTTP/1.1 299 x", AttemptOutcome::kSuccess },
    { "HTTP/1.1 499 x", AttemptOutcome::kSuccess },
    { "HTTP/1.1 599 x", AttemptOutcome::kServerError },
  };
  for (const auto& [line, outcome] : lines) {
    ClientFixture fixture;
    fixture.m_server.m_scripts = {
      { line + "\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody" }
    };
    const auto ended = fixture.Send("1");
    BOOST_TEST_CONTEXT(line)
    {
      BOOST_TEST((ended.outcome == outcome));
      BOOST_TEST(ended.body == "body");
    }
  }
}

// Leaves room for 25,000 bytes of a budget of 1,000,000.
static std::vector<BufferReservation>
FillBudget(ClientFixture& aFixture)
{
  std::vector<BufferReservation> held(2);
  BOOST_TEST(
    aFixture.m_budget->TryReserve(BufferUse::kResponse, 875'000, held[0]));
  BOOST_TEST(
    aFixture.m_budget->TryReserve(BufferUse::kResponse, 100'000, held[1]));
  return held;
}

BOOST_AUTO_TEST_CASE(AResponseCountsUntilItsAttemptHasEnded)
{
  ClientFixture fixture(1'000'000);
  fixture.m_server.m_scripts = { { Response("1", std::string(50'000, 'x')) } };
  BOOST_TEST(fixture.Send("1").body.size() == 50'000U);
  BOOST_TEST(fixture.m_budget->Peak() == 50'000U);
  BOOST_TEST(fixture.m_budget->Used() == 0U);
}

// A response that finds no room is not read; once there is room, it is whole.
BOOST_AUTO_TEST_CASE(AResponseWaitsForRoom)
{
  for (const bool chunked : { false, true }) {
    ClientFixture fixture(1'000'000);
    const std::string body(90'000, 'x');
    fixture.m_server.m_scripts = {
      { chunked ? "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n15f90\r\n" +
                    body + "\r\n0\r\n\r\n"
                : Response("1", body) }
    };
    auto held = FillBudget(fixture);
    fixture.Start("1");
    fixture.Wait(100);
    BOOST_TEST(!fixture.m_ended.has_value());
    BOOST_TEST(fixture.m_budget->Waiting() == 1U);
    held.clear();
    // A body of unknown length may wait several times.
    for (int i = 0; i < 100 && !fixture.m_ended; ++i) {
      fixture.m_budget->ServeWaiting(MonotonicNow());
      fixture.Wait(5);
    }
    BOOST_REQUIRE(fixture.m_ended.has_value());
    BOOST_TEST(fixture.m_ended->body == body);
    BOOST_TEST(fixture.m_budget->Used() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(AResponseThatFindsNoRoomInTimeEndsItsAttempt)
{
  ClientFixture fixture(1'000'000);
  fixture.m_server.m_scripts = { { Response("1", std::string(90'000, 'x')) } };
  const auto held = FillBudget(fixture);
  fixture.Start("1");
  fixture.Wait(50);
  fixture.m_budget->ServeWaiting(MonotonicNow() + std::chrono::seconds(5));
  BOOST_REQUIRE(fixture.m_ended.has_value());
  BOOST_TEST((fixture.m_ended->outcome == AttemptOutcome::kBroken));
  BOOST_TEST(fixture.m_client->IdleCount() == 0U);
}

// Guards against a server that answers without end and is never found faulty,
// since its own answers fill the room that they wait for.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndDoesNotWaitForRoom)
{
  const std::string chunk = "64\r\n" + std::string(100, 'x') + "\r\n";
  for (const bool chunked : { false, true }) {
    ClientFixture fixture(4'000'000, 1'000'000);
    fixture.m_server.m_scripts = { { chunked
                                       ? "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n"
                                       : "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
                                     chunked ? chunk : std::string(1000, 'x'),
                                     "",
                                     false,
                                     false } };
    // Leaves room for half of the largest answer.
    std::vector<BufferReservation> held(1);
    BOOST_REQUIRE(
      fixture.m_budget->TryReserve(BufferUse::kResponse, 2'300'000, held[0]));
    const ClientFixture::Ended ended = fixture.Send("1");
    BOOST_TEST((ended.outcome == AttemptOutcome::kBroken));
    BOOST_TEST(ended.isOversized);
    BOOST_TEST(fixture.m_budget->Waits() == 0U);
    BOOST_TEST(fixture.m_budget->Used() == held[0].Bytes());
  }
}

// An answer takes no room beyond what it may have.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutLengthReservesNoMoreThanTheLargestOne)
{
  ClientFixture fixture;
  fixture.m_server.m_scripts = { { "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
                                   std::string(1000, 'x'),
                                   "",
                                   false,
                                   false } };
  BOOST_TEST(fixture.Send("1").isOversized);
  // While a body is moved to more room, it holds both.
  BOOST_TEST(fixture.m_budget->Peak() <= 2 * (kMaxResponseBytes + (64 << 10)));
}

BOOST_AUTO_TEST_CASE(ACancelledAttemptWaitsForNoRoom)
{
  ClientFixture fixture(1'000'000);
  fixture.m_server.m_scripts = { { Response("1", std::string(90'000, 'x')) } };
  const auto held = FillBudget(fixture);
  fixture.Start("1");
  fixture.Wait(50);
  BOOST_TEST(fixture.m_budget->Waiting() == 1U);
  fixture.m_client->Cancel(AttemptId(1));
  BOOST_TEST(fixture.m_budget->Waiting() == 0U);
}

// A server that reads nothing. Its socket takes some megabytes.
class SilentServer
{
public:
  explicit SilentServer(asio::io_context& aIo)
    : m_acceptor(aIo)
  {
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(4 << 10));
    m_acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    m_acceptor.listen();
  }
  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

private:
  tcp::acceptor m_acceptor;
};

static BufferedBodyPtr
Body(std::size_t aBytes)
{
  auto body = std::make_shared<BufferedBody>();
  body->bytes.assign(aBytes, 'x');
  return body;
}

// Bodies for a server that does not read them would fill the memory.
BOOST_AUTO_TEST_CASE(BodiesBeyondTheBoundOfAServerWait)
{
  ClientFixture fixture;
  const SilentServer server(fixture.m_io);
  fixture.m_address = server.Address();
  fixture.m_body = Body(30'000'000);
  fixture.Start("1");
  fixture.Wait(50);
  BOOST_TEST(fixture.m_client->WaitingToSend() == 0U);
  fixture.m_body = Body(200'000);
  fixture.Start("2");
  fixture.Start("3");
  BOOST_TEST(fixture.m_client->WaitingToSend() == 2U);
  // Small ones do not wait.
  fixture.m_body = Body(1000);
  fixture.Start("4");
  BOOST_TEST(fixture.m_client->WaitingToSend() == 2U);
  fixture.m_client->Cancel(AttemptId(2));
  BOOST_TEST(fixture.m_client->WaitingToSend() == 1U);
  fixture.m_client->Cancel(AttemptId(1));
  BOOST_TEST(fixture.m_client->WaitingToSend() == 0U);
  fixture.Wait(20);
}

BOOST_AUTO_TEST_CASE(AnAttemptThatIsNeverSentDidNotRun)
{
  ClientFixture fixture;
  const SilentServer server(fixture.m_io);
  fixture.m_address = server.Address();
  fixture.m_body = Body(30'000'000);
  fixture.Start("1");
  fixture.Wait(50);
  fixture.m_body = Body(200'000);
  fixture.m_timeout = std::chrono::milliseconds(100);
  fixture.Start("2");
  BOOST_TEST(fixture.m_client->WaitingToSend() == 1U);
  fixture.Wait(200);
  BOOST_REQUIRE(fixture.m_ended.has_value());
  BOOST_TEST((fixture.m_ended->outcome == AttemptOutcome::kNothingWritten));
  BOOST_TEST(fixture.m_client->WaitingToSend() == 0U);
}

} // namespace fuchsiaramp
