#ifndef BALSAMRACK_STANDINS_FABRIC_H
#define BALSAMRACK_STANDINS_FABRIC_H

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "StandIns/HttpServer.h"

namespace balsamrack::standins {

/// The stand-in fabric: hands each packet to a daemon at random, with the
/// caller's address in Forwarded. Thread-safe throughout.
class Fabric {
public:
  /// Makes the choices that \p seed gives.
  explicit Fabric(uint64_t seed) : Random(seed) {}

  /// Passes \p message, which came in for the service at \p servicePort, to a
  /// daemon. Tries another one only when no connection came about.
  Answer forward(uint16_t servicePort, const Message &message);
  /// Answers POST /daemons with a JSON array of {"vm", "ip", "port_offset"}:
  /// the list to choose from. VMs that are cut off are left out of it.
  Answer handleControl(const Message &message);

private:
  /// A daemon to choose.
  struct Daemon {
    std::string Ip;          ///< Where its callers' ports are.
    uint16_t PortOffset = 0; ///< Added to the service's port.
  };
  std::vector<Daemon> shuffledDaemons();

  std::mutex Lock;             ///< Guards all that follows.
  SeededRandom Random;         ///< Chooses.
  std::vector<Daemon> Daemons; ///< As the last control call said.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_FABRIC_H
