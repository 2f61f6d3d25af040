// The commands of fuchsiaramp, the operators' command-line client.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "fuchsiaramp/check_command.h"

namespace fuchsiaramp {

enum class Output
{
  kText,
  kJson,
};

// The parsed command line.
struct CommandLine
{
  std::vector<std::string> words;   // the command and its arguments
  std::vector<std::string> control; // addresses of control hosts, IP:port
  std::vector<std::string> entry;   // addresses of entry hosts, IP:port
  std::string token;
  std::string operatorName;
  std::string changeId;
  std::int64_t expectedVersion = -1; // -1: not given
  bool wait = false;
  Duration timeout = std::chrono::seconds(30);
  Output output = Output::kText;
  std::map<std::string, std::string> filter;
  bool html = false;
  CheckOptions check; // of the command 'check'
};

// Exit codes.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitConflict = 3;    // expected version is not current
inline constexpr int kExitUnreachable = 4; // no host answered
inline constexpr int kExitNotInForce = 5;  // not in force everywhere in time

// Runs a command; writes to standard output and standard error.
int
RunCommand(const CommandLine& aLine);

// One line per command.
std::string
CommandHelp();

} // namespace fuchsiaramp
