// A fake backend server for process tests and the demo. It announces itself to
// two entry hosts, echoes requests after a random time and injects failures.
//
// PUT /fake?fail=0.3&broken=0&latency_ms=20&limit=1.4 changes its behaviour; a
// negative limit is none. Each executed Idempotency-Key is appended to the run
// log, so that a test can count keys that ran twice, and the time of each
// request, in milliseconds, to the arrival log.
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include "net/http_client.h"
#include "net/http_server.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

struct FakeOptions
{
  std::string id;
  std::string service;
  std::string address;
  std::string announcedAddress; // may be that of a proxy
  std::string region;
  std::string failureDomain;
  std::vector<std::string> entryHosts;
  std::string runLog;
  std::string arrivalLog;
  std::uint32_t slots = 4;
};

struct Behaviour
{
  double failureRate = 0.0; // share of requests answered with 500
  double hangRate = 0.0;    // share of requests that get no response
  double latencyMs = 5.0;
  double limit = -1.0; // requests per second that it names; negative: none
};

class FakeBackend
{
public:
  FakeBackend(asio::io_context& aIo, FakeOptions aOptions)
    : m_io(aIo)
    , m_options(std::move(aOptions))
    , m_incarnation(std::chrono::duration_cast<std::chrono::microseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count())
    , m_server(
        aIo,
        ServerOptions(),
        [this](const HttpExchangePtr& aExchange) { OnExchange(aExchange); })
    , m_announcer([this] { AnnounceLoop(); })
  {
  }

  ~FakeBackend()
  {
    m_stop = true;
    m_announcer.join();
  }

  void Leave() { m_leaving = true; }

private:
  HttpServerOptions ServerOptions() const
  {
    HttpServerOptions options;
    options.address = m_options.address;
    return options;
  }

  // Announces the server to two entry hosts, and moves on to the next host when
  // one does not respond.
  void AnnounceLoop()
  {
    std::size_t first = std::hash<std::string>()(m_options.id);
    while (!m_stop) {
      const std::size_t hosts = m_options.entryHosts.size();
      for (std::size_t i = 0; i < std::min<std::size_t>(2, hosts); ++i) {
        if (!Announce(m_options.entryHosts[(first + i) % hosts])) {
          ++first;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
    }
  }

  bool Announce(const std::string& aEntryHost) const
  {
    HttpCallRequest request;
    request.address = aEntryHost;
    request.method = "PUT";
    request.target = "/.well-known/fuchsiaramp/backend-servers/" + m_options.id;
    request.timeout = std::chrono::milliseconds(500);
    request.body = json::serialize(
      json::value{ { "service", m_options.service },
                   { "address", m_options.announcedAddress },
                   { "region", m_options.region },
                   { "failure_domain", m_options.failureDomain },
                   { "slots", m_options.slots },
                   { "incarnation", m_incarnation },
                   { "state", m_leaving ? "leaving" : "up" } });
    std::error_code error;
    const HttpCallResponse reply = HttpCall(request, error);
    return !error && reply.status == 200;
  }

  static double QueryNumber(const std::string& aTarget,
                            const std::string& aKey,
                            double aDefault)
  {
    const std::size_t at = aTarget.find(aKey + '=');
    return at == std::string::npos
             ? aDefault
             : std::stod(aTarget.substr(at + aKey.size() + 1));
  }

  void OnExchange(const HttpExchangePtr& aExchange)
  {
    const std::string target(aExchange->Message().target());
    if (target.rfind("/fake", 0) == 0) {
      m_behaviour.failureRate =
        QueryNumber(target, "fail", m_behaviour.failureRate);
      m_behaviour.hangRate =
        QueryNumber(target, "broken", m_behaviour.hangRate);
      m_behaviour.latencyMs =
        QueryNumber(target, "latency_ms", m_behaviour.latencyMs);
      m_behaviour.limit = QueryNumber(target, "limit", m_behaviour.limit);
      aExchange->Respond({});
      return;
    }
    LogArrival();
    if (m_running >= m_options.slots) {
      HttpResponse shed;
      shed.status = 503;
      AddLimit(shed);
      shed.headers.emplace_back("Fuchsiaramp-Not-Run", "true");
      shed.headers.emplace_back("Fuchsiaramp-Load", std::to_string(m_running));
      aExchange->Respond(std::move(shed));
      return;
    }
    Execute(aExchange);
  }

  void LogArrival() const
  {
    if (!m_options.arrivalLog.empty()) {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      std::ofstream(m_options.arrivalLog, std::ios::app)
        << std::chrono::duration_cast<std::chrono::milliseconds>(now).count()
        << '\n';
    }
  }

  void AddLimit(HttpResponse& aResponse) const
  {
    if (m_behaviour.limit >= 0.0) {
      aResponse.headers.emplace_back("Fuchsiaramp-Request-Limit",
                                     std::to_string(m_behaviour.limit));
    }
  }

  void Execute(const HttpExchangePtr& aExchange)
  {
    ++m_running;
    const std::string key(aExchange->Message()["Idempotency-Key"]);
    if (!key.empty() && !m_options.runLog.empty()) {
      std::ofstream(m_options.runLog, std::ios::app)
        << key << ' ' << m_options.id << '\n';
    }
    auto timer = std::make_shared<asio::steady_timer>(m_io);
    const double milliseconds = m_behaviour.latencyMs * (0.5 + Unit());
    timer->expires_after(
      std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1e3)));
    timer->async_wait(
      [this, timer, aExchange](const boost::system::error_code&) {
        --m_running;
        RespondOrFail(aExchange);
      });
  }

  void RespondOrFail(const HttpExchangePtr& aExchange)
  {
    const double draw = Unit();
    if (draw < m_behaviour.hangRate) {
      m_hungRequests.push_back(aExchange);
      return;
    }
    HttpResponse response;
    const auto& message = aExchange->Message();
    response.contentType = "text/plain";
    response.headers.emplace_back("Fuchsiaramp-Load",
                                  std::to_string(m_running));
    AddLimit(response);
    if (m_leaving) {
      response.headers.emplace_back("Fuchsiaramp-State", "leaving");
    }
    if (draw < m_behaviour.hangRate + m_behaviour.failureRate) {
      response.status = 500;
      response.body = "failed\n";
    } else {
      response.body = std::string(message.target()) + '\n' + message.body() +
                      '\n' + m_options.id + '\n';
    }
    aExchange->Respond(std::move(response));
  }

  double Unit()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
  }

  asio::io_context& m_io;
  FakeOptions m_options;
  std::int64_t m_incarnation;
  Behaviour m_behaviour;
  std::uint32_t m_running = 0;
  std::vector<HttpExchangePtr> m_hungRequests;
  std::mt19937_64 m_random{ std::random_device()() };
  std::atomic<bool> m_leaving{ false };
  std::atomic<bool> m_stop{ false };
  HttpServer m_server;
  std::thread m_announcer;
};

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  using Text = TCLAP::ValueArg<std::string>;
  TCLAP::CmdLine line("A fake backend server for tests.");
  Text id("", "id", "Id.", true, "", "ID", line);
  Text service("", "service", "Service.", true, "", "NAME", line);
  Text address("", "address", "Address.", true, "", "IP:PORT", line);
  Text announced(
    "", "announce", "Announced address.", false, "", "IP:PORT", line);
  Text region("", "region", "Region.", false, "r1", "NAME", line);
  Text domain("", "domain", "Failure domain.", false, "d1", "NAME", line);
  Text runLog("", "run-log", "File for executed keys.", false, "", "F", line);
  Text arrivals(
    "", "arrival-log", "File for times of requests.", false, "", "F", line);
  TCLAP::ValueArg<std::uint32_t> slots(
    "", "slots", "Slots.", false, 4, "N", line);
  TCLAP::MultiArg<std::string> entry(
    "", "entry", "Entry host.", true, "IP:PORT", line);
  line.parse(aCount, aArguments);
  fuchsiaramp::FakeOptions options;
  options.id = id.getValue();
  options.service = service.getValue();
  options.address = address.getValue();
  options.announcedAddress =
    announced.isSet() ? announced.getValue() : address.getValue();
  options.region = region.getValue();
  options.failureDomain = domain.getValue();
  options.runLog = runLog.getValue();
  options.arrivalLog = arrivals.getValue();
  options.slots = slots.getValue();
  options.entryHosts = entry.getValue();
  boost::asio::io_context io(1);
  fuchsiaramp::FakeBackend backend(io, options);
  // The first signal announces that the server is leaving, the second stops it.
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) {
    backend.Leave();
    signals.async_wait(
      [&](const boost::system::error_code&, int) { io.stop(); });
  });
  io.run();
  return 0;
}
