// balsamctl: the operators' client. Queries all daemons and prints one report.

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <thread>

#include <cxxopts.hpp>

#include "Balsamrack/Client/OperatorClient.h"
#include "Balsamrack/Client/Report.h"
#include "Balsamrack/Client/TicketCommands.h"
#include "absl/strings/str_split.h"

namespace balsamrack {
namespace {

/// Time between two requests while waiting for a ticket to be in force.
constexpr std::chrono::milliseconds PollInterval{100};

/// One parsed command line, without the subcommand.
struct CommandLine {
  std::vector<std::string> Arguments; ///< Positional arguments.
  std::vector<Address> Daemons;       ///< Operators' ports to query.
  OutputFormat Format = OutputFormat::Text;
  Duration Timeout{2'000'000};
  Duration Wait{0};
  uint32_t Limit = 100;

  absl::StatusOr<OperatorClient> client() const {
    return OperatorClient::create(Daemons, Timeout);
  }
};

/// A subcommand with its arguments, help text and function.
struct Command {
  const char *Name;                               ///< Such as "explain".
  const char *ArgumentSyntax;                     ///< Such as "KIND ID".
  size_t ArgumentCount;                           ///< Number of arguments.
  const char *Help;                               ///< One sentence.
  std::function<Report(const CommandLine &)> Run; ///< Runs it.
};

Report usageError(const std::string &message) {
  return {"", ExitCodes::Usage, "balsamctl: " + message + "\n"};
}

/// Sends one request to all daemons and reports with \p makeReport.
Report ask(const CommandLine &line, const std::string &path,
           const OperatorClient::Query &query,
           Report (*makeReport)(const std::vector<DaemonReply> &,
                                OutputFormat)) {
  auto client = line.client();
  if (!client.ok())
    return usageError(std::string(client.status().message()));
  return makeReport(client->askAll(path, query), line.Format);
}

Report explain(const CommandLine &line) {
  const std::string &kind = line.Arguments[0];
  if (kind != "request" && kind != "flow" && kind != "server" &&
      kind != "ticket")
    return usageError("explain takes request, flow, server or ticket, not " +
                      kind);
  return ask(line, "explain", {{"kind", kind}, {"id", line.Arguments[1]}},
             reportDecisions);
}

/// Repeats the request until the ticket is in force on all daemons or the wait
/// has passed.
Report waitUntilInForce(const CommandLine &line) {
  const auto deadline = std::chrono::steady_clock::now() + line.Wait;
  for (;;) {
    Report report = ask(line, "tickets/in-force",
                        {{"number", line.Arguments[1]}}, reportInForce);
    if (report.ExitCode == ExitCodes::Good ||
        report.ExitCode == ExitCodes::Usage ||
        std::chrono::steady_clock::now() >= deadline)
      return report;
    std::this_thread::sleep_for(PollInterval);
  }
}

Report runTickets(const CommandLine &line) {
  if (line.Arguments[0] == "in-force")
    return waitUntilInForce(line);
  if (line.Arguments[0] != "check")
    return usageError("tickets takes check FILE or in-force N");
  std::ifstream file(line.Arguments[1], std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return usageError("can't read " + line.Arguments[1]);
  std::vector<DaemonReply> replies;
  if (!line.Daemons.empty()) {
    auto client = line.client();
    if (!client.ok())
      return usageError(std::string(client.status().message()));
    replies = client->askAll("configuration", {});
  }
  return checkTicketText(text.str(), replies, line.Format);
}

const std::vector<Command> &commands() {
  static const std::vector<Command> all = {
      {"status", "", 0, "Tickets, peers, owners and domains of every daemon.",
       [](const CommandLine &line) {
         return ask(line, "status", {}, reportStatus);
       }},
      {"servers", "", 0, "Every backend server, as its owner sees it.",
       [](const CommandLine &line) {
         return ask(line, "servers", {}, reportServers);
       }},
      {"flows", "", 0, "Flows that each daemon holds (see --limit).",
       [](const CommandLine &line) {
         return ask(line, "flows", {{"limit", std::to_string(line.Limit)}},
                    reportFlows);
       }},
      {"tickets", "check FILE | in-force N", 2,
       "Checks a ticket as the daemons will, and tells what it would change; "
       "or tells whether ticket N is in force (see --wait).",
       runTickets},
      {"explain", "request|flow|server|ticket ID", 2,
       "The decisions about one thing: rule, inputs, ticket, step, peer.",
       explain},
      {"where", "SERVICE FLOW", 2, "Where a flow would go now, and why.",
       [](const CommandLine &line) {
         return ask(
             line, "where",
             {{"service", line.Arguments[0]}, {"flow", line.Arguments[1]}},
             reportDecisions);
       }},
      {"metrics", "", 0, "Metrics of every daemon, Prometheus text format.",
       [](const CommandLine &line) {
         return line.Format == OutputFormat::Json
                    ? ask(line, "metrics.json", {}, reportMetrics)
                    : ask(line, "metrics", {}, reportMetrics);
       }},
      {"trace", "ID", 1, "The spans of one trace.",
       [](const CommandLine &line) {
         return ask(line, "trace", {{"id", line.Arguments[0]}}, reportTrace);
       }},
  };
  return all;
}

std::string helpText() {
  std::string text =
      "balsamctl: asks the daemons of a balsamrack fleet.\n\n"
      "usage: balsamctl [--daemons IP:PORT,...] COMMAND [ARGUMENTS] "
      "[OPTIONS]\n\n";
  for (const Command &it : commands())
    text += std::string("  ") + it.Name + " " + it.ArgumentSyntax + "\n      " +
            it.Help + "\n";
  text += "\nThe daemons may also be named in BALSAMRACK_DAEMONS. Exit codes: "
          "0 good,\n1 the answer is no, 2 wrong usage, 3 some daemons didn't "
          "answer, 4 none did.\n";
  return text;
}

cxxopts::Options makeOptions(const Command *command) {
  cxxopts::Options options(
      command ? std::string("balsamctl ") + command->Name : "balsamctl",
      command ? command->Help : "Asks the daemons of a balsamrack fleet.");
  const char *daemons = std::getenv("BALSAMRACK_DAEMONS");
  options.add_options()(
      "daemons", "operators' ports to ask, IP:PORT,...",
      cxxopts::value<std::string>()->default_value(daemons ? daemons : ""))(
      "output", "text or json",
      cxxopts::value<std::string>()->default_value("text"))(
      "timeout", "seconds to wait for a daemon",
      cxxopts::value<uint32_t>()->default_value("2"))(
      "wait", "seconds to wait for a ticket (tickets in-force)",
      cxxopts::value<uint32_t>()->default_value("0"))(
      "limit", "flows to list of each daemon (flows)",
      cxxopts::value<uint32_t>()->default_value("100"))(
      "version", "print the version")("h,help", "print this help")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  if (command)
    options.positional_help(command->ArgumentSyntax);
  return options;
}

const Command *findCommand(const std::string &name) {
  for (const Command &it : commands())
    if (name == it.Name)
      return &it;
  return nullptr;
}

/// Fills \p line from the parsed options; returns an error message, or an empty
/// string.
std::string parseOptions(const cxxopts::ParseResult &parsed,
                         CommandLine &line) {
  const std::string format = parsed["output"].as<std::string>();
  if (format != "text" && format != "json")
    return "--output takes text or json, not " + format;
  line.Format = format == "json" ? OutputFormat::Json : OutputFormat::Text;
  line.Timeout = std::chrono::seconds(parsed["timeout"].as<uint32_t>());
  line.Wait = std::chrono::seconds(parsed["wait"].as<uint32_t>());
  line.Limit = parsed["limit"].as<uint32_t>();
  for (const absl::string_view it : absl::StrSplit(
           parsed["daemons"].as<std::string>(), ',', absl::SkipEmpty())) {
    auto address = Address::parse(std::string(it));
    if (!address.ok())
      return "--daemons: " + std::string(address.status().message());
    line.Daemons.push_back(*address);
  }
  return "";
}

int print(const Report &report) {
  std::cout << report.Text;
  std::cerr << report.Notes;
  return report.ExitCode;
}

int run(int argc, char **argv) {
  // The first positional argument names the subcommand.
  cxxopts::ParseResult parsed = makeOptions(nullptr).parse(argc, argv);
  if (parsed.count("version")) {
    std::cout << "balsamctl " << BALSAMRACK_VERSION << "\n";
    return ExitCodes::Good;
  }
  std::vector<std::string> words;
  if (parsed.count("words"))
    words = parsed["words"].as<std::vector<std::string>>();
  if (words.empty()) {
    std::cout << helpText();
    return parsed.count("help") ? ExitCodes::Good : ExitCodes::Usage;
  }
  const Command *command = findCommand(words[0]);
  if (!command)
    return print(usageError("no command " + words[0] + "; see --help"));
  if (parsed.count("help")) {
    std::cout << makeOptions(command).help();
    return ExitCodes::Good;
  }

  // Parses the remaining arguments and runs the subcommand.
  CommandLine line;
  line.Arguments.assign(words.begin() + 1, words.end());
  if (line.Arguments.size() != command->ArgumentCount)
    return print(usageError(
        std::string(command->Name) + " takes " +
        (*command->ArgumentSyntax ? command->ArgumentSyntax : "no arguments")));
  const std::string error = parseOptions(parsed, line);
  if (!error.empty())
    return print(usageError(error));
  return print(command->Run(line));
}

} // namespace
} // namespace balsamrack

int main(int argc, char **argv) {
  // cxxopts reports invalid usage by exceptions.
  try {
    return balsamrack::run(argc, argv);
  } catch (const std::exception &error) {
    std::cerr << "balsamctl: " << error.what() << "; see --help\n";
    return balsamrack::ExitCodes::Usage;
  }
}
