#ifndef BALSAMRACK_PLATFORM_PLATFORMLINK_H
#define BALSAMRACK_PLATFORM_PLATFORMLINK_H

#include <memory>
#include <string>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/World.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Response of the platform to a read or watch of tickets.
struct TicketPage {
  TicketNumber Highest; ///< Highest ticket known to the responding replica.
  std::vector<std::string> Tickets; ///< JSON text of each ticket above the
                                    ///< requested number, lowest first.
};

/// Response of the platform to a read or watch of the VM list.
struct VmPage {
  uint64_t Version = 0; ///< Increases with each change of the list.
  std::vector<EntryVm>
      Vms; ///< The list; it lags, and still contains dead VMs for a while.
};

/// Reads and watches the platform; each call counts towards its read limit.
class PlatformLink {
public:
  virtual ~PlatformLink() = default;
  /// Reads the tickets above \p after; waits up to \p wait for one to appear.
  /// Blocks. Error (step read-platform) when the platform is down, responds too
  /// late, or sends no valid ticket page. Thread-safe.
  virtual absl::StatusOr<TicketPage> readTickets(TicketNumber after,
                                                 Duration wait) = 0;
  /// Reads the VM list as soon as its version is above \p after or \p wait has
  /// passed. Blocks. Errors as above. Thread-safe.
  virtual absl::StatusOr<VmPage> readVms(uint64_t after, Duration wait) = 0;
  /// Cancels waiting calls with kCancelled. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

/// Creates the HTTP link to the platform at \p at. Thread-safe.
std::unique_ptr<PlatformLink> createHttpPlatformLink(const Address &at);

} // namespace balsamrack

#endif // BALSAMRACK_PLATFORM_PLATFORMLINK_H
