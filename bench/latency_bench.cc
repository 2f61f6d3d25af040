// Measures the latency that an entry host adds, compared with a direct
// connection to the same backend server in the same run.
//
//   latency_bench DIRECT ENTRY TOKEN COUNT
//
// DIRECT and ENTRY are addresses. Direct and proxied requests alternate, each
// over its own persistent connection.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "net/address.h"

namespace fuchsiaramp {

namespace beast = boost::beast;
namespace http = boost::beast::http;

class Client
{
public:
  Client(boost::asio::io_context& aIo,
         const std::string& aAddress,
         std::string aToken)
    : m_stream(aIo)
    , m_token(std::move(aToken))
  {
    boost::system::error_code error;
    m_stream.connect(ParseEndpoint(aAddress, error));
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true));
  }

  // Sends one request and returns its latency in milliseconds.
  double CallMs()
  {
    http::request<http::string_body> request(http::verb::get, "/read/x", 11);
    request.set(http::field::host, "profile");
    request.set(http::field::authorization, "Bearer " + m_token);
    const auto start = std::chrono::steady_clock::now();
    http::write(m_stream, request);
    http::response<http::string_body> response;
    http::read(m_stream, m_buffer, response);
    if (response.result_int() != 200) {
      std::cerr << "expected status 200, got " << response.result_int() << '\n';
    }
    return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
  }

private:
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  std::string m_token;
};

static void
PrintPercentiles(const char* aName, std::vector<double> aLatenciesMs)
{
  std::sort(aLatenciesMs.begin(), aLatenciesMs.end());
  std::cout << aName << " p50 " << aLatenciesMs[aLatenciesMs.size() / 2]
            << " ms, p99 " << aLatenciesMs[aLatenciesMs.size() * 99 / 100]
            << " ms\n";
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: latency_bench DIRECT ENTRY TOKEN COUNT\n";
    return 2;
  }
  boost::asio::io_context io;
  fuchsiaramp::Client direct(io, aArguments[1], aArguments[3]);
  fuchsiaramp::Client entry(io, aArguments[2], aArguments[3]);
  std::vector<double> directMs;
  std::vector<double> entryMs;
  for (int i = 0; i < std::stoi(aArguments[4]); ++i) {
    directMs.push_back(direct.CallMs());
    entryMs.push_back(entry.CallMs());
  }
  fuchsiaramp::PrintPercentiles("direct", directMs);
  fuchsiaramp::PrintPercentiles("entry ", entryMs);
  return 0;
}
