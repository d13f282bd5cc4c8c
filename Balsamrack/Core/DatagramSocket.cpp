#include "Balsamrack/Core/DatagramSocket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

absl::StatusOr<int> openDatagramSocket(const Address &at, int bufferBytes) {
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return makeError(absl::StatusCode::kUnavailable, Step::Listen, at.str(),
                     std::strerror(errno));
  // Smaller buffers than asked for only lose more in a burst.
  (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
  (void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(at.Port);
  inet_pton(AF_INET, at.Ip.c_str(), &to.sin_addr);
  if (bind(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0)
    return fd;
  int error = errno;
  close(fd);
  auto code = error == EADDRINUSE ? absl::StatusCode::kAlreadyExists
                                  : absl::StatusCode::kUnavailable;
  return makeError(code, Step::Listen, at.str(), std::strerror(error));
}

} // namespace balsamrack
