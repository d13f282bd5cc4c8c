#include "Soak/FaultyLink.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "Balsamrack/Core/DatagramSocket.h"
#include "Balsamrack/Packets/Packet.h"

namespace balsamrack::soak {

namespace {

constexpr int PollTimeoutMillis = 2;
constexpr int SocketBufferBytes = 1024 * 1024;
constexpr uint64_t Thousand = 1000;
constexpr uint64_t MaxDelayMicros = 30'000;

} // namespace

absl::StatusOr<std::unique_ptr<FaultyLink>>
FaultyLink::create(const Address &at, const Address &to, bool acceptsTcp,
                   uint64_t seed) {
  auto fd = openDatagramSocket(at, SocketBufferBytes);
  if (!fd.ok())
    return fd.status();
  return std::unique_ptr<FaultyLink>(
      new FaultyLink(*fd, at, to, acceptsTcp, seed));
}

FaultyLink::FaultyLink(int fd, Address at, const Address &to, bool acceptsTcp,
                       uint64_t seed)
    : Fd(fd), At(std::move(at)), To(to), AcceptsTcp(acceptsTcp), Random(seed),
      Loop([this] { run(); }) {}

FaultyLink::~FaultyLink() {
  Stopping = true;
  Loop.join();
  close(Fd);
}

void FaultyLink::setFaults(const LinkFaults &faults) {
  std::lock_guard<std::mutex> hold(Lock);
  Faults = faults;
}

void FaultyLink::setSourceBlocked(const std::string &ip, bool blocked) {
  uint32_t source = Endpoint::of({ip, 1}).Ip;
  std::lock_guard<std::mutex> hold(Lock);
  if (blocked)
    BlockedSources.insert(source);
  else
    BlockedSources.erase(source);
}

void FaultyLink::run() {
  SystemClock clock;
  while (!Stopping) {
    acceptConnections();
    pollfd polled{Fd, POLLIN, 0};
    poll(&polled, 1, PollTimeoutMillis);
    TimePoint now = clock.now();
    receiveDatagrams(now);
    while (!Delayed.empty() && Delayed.top().Due <= now) {
      forward(Delayed.top().Bytes);
      Delayed.pop();
    }
  }
}

void FaultyLink::acceptConnections() {
  if (!AcceptsTcp)
    return;
  if (Silent) {
    Listener.reset();
    return;
  }
  if (!Listener) {
    auto opened = ListenSocket::open(At);
    // The previous run may still hold the port briefly; retried in the next
    // iteration.
    if (!opened.ok())
      return;
    Listener = std::make_unique<ListenSocket>(*std::move(opened));
  }
  pollfd polled{Listener->fd(), POLLIN, 0};
  while (poll(&polled, 1, 0) > 0) {
    int fd = accept4(Listener->fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      return;
    close(fd);
  }
}

void FaultyLink::receiveDatagrams(TimePoint now) {
  std::array<uint8_t, 1500> buf{};
  sockaddr_in from{};
  socklen_t length = sizeof from;
  for (ssize_t n = 0;
       (n = recvfrom(Fd, buf.data(), buf.size(), MSG_DONTWAIT,
                     reinterpret_cast<sockaddr *>(&from), &length)) > 0;
       length = sizeof from) {
    std::lock_guard<std::mutex> hold(Lock);
    bool blocked = BlockedSources.count(ntohl(from.sin_addr.s_addr)) != 0;
    if (Silent || blocked || Random.below(Thousand) < Faults.LossPerThousand)
      continue;
    std::vector<uint8_t> bytes(buf.begin(), buf.begin() + n);
    int copies = Random.below(Thousand) < Faults.DuplicatesPerThousand ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Random.below(Thousand) >= Faults.DelaysPerThousand) {
        forward(bytes);
        continue;
      }
      Duration delay(static_cast<int64_t>(Random.below(MaxDelayMicros)));
      Delayed.push({now + delay, bytes});
    }
  }
}

void FaultyLink::forward(const std::vector<uint8_t> &bytes) const {
  sockaddr_in destination{};
  destination.sin_family = AF_INET;
  destination.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Ip.c_str(), &destination.sin_addr);
  // A datagram that the socket does not accept counts as lost.
  (void)sendto(Fd, bytes.data(), bytes.size(), 0,
               reinterpret_cast<sockaddr *>(&destination), sizeof destination);
}

} // namespace balsamrack::soak
