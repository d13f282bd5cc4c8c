#include "UnitTests/Http/ReservedPort.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace balsamrack {

ReservedPort::ReservedPort()
    : Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), At{"127.0.0.1", 0} {
  // Two sockets with this option may share a port as long as at most one of
  // them listens.
  int on = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto *addr = reinterpret_cast<sockaddr *>(&raw);
  socklen_t len = sizeof raw;
  if (::bind(Fd, addr, len) == 0 && ::getsockname(Fd, addr, &len) == 0)
    At.Port = ntohs(raw.sin_port);
}

ReservedPort::~ReservedPort() { ::close(Fd); }

} // namespace balsamrack
