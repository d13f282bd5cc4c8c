#ifndef BALSAMRACK_WORLD_WORLD_H
#define BALSAMRACK_WORLD_WORLD_H

#include <cstdint>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Mode of a backend server as set by operators.
enum class ServerMode {
  Active,   ///< Accepts new flows.
  Draining, ///< Accepts no new flows; established ones continue until they end
            ///< or the drain limit is reached.
};

/// A failure domain: entry VMs and backend servers that may fail together.
struct FailureDomain {
  DomainId Id;           ///< Name, such as bern-a.
  RegionId Region;       ///< Region of the domain.
  bool InService = true; ///< False once operators have taken it out of service.
};

/// A service: its caller ports and its limits.
struct Service {
  ServiceId Id; ///< Name, such as pitch-booking.
  std::vector<uint16_t>
      Ports; ///< Caller ports on each entry VM, exclusive to this service.
  uint32_t QueuePerServer = 32; ///< Maximum queue length per backend server.
  Duration DefaultTimeout{
      10'000'000}; ///< Used for requests without a stated remaining time.
  Duration ExpectedServiceTime{
      50'000}; ///< Estimated service time until responses have been measured.
  Duration FlowIdleTimeout = Duration(
      900'000'000); ///< A flow without packets for this long is removed.
};

/// A backend server as described by the ticket in force.
struct BackendServer {
  ServerId Id; ///< Name, such as booking-03.
  ServiceId
      Service; ///< Service of the server; each server belongs to exactly one.
  DomainId Domain;             ///< Failure domain of the server.
  Address At;                  ///< Address that it accepts requests on.
  uint32_t Slots = 2;          ///< Requests that it processes concurrently.
  uint32_t Connections = 2000; ///< Maximum number of flows.
  uint32_t Weight =
      100; ///< Weight for new flows relative to other servers of its service.
  ServerMode Mode = ServerMode::Active; ///< Mode set by operators.
  Duration DrainLimit{600'000'000};     ///< Flows still open after this long in
                                        ///< Draining are given up.
};

/// An entry VM as described by the platform's list or by a peer.
struct EntryVm {
  VmId Id;              ///< Name, unique in the fleet.
  DomainId Domain;      ///< Failure domain of the VM.
  Address PeerAt;       ///< Address on which its daemon listens for peers.
  bool Leaving = false; ///< True when the platform is about to remove it.
};

} // namespace balsamrack

#endif // BALSAMRACK_WORLD_WORLD_H
