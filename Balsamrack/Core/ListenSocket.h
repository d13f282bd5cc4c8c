#ifndef BALSAMRACK_CORE_LISTENSOCKET_H
#define BALSAMRACK_CORE_LISTENSOCKET_H

#include "Balsamrack/Core/Address.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// A TCP socket that listens. Closes itself. Not thread-safe.
class ListenSocket {
public:
  /// Opens a socket that listens at \p at; port zero takes a free one. Error
  /// (step listen, peer ip:port) with the system's reason: kAlreadyExists when
  /// the port is taken, kUnavailable when the address is not ours or may not be
  /// used. Thread-safe.
  static absl::StatusOr<ListenSocket> open(const Address &address);

  ListenSocket(ListenSocket &&other) noexcept;
  ListenSocket &operator=(ListenSocket &&other) noexcept;
  ~ListenSocket();

  /// The file descriptor, still owned by this object.
  int fd() const { return Fd; }
  /// Where it listens, with the real port.
  const Address &address() const { return BoundAddress; }

private:
  ListenSocket(int fd, Address address)
      : Fd(fd), BoundAddress(std::move(address)) {}

  int Fd;               ///< -1 once moved from.
  Address BoundAddress; ///< Where it listens.
};

} // namespace balsamrack

#endif // BALSAMRACK_CORE_LISTENSOCKET_H
