#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <set>
#include <vector>

#include "Balsamrack/Core/Errors.h"
#include "StandIns/HttpServer.h"
#include "StandIns/LoadGenerator.h"
#include "StandIns/Program.h"

using namespace balsamrack;
using namespace balsamrack::standins;

namespace {

using StringList = std::vector<std::string>;

/// Parses a target "NAME=IP:PORT"; exits if it is malformed.
CallTarget parseTarget(const std::string &text) {
  size_t equals = text.find('=');
  auto at = Address::parse(
      equals == std::string::npos ? "" : text.substr(equals + 1));
  exitUnlessOk(addErrorContext(at.status(), Step::ReadSettings, text));
  return {text.substr(0, equals), *at};
}

std::vector<CallTarget> parseTargets(const cxxopts::ParseResult &args,
                                     const char *name) {
  std::vector<CallTarget> targets;
  if (args.count(name) > 0)
    for (const auto &text : args[name].as<StringList>())
      targets.push_back(parseTarget(text));
  return targets;
}

CallSettings parseSettings(const cxxopts::ParseResult &args) {
  CallSettings s;
  s.Targets = parseTargets(args, "service");
  s.Seed = args["seed"].as<uint64_t>();
  s.Callers = args["callers"].as<uint32_t>();
  s.PacketsPerFlow = args["packets"].as<uint32_t>();
  s.MaxThinkTime = std::chrono::milliseconds(args["think-ms"].as<uint32_t>());
  s.Timeout = std::chrono::milliseconds(args["timeout-ms"].as<uint32_t>());
  s.ReturnsToken = args.count("no-token") == 0;
  return s;
}

/// Lets a control request stop the load.
class StopControl {
public:
  Answer handleControl(const Message &message, LoadGenerator &load) {
    if (pathOf(message.Target) == "/report")
      return jsonAnswer(200, load.report().toJson());
    std::lock_guard<std::mutex> guard(Lock);
    Stopped = true;
    Changed.notify_all();
    return jsonAnswer(200, "{}");
  }
  void awaitStop(std::chrono::seconds limit) {
    std::unique_lock<std::mutex> lock(Lock);
    Changed.wait_for(lock, limit, [&] { return Stopped; });
  }

private:
  std::mutex Lock;                 ///< Guards Stopped.
  std::condition_variable Changed; ///< Notified when Stopped is set.
  bool Stopped = false;            ///< Whether POST /stop was received.
};

} // namespace

int main(int argc, char **argv) {
  prepareSignals();
  cxxopts::Options options("standin-callers", "Stand-in for the callers");
  auto number = [](const char *fallback) {
    return cxxopts::value<uint32_t>()->default_value(fallback);
  };
  options.add_options()("service", "NAME=IP:PORT of the fabric, one or more",
                        cxxopts::value<StringList>())(
      "server", "SERVICE=IP:PORT of each server, to compare run counts",
      cxxopts::value<StringList>())("out-domain",
                                    "failure domain that was taken out",
                                    cxxopts::value<StringList>())(
      "control-port", "GET /report, POST /stop", cxxopts::value<uint16_t>())(
      "seed", "of all choices", cxxopts::value<uint64_t>()->default_value("1"))(
      "callers", "flows open at the same time",
      number("16"))("packets", "requests of one flow", number("20"))(
      "think-ms", "longest pause between requests",
      number("20"))("timeout-ms", "remaining time of a request",
                    number("5000"))("seconds", "longest run", number("60"))(
      "no-token", "don't return the flow token")(
      "report", "file for the report", cxxopts::value<std::string>());
  auto args = parseOrExit(options, argc, argv);
  LoadGenerator load(parseSettings(args));
  StopControl stopControl;
  auto control = HttpServer::listen(
      loopbackAddress(args["control-port"].as<uint16_t>()),
      [&](const Message &m) { return stopControl.handleControl(m, load); });
  exitUnlessOk(control.status());
  stopControl.awaitStop(std::chrono::seconds(args["seconds"].as<uint32_t>()));
  load.stop();
  LoadReport report = load.report();
  for (const CallTarget &server : parseTargets(args, "server"))
    exitUnlessOk(report.addServerCounts(server.FabricAddress, server.Service));
  report.countRunViolations();
  std::set<std::string> domainsOut;
  if (args.count("out-domain") > 0)
    for (const auto &domain : args["out-domain"].as<StringList>())
      domainsOut.insert(domain);
  report.countLostFlows(domainsOut);
  if (args.count("report") > 0)
    std::ofstream(args["report"].as<std::string>()) << report.toJson() << "\n";
  std::printf("%s\n", report.summaryLine().c_str());
  return report.isClean() ? 0 : 1;
}
