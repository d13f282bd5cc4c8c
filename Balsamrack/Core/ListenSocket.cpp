#include "Balsamrack/Core/ListenSocket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

namespace {

constexpr int Backlog =
    1024; ///< Maximum number of connections waiting to be accepted.

absl::Status listenError(int error, const Address &address, const char *call) {
  auto code = error == EADDRINUSE ? absl::StatusCode::kAlreadyExists
                                  : absl::StatusCode::kUnavailable;
  return makeError(code, Step::Listen, address.str(),
                   "cannot listen at " + address.str() + ": " + call + ": " +
                       std::generic_category().message(error));
}

} // namespace

absl::StatusOr<ListenSocket> ListenSocket::open(const Address &address) {
  sockaddr_in socketAddress{};
  socketAddress.sin_family = AF_INET;
  socketAddress.sin_port = htons(address.Port);
  if (inet_pton(AF_INET, address.Ip.c_str(), &socketAddress.sin_addr) != 1)
    return makeError(absl::StatusCode::kInvalidArgument, Step::Listen,
                     address.str(), "not an IPv4 address: " + address.Ip);
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return listenError(errno, address, "socket");
  ListenSocket result(fd, address);
  // Without SO_REUSEADDR, a restarted daemon could not listen for a minute
  // while connections of its previous run are in TIME_WAIT.
  int enable = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  auto *addr = reinterpret_cast<sockaddr *>(&socketAddress);
  socklen_t len = sizeof socketAddress;
  if (::bind(fd, addr, len) != 0)
    return listenError(errno, address, "bind");
  if (::listen(fd, Backlog) != 0)
    return listenError(errno, address, "listen");
  if (::getsockname(fd, addr, &len) != 0)
    return listenError(errno, address, "getsockname");
  result.BoundAddress.Port = ntohs(socketAddress.sin_port);
  return result;
}

ListenSocket::ListenSocket(ListenSocket &&other) noexcept
    : Fd(std::exchange(other.Fd, -1)),
      BoundAddress(std::move(other.BoundAddress)) {}

ListenSocket &ListenSocket::operator=(ListenSocket &&other) noexcept {
  std::swap(Fd, other.Fd);
  std::swap(BoundAddress, other.BoundAddress);
  return *this;
}

ListenSocket::~ListenSocket() {
  if (Fd >= 0)
    ::close(Fd);
}

} // namespace balsamrack
