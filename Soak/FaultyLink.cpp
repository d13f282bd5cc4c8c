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

constexpr int LoopMillis = 2;
constexpr int BufferBytes = 1024 * 1024;
constexpr uint64_t PerThousand = 1000;
constexpr uint64_t MostLateMicros = 30'000;

} // namespace

absl::StatusOr<std::unique_ptr<FaultyLink>>
FaultyLink::create(const Address &at, const Address &to, bool takesTcp,
                   uint64_t seed) {
  auto fd = openDatagramSocket(at, BufferBytes);
  if (!fd.ok())
    return fd.status();
  return std::unique_ptr<FaultyLink>(
      new FaultyLink(*fd, at, to, takesTcp, seed));
}

FaultyLink::FaultyLink(int fd, Address at, const Address &to, bool takesTcp,
                       uint64_t seed)
    : Fd(fd), At(std::move(at)), To(to), TakesTcp(takesTcp), Random(seed),
      Loop([this] { run(); }) {}

FaultyLink::~FaultyLink() {
  Stopping = true;
  Loop.join();
  close(Fd);
}

void FaultyLink::setHarm(const LinkHarm &harm) {
  std::lock_guard<std::mutex> hold(Lock);
  Harm = harm;
}

void FaultyLink::setCutFrom(const std::string &ip, bool cut) {
  uint32_t source = Endpoint::of({ip, 1}).Ip;
  std::lock_guard<std::mutex> hold(Lock);
  if (cut)
    CutFrom.insert(source);
  else
    CutFrom.erase(source);
}

void FaultyLink::run() {
  SystemClock clock;
  while (!Stopping) {
    takeConnections();
    pollfd polled{Fd, POLLIN, 0};
    poll(&polled, 1, LoopMillis);
    TimePoint now = clock.now();
    takeDatagrams(now);
    while (!Later.empty() && Later.top().Due <= now) {
      pass(Later.top().Bytes);
      Later.pop();
    }
  }
}

void FaultyLink::takeConnections() {
  if (!TakesTcp)
    return;
  if (Silent) {
    Listener.reset();
    return;
  }
  if (!Listener) {
    auto opened = ListenSocket::open(At);
    // Taken for a moment by the run before; the next round tries again.
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

void FaultyLink::takeDatagrams(TimePoint now) {
  std::array<uint8_t, 1500> buf{};
  sockaddr_in from{};
  socklen_t length = sizeof from;
  for (ssize_t n = 0;
       (n = recvfrom(Fd, buf.data(), buf.size(), MSG_DONTWAIT,
                     reinterpret_cast<sockaddr *>(&from), &length)) > 0;
       length = sizeof from) {
    std::lock_guard<std::mutex> hold(Lock);
    bool cut = CutFrom.count(ntohl(from.sin_addr.s_addr)) != 0;
    if (Silent || cut || Random.below(PerThousand) < Harm.Lost)
      continue;
    std::vector<uint8_t> bytes(buf.begin(), buf.begin() + n);
    int copies = Random.below(PerThousand) < Harm.Doubled ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Random.below(PerThousand) >= Harm.Late) {
        pass(bytes);
        continue;
      }
      Duration late(static_cast<int64_t>(Random.below(MostLateMicros)));
      Later.push({now + late, bytes});
    }
  }
}

void FaultyLink::pass(const std::vector<uint8_t> &bytes) const {
  sockaddr_in end{};
  end.sin_family = AF_INET;
  end.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Ip.c_str(), &end.sin_addr);
  // A datagram that is not taken is lost like any other.
  (void)sendto(Fd, bytes.data(), bytes.size(), 0,
               reinterpret_cast<sockaddr *>(&end), sizeof end);
}

} // namespace balsamrack::soak
