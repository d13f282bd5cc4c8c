#ifndef BALSAMRACK_CORE_LISTENSOCKET_H
#define BALSAMRACK_CORE_LISTENSOCKET_H

#include "Balsamrack/Core/Address.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// A listening TCP socket, closed by the destructor. Not thread-safe.
class ListenSocket {
public:
  /// Opens a socket that listens on \p address; port zero selects a free port.
  /// On failure returns an error (step listen, peer ip:port) with the system's
  /// reason: kAlreadyExists if the port is in use, kUnavailable if the address
  /// is not local or not permitted. Thread-safe.
  static absl::StatusOr<ListenSocket> open(const Address &address);

  ListenSocket(ListenSocket &&other) noexcept;
  ListenSocket &operator=(ListenSocket &&other) noexcept;
  ~ListenSocket();

  /// The file descriptor, still owned by this object.
  int fd() const { return Fd; }
  /// The address that it listens on, with the actual port.
  const Address &address() const { return BoundAddress; }

private:
  ListenSocket(int fd, Address address)
      : Fd(fd), BoundAddress(std::move(address)) {}

  int Fd;               ///< -1 after a move.
  Address BoundAddress; ///< Address that it listens on.
};

} // namespace balsamrack

#endif // BALSAMRACK_CORE_LISTENSOCKET_H
