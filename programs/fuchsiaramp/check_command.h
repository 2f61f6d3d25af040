// The command 'check': analyses a lists document, and compares it with another
// document or with the lists in force.
//
//   CheckHooks hooks{ readFile, fetchLists };
//   int exitCode = RunCheck(options, hooks, std::cout, std::cerr);
#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiaramp {

// As given on the command line; empty where not given.
struct CheckOptions
{
  std::string file;
  std::string against;              // another document
  std::string host;                 // URL or IP:port of a control host
  std::vector<std::string> servers; // "SERVICE=COUNT"
  std::string slots;
  std::string serviceTime; // such as 150ms
  bool json = false;
};

struct CheckHooks
{
  // Both return nothing, and report why, if they fail.
  std::function<std::optional<std::string>(const std::string& aPath)> readFile;
  // The lists in force as a YAML document.
  std::function<std::optional<std::string>(const std::string& aAddress)>
    fetchLists;
};

// Exit codes of the command.
inline constexpr int kCheckClean = 0;
inline constexpr int kCheckFindings = 1;
inline constexpr int kCheckUnreadable = 2; // input or command line

// Differences alone are no findings: a document is checked because it differs.
int
RunCheck(const CheckOptions& aOptions,
         const CheckHooks& aHooks,
         std::ostream& aOut,
         std::ostream& aErrors);

} // namespace fuchsiaramp
