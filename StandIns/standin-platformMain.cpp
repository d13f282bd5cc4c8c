#include <memory>
#include <mutex>
#include <sstream>
#include <utility>

#include "StandIns/Platform.h"
#include "StandIns/Program.h"

using namespace balsamrack;
using namespace balsamrack::standins;

namespace {

/// The readers' port. It is closed while the platform is down.
class ReaderPort {
public:
  ReaderPort(Platform &platform, Address at)
      : StandIn(platform), At(std::move(at)) {}

  /// Opens or closes the port according to the mode of the platform.
  /// Thread-safe.
  absl::Status applyMode() {
    std::lock_guard<std::mutex> guard(Lock);
    if (StandIn.isDown())
      Server = nullptr;
    if (StandIn.isDown() || Server)
      return absl::OkStatus();
    auto server = HttpServer::listen(
        At, [this](const Message &m) { return StandIn.serveReader(m); });
    if (server.ok())
      Server = std::move(*server);
    return server.status();
  }

private:
  Platform &StandIn;                  ///< Answers the requests.
  const Address At;                   ///< Address to listen at.
  std::mutex Lock;                    ///< Guards Server.
  std::unique_ptr<HttpServer> Server; ///< Null while down.
};

void loadFiles(Platform &platform, const cxxopts::ParseResult &args) {
  if (args.count("vms") > 0)
    exitUnlessOk(
        platform.setVms(readFileOrExit(args["vms"].as<std::string>())));
  if (args.count("tickets") == 0)
    return;
  // One ticket per line.
  std::istringstream lines(readFileOrExit(args["tickets"].as<std::string>()));
  for (std::string line; std::getline(lines, line);)
    if (!line.empty())
      exitUnlessOk(platform.addTicket(line));
}

} // namespace

int main(int argc, char **argv) {
  prepareSignals();
  cxxopts::Options options("standin-platform",
                           "Stand-in for the platform: tickets and VM list");
  options.add_options()("port", "the readers' port",
                        cxxopts::value<uint16_t>())(
      "control-port", "the operators' port", cxxopts::value<uint16_t>())(
      "tickets", "file of tickets, one a line", cxxopts::value<std::string>())(
      "vms", "file with the VM list", cxxopts::value<std::string>());
  auto args = parseOrExit(options, argc, argv);
  Platform platform;
  loadFiles(platform, args);
  ReaderPort reader(platform, loopbackAddress(args["port"].as<uint16_t>()));
  exitUnlessOk(reader.applyMode());
  auto control =
      HttpServer::listen(loopbackAddress(args["control-port"].as<uint16_t>()),
                         [&](const Message &m) {
                           Answer a = platform.serveOperator(m);
                           exitUnlessOk(reader.applyMode());
                           return a;
                         });
  exitUnlessOk(control.status());
  awaitTerminationSignal();
  return 0;
}
