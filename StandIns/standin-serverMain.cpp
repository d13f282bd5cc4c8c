#include <chrono>

#include "StandIns/BackendServer.h"
#include "StandIns/Program.h"

using namespace balsamrack;
using namespace balsamrack::standins;

namespace {

BackendServerSettings parseSettings(const cxxopts::ParseResult &args) {
  auto millis = [&](const char *name) {
    return std::chrono::milliseconds(args[name].as<uint32_t>());
  };
  BackendServerSettings s;
  s.Id = args["id"].as<std::string>();
  s.Service = args["service"].as<std::string>();
  s.Domain = args["domain"].as<std::string>();
  s.Slots = args["slots"].as<uint32_t>();
  s.MaxFlows = args["connections"].as<uint32_t>();
  s.WarmupTime = millis("cold-ms");
  s.MaxRunsWhileCold = args["cold-bears"].as<uint32_t>();
  s.OverloadTime = millis("fall-ms");
  s.RunTime = millis("work-ms");
  s.LongRunTime = millis("long-work-ms");
  return s;
}

} // namespace

int main(int argc, char **argv) {
  prepareSignals();
  cxxopts::Options options("standin-server", "Stand-in for a backend server");
  auto number = [](const char *fallback) {
    return cxxopts::value<uint32_t>()->default_value(fallback);
  };
  auto text = [](const char *fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  options.add_options()("id", "its id in tickets", text("server"))(
      "service", "the service it serves", text("service"))(
      "domain", "its failure domain", text(""))("port", "where to listen",
                                                cxxopts::value<uint16_t>())(
      "slots", "runs at the same time",
      number("2"))("connections", "flows that it holds", number("2000"))(
      "cold-ms", "time until it is warm", number("0"))(
      "cold-bears", "runs at the same time while cold",
      number("1"))("fall-ms", "how long it fails after too many",
                   number("1000"))("work-ms", "time of a run", number("10"))(
      "long-work-ms", "time of a run with ?long=1", number("200"));
  auto args = parseOrExit(options, argc, argv);
  BackendServer server(parseSettings(args));
  auto port =
      HttpServer::listen(loopbackAddress(args["port"].as<uint16_t>()),
                         [&](const Message &m) { return server.serve(m); });
  exitUnlessOk(port.status());
  awaitTerminationSignal();
  return 0;
}
