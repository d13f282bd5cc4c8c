#include "UnitTests/Http/RawConnection.h"

#include <arpa/inet.h>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace balsamrack {

namespace {

constexpr timeval ReadTimeout{10, 0};

size_t contentLength(const std::string &header) {
  for (size_t at = 0; (at = header.find("\r\n", at)) != std::string::npos;) {
    at += 2;
    if (strncasecmp(header.c_str() + at, "content-length:", 15) == 0)
      return std::strtoul(header.c_str() + at + 15, nullptr, 10);
  }
  return 0;
}

} // namespace

RawConnection::RawConnection(int fd) : Shared(std::make_shared<Handle>()) {
  Shared->Fd = fd;
}

RawConnection &RawConnection::operator=(RawConnection &&other) noexcept {
  std::swap(Shared, other.Shared);
  std::swap(Buffer, other.Buffer);
  return *this;
}

RawConnection::~RawConnection() { close(); }

RawConnection RawConnection::connectTo(const Address &at) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(at.Port);
  inet_pton(AF_INET, at.Ip.c_str(), &raw.sin_addr);
  RawConnection made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  ::setsockopt(made.Shared->Fd, SOL_SOCKET, SO_RCVTIMEO, &ReadTimeout,
               sizeof ReadTimeout);
  if (::connect(made.Shared->Fd, reinterpret_cast<sockaddr *>(&raw),
                sizeof raw) != 0)
    made.close();
  return made;
}

RawConnection RawConnection::acceptOn(int fd) {
  RawConnection made(::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC));
  if (made.isOpen())
    ::setsockopt(made.Shared->Fd, SOL_SOCKET, SO_RCVTIMEO, &ReadTimeout,
                 sizeof ReadTimeout);
  return made;
}

bool RawConnection::sendAll(const std::string &bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n = ::send(Shared->Fd, bytes.data() + sent, bytes.size() - sent,
                       MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

bool RawConnection::readMore() {
  char chunk[16384];
  ssize_t n = ::recv(Shared->Fd, chunk, sizeof chunk, 0);
  if (n > 0)
    Buffer.append(chunk, static_cast<size_t>(n));
  return n > 0;
}

std::string RawConnection::readMessage() {
  size_t end = 0;
  while ((end = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!readMore())
      return {};
  size_t size = end + 4 + contentLength(Buffer.substr(0, end));
  while (Buffer.size() < size && readMore()) {
  }
  std::string message = Buffer.substr(0, size);
  Buffer.erase(0, size);
  return message;
}

std::string RawConnection::readToEnd() {
  while (readMore()) {
  }
  return std::exchange(Buffer, {});
}

void RawConnection::close(bool reset) {
  if (!Shared)
    return;
  std::lock_guard<std::mutex> hold(Shared->Lock);
  if (Shared->Fd < 0)
    return;
  linger resetOnClose{1, 0};
  if (reset)
    ::setsockopt(Shared->Fd, SOL_SOCKET, SO_LINGER, &resetOnClose,
                 sizeof resetOnClose);
  ::close(std::exchange(Shared->Fd, -1));
}

std::function<void()> RawConnection::interrupter() const {
  return [shared = Shared] {
    std::lock_guard<std::mutex> hold(shared->Lock);
    if (shared->Fd >= 0)
      ::shutdown(shared->Fd, SHUT_RDWR);
  };
}

bool waitUntil(const std::function<bool()> &condition) {
  using std::chrono::steady_clock;
  auto deadline = steady_clock::now() + std::chrono::seconds(60);
  while (!condition()) {
    if (steady_clock::now() > deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

} // namespace balsamrack
