// Load generator for the demo and process tests. Each caller queries an entry
// host for the addresses to use, caches them for their lifetime, sends requests
// and checks every response. When a request gets no response, the caller
// queries the addresses again.
//
// With --keep-connections, each caller instead sends to one entry host on a
// connection that it keeps until the entry host ends it, and connects again
// until its process is gone.
//
// Prints one line of counts. The exit code is 1 when a response was wrong:
// truncated, of another request, or without an outcome. Whether a request with
// the outcome not-run was executed is checked with the run log.
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include "base/random.h"
#include "kept_connection.h"
#include "net/http_client.h"
#include "net/monotonic.h"

namespace fuchsiaramp {

using Clock = std::chrono::steady_clock;

struct LoadOptions
{
  std::vector<std::string> entryHosts;
  std::string service;
  std::string token;
  std::string keyPrefix;
  double seconds = 5.0;
  double keyed = 0.2; // share of requests with an idempotency key
  std::size_t callers = 8;
  std::size_t bodyBytes = 200;
  bool keepsConnections = false;
};

// A request whose kept connection ended without its whole response.
struct LostRequest
{
  std::string address;
  std::string name;
  std::int64_t sentAtMs = 0;
  std::int64_t endedAtMs = 0;
  bool wasReset = false;
};

struct LoadCounts
{
  std::atomic<std::uint64_t> answered{ 0 };
  std::atomic<std::uint64_t> notRun{ 0 };
  std::atomic<std::uint64_t> unknown{ 0 };
  std::atomic<std::uint64_t> unanswered{ 0 };
  std::atomic<std::uint64_t> wrong{ 0 };
  std::mutex lock;
  std::vector<std::string> keysNotRun; // keys with the outcome not-run
  std::vector<std::string> keysAnswered;
  std::vector<double> latenciesMs;
  std::vector<LostRequest> lost;
};

class Caller
{
public:
  Caller(const LoadOptions& aOptions, LoadCounts& aCounts, std::size_t aNumber)
    : m_options(aOptions)
    , m_counts(aCounts)
    , m_number(aNumber)
    , m_random(aNumber * 7919 + 1)
    , m_kept(aOptions.entryHosts[aNumber % aOptions.entryHosts.size()])
  {
  }

  void Run()
  {
    const auto end =
      Clock::now() + std::chrono::microseconds(
                       static_cast<std::int64_t>(m_options.seconds * 1e6));
    for (std::uint64_t i = 0; Clock::now() < end; ++i) {
      Send(i);
    }
  }

private:
  std::string ChooseAddress()
  {
    if (Clock::now() >= m_refreshAt || m_addresses.empty()) {
      RefreshAddresses();
    }
    return m_addresses.empty()
             ? m_options.entryHosts[m_random.Below(m_options.entryHosts.size())]
             : m_addresses[m_random.Below(m_addresses.size())];
  }

  void RefreshAddresses()
  {
    HttpCallRequest request;
    request.address =
      m_options.entryHosts[m_random.Below(m_options.entryHosts.size())];
    request.target =
      "/.well-known/fuchsiaramp/entry-hosts?service=" + m_options.service;
    request.timeout = std::chrono::seconds(1);
    std::error_code error;
    const HttpCallResponse reply = HttpCall(request, error);
    if (error || reply.status != 200) {
      return;
    }
    const auto value = boost::json::parse(reply.body);
    m_addresses.clear();
    for (const auto& address : value.at("addresses").as_array()) {
      m_addresses.emplace_back(address.as_string());
    }
    m_refreshAt = Clock::now() +
                  std::chrono::milliseconds(value.at("lifetime_ms").as_int64());
  }

  void Send(std::uint64_t aIndex)
  {
    if (m_options.keepsConnections &&
        !m_kept.Connect(std::chrono::milliseconds(500))) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      return;
    }
    const bool keyed = m_random.Chance(m_options.keyed);
    const std::string name = m_options.keyPrefix + std::to_string(m_number) +
                             '-' + std::to_string(aIndex);
    HttpCallRequest request;
    request.timeout = std::chrono::seconds(15);
    request.headers["Host"] = m_options.service;
    request.headers["Authorization"] = "Bearer " + m_options.token;
    if (keyed) {
      request.method = "POST";
      request.target = "/once/" + name;
      request.headers["Idempotency-Key"] = name;
      request.body = std::string(m_options.bodyBytes, 'b');
    } else {
      request.target = "/read/" + name;
    }
    const auto start = Clock::now();
    std::error_code error;
    const HttpCallResponse reply = Call(request, error);
    if (error) {
      ++m_counts.unanswered;
      if (m_options.keepsConnections) {
        RecordLoss(name);
      }
      m_addresses.clear();
      return;
    }
    const double latencyMs =
      std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    RecordResponse(request, reply, name, keyed, latencyMs);
  }

  HttpCallResponse Call(HttpCallRequest& aRequest, std::error_code& aError)
  {
    if (m_options.keepsConnections) {
      return m_kept.Call(aRequest, aError);
    }
    aRequest.address = ChooseAddress();
    return HttpCall(aRequest, aError);
  }

  void RecordLoss(const std::string& aName)
  {
    static constexpr std::int64_t kMicrosPerMs = 1000;
    const std::lock_guard<std::mutex> guard(m_counts.lock);
    m_counts.lost.push_back({ m_kept.Address(),
                              aName,
                              m_kept.SentAtMs(),
                              WallClockMicros() / kMicrosPerMs,
                              m_kept.WasReset() });
  }

  void RecordResponse(const HttpCallRequest& aRequest,
                      const HttpCallResponse& aResponse,
                      const std::string& aName,
                      bool aKeyed,
                      double aMilliseconds)
  {
    const auto found = aResponse.headers.find("fuchsiaramp-outcome");
    const std::string outcome =
      found == aResponse.headers.end() ? "" : found->second;
    const std::string expected = aRequest.target + '\n' + aRequest.body + '\n';
    const std::lock_guard<std::mutex> guard(m_counts.lock);
    if (outcome == "answered") {
      const bool isCorrect =
        aResponse.status == 200 &&
        aResponse.body.compare(0, expected.size(), expected) == 0 &&
        aResponse.body.size() > expected.size();
      if (!isCorrect) {
        ++m_counts.wrong;
        std::cerr << "wrong response to " << aRequest.target << ": status "
                  << aResponse.status << ' ' << aResponse.body << '\n';
      }
      ++m_counts.answered;
      m_counts.latenciesMs.push_back(aMilliseconds);
      if (aKeyed) {
        m_counts.keysAnswered.push_back(aName);
      }
      return;
    }
    if (outcome == "not-run") {
      ++m_counts.notRun;
      if (aKeyed) {
        m_counts.keysNotRun.push_back(aName);
      }
    } else if (outcome == "unknown") {
      ++m_counts.unknown;
    } else {
      ++m_counts.wrong;
      std::cerr << "no outcome in the response to " << aRequest.target << '\n';
    }
    // Does not wait for Retry-After of the refusal, to keep tests short.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  const LoadOptions& m_options;
  LoadCounts& m_counts;
  std::size_t m_number;
  Random m_random;
  std::vector<std::string> m_addresses;
  Clock::time_point m_refreshAt;
  KeptConnection m_kept;
};

static double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

static int
RunLoad(const LoadOptions& aOptions, bool aListKeys)
{
  LoadCounts counts;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < aOptions.callers; ++i) {
    threads.emplace_back(
      [&aOptions, &counts, i] { Caller(aOptions, counts, i).Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::cout << "answered=" << counts.answered << " not_run=" << counts.notRun
            << " unknown=" << counts.unknown
            << " unanswered=" << counts.unanswered << " wrong=" << counts.wrong
            << " p50_ms=" << Percentile(counts.latenciesMs, 0.5)
            << " p99_ms=" << Percentile(counts.latenciesMs, 0.99) << '\n';
  if (aListKeys) {
    for (const std::string& key : counts.keysNotRun) {
      std::cout << "key_not_run=" << key << '\n';
    }
    for (const std::string& key : counts.keysAnswered) {
      std::cout << "key_answered=" << key << '\n';
    }
    for (const LostRequest& lost : counts.lost) {
      std::cout << "key_lost=" << lost.address << ' ' << lost.name << ' '
                << lost.sentAtMs << ' ' << lost.endedAtMs
                << (lost.wasReset ? " reset" : " end") << '\n';
    }
  }
  return counts.wrong == 0 ? 0 : 1;
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  TCLAP::CmdLine line("Sends requests for demos and tests.");
  TCLAP::MultiArg<std::string> entry(
    "", "entry", "Entry host.", true, "IP:PORT", line);
  TCLAP::ValueArg<std::string> service(
    "", "service", "Service.", true, "", "NAME", line);
  TCLAP::ValueArg<std::string> token(
    "", "token", "Token.", true, "", "TOKEN", line);
  TCLAP::ValueArg<std::string> prefix("",
                                      "key-prefix",
                                      "Tells the keys of several loads apart.",
                                      false,
                                      "",
                                      "TEXT",
                                      line);
  TCLAP::ValueArg<double> seconds(
    "", "seconds", "Duration.", false, 5.0, "S", line);
  TCLAP::ValueArg<double> keyed("",
                                "keyed",
                                "Share of requests with an idempotency key.",
                                false,
                                0.2,
                                "SHARE",
                                line);
  TCLAP::ValueArg<std::size_t> callers(
    "", "callers", "Callers.", false, 8, "N", line);
  TCLAP::SwitchArg list("", "list-keys", "Print keys by outcome.", line);
  TCLAP::SwitchArg keep(
    "", "keep-connections", "Keep sending on open connections.", line);
  line.parse(aCount, aArguments);
  fuchsiaramp::LoadOptions options;
  options.entryHosts = entry.getValue();
  options.service = service.getValue();
  options.token = token.getValue();
  options.keyPrefix = prefix.getValue();
  options.seconds = seconds.getValue();
  options.keyed = keyed.getValue();
  options.callers = callers.getValue();
  options.keepsConnections = keep.getValue();
  return fuchsiaramp::RunLoad(options, list.getValue());
}
