#include "Balsamrack/Core/DatagramSocket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

absl::StatusOr<int> openDatagramSocket(const Address &address,
                                       int bufferBytes) {
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return makeError(absl::StatusCode::kUnavailable, Step::Listen,
                     address.str(), std::strerror(errno));
  // Errors are ignored: smaller buffers only drop more datagrams in a burst.
  (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
  (void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes);
  sockaddr_in socketAddress{};
  socketAddress.sin_family = AF_INET;
  socketAddress.sin_port = htons(address.Port);
  inet_pton(AF_INET, address.Ip.c_str(), &socketAddress.sin_addr);
  if (bind(fd, reinterpret_cast<sockaddr *>(&socketAddress),
           sizeof socketAddress) == 0)
    return fd;
  int error = errno;
  close(fd);
  auto code = error == EADDRINUSE ? absl::StatusCode::kAlreadyExists
                                  : absl::StatusCode::kUnavailable;
  return makeError(code, Step::Listen, address.str(), std::strerror(error));
}

} // namespace balsamrack
