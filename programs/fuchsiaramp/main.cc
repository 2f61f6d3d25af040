// fuchsiaramp: the operators' command-line client.
#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

#include "fuchsiaramp/commands.h"

namespace fuchsiaramp {

static constexpr std::int64_t kMaxTimeoutSeconds = 3600;

static bool
ReadCommandLine(int aCount,
                char** aArguments,
                CommandLine& aLine,
                int& aExitCode)
{
  using StringArg = TCLAP::ValueArg<std::string>;
  using StringListArg = TCLAP::MultiArg<std::string>;
  try {
    TCLAP::CmdLine line("The operators' client of fuchsiaramp. Commands:\n" +
                          CommandHelp(),
                        ' ',
                        "0.1.0");
    line.setExceptionHandling(false);
    StringListArg control(
      "c", "control", "Address of a control host.", false, "IP:PORT", line);
    StringListArg entry(
      "e", "entry", "Address of an entry host.", false, "IP:PORT", line);
    StringArg token(
      "t", "token", "The operator token.", false, "", "TOKEN", line);
    StringArg operatorName("",
                           "operator",
                           "Operator name recorded in the history.",
                           false,
                           "",
                           "NAME",
                           line);
    StringArg changeId("",
                       "change-id",
                       "Id of the change; use the same id to resend it.",
                       false,
                       "",
                       "ID",
                       line);
    TCLAP::ValueArg<std::int64_t> expected(
      "",
      "expected-version",
      "Version that the change is based on.",
      false,
      -1,
      "NUMBER",
      line);
    TCLAP::ValueArg<std::int64_t> timeout(
      "", "timeout", "Seconds before giving up.", false, 30, "SECONDS", line);
    TCLAP::SwitchArg wait(
      "", "wait", "Wait until the change is in force everywhere.", line);
    TCLAP::SwitchArg html("", "html", "Write the time line as HTML.", line);
    StringListArg filter("f",
                         "filter",
                         "Show only events with this field value.",
                         false,
                         "KEY=VALUE",
                         line);
    StringArg output(
      "o", "output", "text or json.", false, "text", "FORMAT", line);
    StringArg against("",
                      "against",
                      "check: compare with this lists document.",
                      false,
                      "",
                      "FILE",
                      line);
    StringArg host("",
                   "host",
                   "check: compare with the lists of this control host.",
                   false,
                   "",
                   "URL",
                   line);
    TCLAP::SwitchArg json("", "json", "check: write JSON.", line);
    StringListArg servers("",
                          "servers",
                          "check: number of servers of a service.",
                          false,
                          "SERVICE=COUNT",
                          line);
    StringArg slots("",
                    "slots",
                    "check: slots of all servers; needs --service-time.",
                    false,
                    "",
                    "COUNT",
                    line);
    StringArg serviceTime("",
                          "service-time",
                          "check: mean time for which a request holds a slot.",
                          false,
                          "",
                          "SPAN",
                          line);
    TCLAP::UnlabeledMultiArg<std::string> words(
      "command", "The command and its arguments.", true, "COMMAND", line);
    line.parse(aCount, aArguments);
    aLine.words = words.getValue();
    aLine.control = control.getValue();
    aLine.entry = entry.getValue();
    aLine.token = token.getValue();
    aLine.operatorName = operatorName.getValue();
    aLine.changeId = changeId.getValue();
    aLine.expectedVersion = expected.getValue();
    aLine.timeout = std::chrono::seconds(std::min(
      std::max<std::int64_t>(timeout.getValue(), 1), kMaxTimeoutSeconds));
    aLine.wait = wait.getValue();
    aLine.html = html.getValue();
    aLine.check.against = against.getValue();
    aLine.check.host = host.getValue();
    aLine.check.json = json.getValue();
    aLine.check.servers = servers.getValue();
    aLine.check.slots = slots.getValue();
    aLine.check.serviceTime = serviceTime.getValue();
    for (const std::string& item : filter.getValue()) {
      const std::size_t equals = item.find('=');
      if (equals == std::string::npos) {
        std::cerr << "--filter needs KEY=VALUE\n";
        aExitCode = kExitUsage;
        return false;
      }
      aLine.filter[item.substr(0, equals)] = item.substr(equals + 1);
    }
    if (output.getValue() != "text" && output.getValue() != "json") {
      std::cerr << "--output must be text or json\n";
      aExitCode = kExitUsage;
      return false;
    }
    aLine.output = output.getValue() == "json" ? Output::kJson : Output::kText;
    return true;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << ' ' << error.argId() << '\n';
    aExitCode = kExitUsage;
  } catch (const TCLAP::ExitException& exit) {
    aExitCode = exit.getExitStatus();
  }
  return false;
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  fuchsiaramp::CommandLine line;
  int exitCode = fuchsiaramp::kExitSuccess;
  if (!fuchsiaramp::ReadCommandLine(aCount, aArguments, line, exitCode)) {
    return exitCode;
  }
  return fuchsiaramp::RunCommand(line);
}
