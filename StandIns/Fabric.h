#ifndef BALSAMRACK_STANDINS_FABRIC_H
#define BALSAMRACK_STANDINS_FABRIC_H

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "StandIns/HttpServer.h"

namespace balsamrack::standins {

/// The stand-in fabric: forwards each packet to a random daemon, with the
/// caller's address in the Forwarded header. Thread-safe.
class Fabric {
public:
  /// Seeds all random choices with \p seed.
  explicit Fabric(uint64_t seed) : Random(seed) {}

  /// Forwards \p message, which was received for the service at \p servicePort,
  /// to a daemon. Tries another daemon only if no connection could be
  /// established.
  Answer forward(uint16_t servicePort, const Message &message);
  /// Answers POST /daemons with a JSON array of {"vm", "ip", "port_offset"}:
  /// sets the daemons to choose from. VMs that are partitioned are not listed.
  Answer handleControl(const Message &message);

private:
  /// A daemon that packets can be forwarded to.
  struct Daemon {
    std::string Ip;          ///< Address of its callers' ports.
    uint16_t PortOffset = 0; ///< Added to the service's port.
  };
  std::vector<Daemon> shuffledDaemons();

  std::mutex Lock;             ///< Guards all members below.
  SeededRandom Random;         ///< Chooses daemons.
  std::vector<Daemon> Daemons; ///< As set by the last control request.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_FABRIC_H
