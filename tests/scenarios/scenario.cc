#include "scenario.h"

#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <utility>

#include "testing/entry_fleet.h"

namespace fuchsiaramp {
namespace internal {

static std::optional<double>
ParseNumber(const std::string& aText)
{
  double value = 0.0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end
           ? std::optional<double>(value)
           : std::nullopt;
}

static std::optional<Duration>
ParseDuration(const std::string& aText)
{
  const bool milliseconds =
    aText.size() > 2 && aText.compare(aText.size() - 2, 2, "ms") == 0;
  const std::size_t suffix = milliseconds ? 2 : 1;
  if (aText.size() <= suffix || aText.back() != 's') {
    return std::nullopt;
  }
  const auto value = ParseNumber(aText.substr(0, aText.size() - suffix));
  return value ? std::optional<Duration>(
                   FromSeconds(milliseconds ? *value / 1000 : *value))
               : std::nullopt;
}

// The accepted forms of statements: literal words, N for a number, T for a
// duration.
static const std::vector<std::string>&
StatementForms()
{
  static const std::vector<std::string> kForms = {
    "fleet adzoa",
    "fleet calculos",
    "fleet small",
    "seed N",
    "load N",
    "keyed N",
    "network drop N",
    "network duplicate N",
    "network late N",
    "run T",
    "server N fail N",
    "server N slow N",
    "server N hang N",
    "server N well",
    "server N crash",
    "server N restart",
    "server N leaving",
    "server N mute",
    "host N kill",
    "host N start",
    "cut N N",
    "cut N all",
    "heal",
    "silence",
    "poison N",
    "control away",
    "control back",
    "expect restricted N within T",
    "expect nobody restricted",
    "expect idle N after T",
    "expect answered N",
    "expect double-runs N",
    "expect false-not-runs N",
  };
  return kForms;
}

static std::vector<std::string>
Split(const std::string& aLine)
{
  std::istringstream stream(aLine);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

static bool
MatchesForm(const std::vector<std::string>& aWords, const std::string& aForm)
{
  const std::vector<std::string> form = Split(aForm);
  if (form.size() != aWords.size()) {
    return false;
  }
  for (std::size_t i = 0; i < form.size(); ++i) {
    const bool matches = form[i] == "N"   ? ParseNumber(aWords[i]).has_value()
                         : form[i] == "T" ? ParseDuration(aWords[i]).has_value()
                                          : form[i] == aWords[i];
    if (!matches) {
      return false;
    }
  }
  return true;
}

class Runner
{
public:
  Runner(Findings& aFindings, ScenarioEventHook aOnEvent)
    : m_findings(aFindings)
    , m_onEvent(std::move(aOnEvent))
  {
  }

  void Execute(const Statement& aStatement)
  {
    m_line = aStatement.line;
    const std::vector<std::string>& words = aStatement.words;
    const std::string& keyword = words[0];
    if (keyword == "fleet") {
      SetDeployment(words[1]);
    } else if (keyword == "seed") {
      m_options.seed = static_cast<std::uint64_t>(*ParseNumber(words[1]));
    } else if (keyword == "load") {
      m_options.load = *ParseNumber(words[1]);
      if (m_fleet) {
        m_fleet->SetLoad(m_options.load);
      }
    } else if (keyword == "keyed") {
      m_options.keyedShare = *ParseNumber(words[1]);
    } else if (keyword == "expect") {
      Expect(words);
    } else {
      ApplyAction(words);
    }
  }

private:
  EntryFleet& Fleet()
  {
    if (!m_fleet) {
      m_fleet = std::make_unique<EntryFleet>(m_deployment, m_options);
      if (m_onEvent) {
        m_fleet->onEvent = [this](const HostId& aHost, const Event& aEvent) {
          m_onEvent(m_fleet->Queue().Now(), aHost, aEvent);
        };
      }
      m_fleet->Start();
    }
    return *m_fleet;
  }

  void SetDeployment(const std::string& aName)
  {
    m_deployment = aName == "calculos" ? CalculosCalc() : AdzoaProfile();
    if (aName == "small") {
      m_deployment.servers = 12;
      m_deployment.entryHosts = 6;
    }
  }

  std::size_t Index(const std::string& aWord, std::size_t aCount)
  {
    const auto index = static_cast<std::size_t>(*ParseNumber(aWord));
    if (index >= aCount) {
      Fail("no server or host with number " + aWord);
      return 0;
    }
    return index;
  }

  void ApplyAction(const std::vector<std::string>& aWords)
  {
    EntryFleet& fleet = Fleet();
    const std::string& keyword = aWords[0];
    if (keyword == "run") {
      fleet.Run(*ParseDuration(aWords[1]));
    } else if (keyword == "network") {
      FaultNetwork(aWords[1], *ParseNumber(aWords[2]));
    } else if (keyword == "server") {
      FaultServer(Index(aWords[1], fleet.ServerCount()), aWords);
    } else if (keyword == "host") {
      const std::size_t host = Index(aWords[1], fleet.HostCount());
      aWords[2] == "kill" ? fleet.KillHost(host) : fleet.StartHost(host);
    } else if (keyword == "cut") {
      Cut(fleet, aWords);
    } else if (keyword == "heal") {
      fleet.HealPaths();
    } else if (keyword == "silence") {
      fleet.SilenceConnections();
    } else if (keyword == "poison") {
      fleet.SetPoison(*ParseNumber(aWords[1]));
    } else {
      fleet.SetControlReachable(aWords[1] == "back");
    }
  }

  void Cut(EntryFleet& aFleet, const std::vector<std::string>& aWords)
  {
    const std::size_t host = Index(aWords[1], aFleet.HostCount());
    if (aWords[2] != "all") {
      aFleet.CutPath(host, Index(aWords[2], aFleet.ServerCount()));
      return;
    }
    for (std::size_t i = 0; i < aFleet.ServerCount(); ++i) {
      aFleet.CutPath(host, i);
    }
  }

  void FaultNetwork(const std::string& aKind, double aShare)
  {
    FakeNetworkOptions options = Fleet().Network().Options();
    double& share = aKind == "drop"        ? options.drop
                    : aKind == "duplicate" ? options.duplicate
                                           : options.late;
    share = aShare;
    Fleet().Network().SetOptions(options);
  }

  void FaultServer(std::size_t aServer, const std::vector<std::string>& aWords)
  {
    EntryFleet& fleet = Fleet();
    FakeServer& server = fleet.Server(aServer);
    ServerFaults faults = server.Faults();
    const std::string& kind = aWords[2];
    if (kind == "leaving") {
      fleet.SetLeaving(aServer);
    } else if (kind == "mute") {
      fleet.SetAnnouncing(aServer, false);
    } else if (kind == "crash") {
      server.Crash();
    } else if (kind == "restart") {
      server.Restart();
    } else {
      if (kind == "well") {
        faults = ServerFaults();
      } else if (kind == "fail") {
        faults.failureRate = *ParseNumber(aWords[3]);
      } else if (kind == "slow") {
        faults.latencyFactor = *ParseNumber(aWords[3]);
      } else {
        faults.hangRate = *ParseNumber(aWords[3]);
      }
      server.SetFaults(faults);
    }
  }

  void Expect(const std::vector<std::string>& aWords)
  {
    EntryFleet& fleet = Fleet();
    const std::string& what = aWords[1];
    if (what == "restricted") {
      ExpectRestricted(Index(aWords[2], fleet.ServerCount()),
                       *ParseDuration(aWords[4]));
    } else if (what == "nobody") {
      for (std::size_t i = 0; i < fleet.ServerCount(); ++i) {
        if (fleet.RestrictingHosts(i) > 0) {
          Fail("server " + std::to_string(i) + " is restricted");
        }
      }
    } else if (what == "idle") {
      FakeServer& server = fleet.Server(Index(aWords[2], fleet.ServerCount()));
      fleet.Run(*ParseDuration(aWords[4]));
      const std::uint64_t before = server.AcceptedRequests();
      fleet.Run(std::chrono::seconds(2));
      if (server.AcceptedRequests() != before) {
        Fail("the server still accepted " +
             std::to_string(server.AcceptedRequests() - before) + " requests");
      }
    } else if (what == "answered") {
      ExpectAnswered(*ParseNumber(aWords[2]));
    } else if (what == "double-runs") {
      ExpectCount("double runs", fleet.DoubleRuns(), *ParseNumber(aWords[2]));
    } else {
      ExpectCount(
        "false not-runs", fleet.FalseNotRuns(), *ParseNumber(aWords[2]));
    }
  }

  void ExpectRestricted(std::size_t aServer, Duration aLimit)
  {
    EntryFleet& fleet = Fleet();
    const TimePoint end = fleet.Queue().Now() + aLimit;
    while (fleet.Queue().Now() < end && fleet.RestrictingHosts(aServer) == 0) {
      fleet.Run(std::chrono::milliseconds(50));
    }
    if (fleet.RestrictingHosts(aServer) == 0) {
      Fail("no host restricted the server within the time limit");
    }
  }

  void ExpectAnswered(double aShare)
  {
    std::size_t answered = 0;
    std::size_t all = 0;
    for (const RequestResult& result : Fleet().TakeResults()) {
      all += result.poison ? 0 : 1;
      const bool good =
        !result.poison && result.outcome == CallerOutcome::kAnswered;
      answered += good ? 1 : 0;
    }
    const double share =
      static_cast<double>(answered) / std::max<double>(1.0, double(all));
    if (all == 0 || share < aShare) {
      Fail("answered only " + std::to_string(answered) + " of " +
           std::to_string(all));
    }
  }

  void ExpectCount(const char* aCountName, std::size_t aFound, double aExpected)
  {
    if (static_cast<double>(aFound) != aExpected) {
      Fail("found " + std::to_string(aFound) + ' ' + aCountName);
    }
  }

  void Fail(const std::string& aText) { m_findings.Add({ m_line, 1 }, aText); }

  Findings& m_findings;
  ScenarioEventHook m_onEvent;
  int m_line = 0;
  Deployment m_deployment = AdzoaProfile();
  FleetOptions m_options;
  std::unique_ptr<EntryFleet> m_fleet;
};

} // namespace internal

std::vector<Statement>
ParseScenario(const std::string& aText, Findings& aFindings)
{
  std::vector<Statement> statements;
  std::istringstream lines(aText);
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    line.erase(std::min(line.find('#'), line.size()));
    const std::vector<std::string> words = internal::Split(line);
    if (words.empty()) {
      continue;
    }
    bool isValid = false;
    for (const std::string& form : internal::StatementForms()) {
      isValid = isValid || internal::MatchesForm(words, form);
    }
    if (!isValid) {
      aFindings.Add({ number, 1 }, "unknown statement: " + line);
    }
    statements.push_back({ number, words });
  }
  return statements;
}

void
RunScenario(const std::vector<Statement>& aStatements,
            Findings& aFindings,
            const ScenarioEventHook& aOnEvent)
{
  internal::Runner runner(aFindings, aOnEvent);
  for (const Statement& statement : aStatements) {
    runner.Execute(statement);
  }
}

} // namespace fuchsiaramp
