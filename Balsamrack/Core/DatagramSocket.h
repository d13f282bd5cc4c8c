#ifndef BALSAMRACK_CORE_DATAGRAMSOCKET_H
#define BALSAMRACK_CORE_DATAGRAMSOCKET_H

#include "Balsamrack/Core/Address.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Opens a non-blocking UDP socket bound to \p address, with receive and send
/// buffers of \p bufferBytes as far as the system grants them. The caller
/// closes it. Returns an error (step listen, peer ip:port) if the address is in
/// use or not local. Thread-safe.
absl::StatusOr<int> openDatagramSocket(const Address &address, int bufferBytes);

} // namespace balsamrack

#endif // BALSAMRACK_CORE_DATAGRAMSOCKET_H
