#include <memory>
#include <vector>

#include "Balsamrack/Core/Errors.h"
#include "StandIns/Fabric.h"
#include "StandIns/Program.h"
#include "absl/strings/numbers.h"

using namespace balsamrack;
using namespace balsamrack::standins;

namespace {

using Servers = std::vector<std::unique_ptr<HttpServer>>;

// Opens a port of the fabric, given as "PORT=SERVICEPORT".
absl::Status listenForService(Fabric &fabric, const std::string &mapping,
                              Servers &servers) {
  size_t equals = mapping.find('=');
  uint32_t fabricPort = 0;
  uint32_t service = 0;
  if (equals == std::string::npos ||
      !absl::SimpleAtoi(mapping.substr(0, equals), &fabricPort) ||
      !absl::SimpleAtoi(mapping.substr(equals + 1), &service))
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings,
                     mapping, "a map is PORT=SERVICEPORT");
  auto servicePort = static_cast<uint16_t>(service);
  auto server =
      HttpServer::listen(loopbackAddress(static_cast<uint16_t>(fabricPort)),
                         [&fabric, servicePort](const Message &m) {
                           return fabric.forward(servicePort, m);
                         });
  if (server.ok())
    servers.push_back(std::move(*server));
  return server.status();
}

} // namespace

int main(int argc, char **argv) {
  prepareSignals();
  cxxopts::Options options("standin-fabric",
                           "Stand-in for the fabric: sprays packets");
  options.add_options()("map", "PORT=SERVICEPORT, one or more",
                        cxxopts::value<std::vector<std::string>>())(
      "control-port", "where POST /daemons sets the list",
      cxxopts::value<uint16_t>())(
      "seed", "of its choices", cxxopts::value<uint64_t>()->default_value("1"));
  auto args = parseOrExit(options, argc, argv);
  Fabric fabric(args["seed"].as<uint64_t>());
  Servers servers;
  for (const auto &mapping : args["map"].as<std::vector<std::string>>())
    exitUnlessOk(listenForService(fabric, mapping, servers));
  auto control = HttpServer::listen(
      loopbackAddress(args["control-port"].as<uint16_t>()),
      [&](const Message &m) { return fabric.handleControl(m); });
  exitUnlessOk(control.status());
  awaitTerminationSignal();
  return 0;
}
