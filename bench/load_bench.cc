// Prints what callers get from many entry hosts before many servers, by load,
// beside what one ideal shared queue would serve in time.
//
//   load_bench [--hosts N] [--servers N] [--faulty SHARE] [--shed SHARE]
//              [--seconds N]
#include <chrono>
#include <cstdio>
#include <exception>

#include <tclap/CmdLine.h>

#include "testing/load_model.h"

namespace fuchsiaramp {

static void
PrintLoad(const LoadOptions& aOptions, Duration aSpan)
{
  const LoadResult result = LoadModel(aOptions).Run(aSpan);
  const double refused = result.refused > 0.0 ? result.refused : 1.0;
  std::printf("hosts %3zu servers %4zu faulty %.2f load %.2f ideal %.3f "
              "in_time %.3f late %.3f refused %.3f after %.2f s failed %.3f "
              "attempts %.2f shed %.3f messages_per_host_second %.0f\n",
              aOptions.hosts,
              aOptions.servers,
              aOptions.faultyShare,
              aOptions.load,
              IdealInTimeShare(aOptions, aSpan),
              result.inTime / result.requests,
              result.late / result.requests,
              result.refused / result.requests,
              result.refusedAfterSeconds / refused,
              result.failed / result.requests,
              result.attempts / result.requests,
              result.shed / result.requests,
              result.messages / ToSeconds(aSpan) /
                static_cast<double>(aOptions.hosts));
  std::fflush(stdout);
}

} // namespace fuchsiaramp

int
main(int aArgc, char** aArgv)
{
  using namespace fuchsiaramp;
  try {
    TCLAP::CmdLine command("Plays load on entry hosts in simulated time.", ' ');
    TCLAP::ValueArg<std::size_t> hosts(
      "", "hosts", "entry hosts", false, 130, "count", command);
    TCLAP::ValueArg<std::size_t> servers(
      "", "servers", "backend servers", false, 246, "count", command);
    TCLAP::ValueArg<double> faulty(
      "", "faulty", "share of faulty servers", false, 0.1, "share", command);
    TCLAP::ValueArg<double> shed(
      "", "shed", "share that servers reject", false, 0.0, "share", command);
    TCLAP::ValueArg<int> seconds(
      "", "seconds", "simulated time", false, 10, "s", command);
    command.parse(aArgc, aArgv);
    for (const double load : { 0.3, 0.5, 0.8, 1.2, 2.0 }) {
      LoadOptions options;
      options.hosts = hosts.getValue();
      options.servers = servers.getValue();
      options.faultyShare = faulty.getValue();
      options.shedRate = shed.getValue();
      options.load = load;
      PrintLoad(options, std::chrono::seconds(seconds.getValue()));
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "load_bench: %s\n", error.what());
    return 1;
  }
  return 0;
}
