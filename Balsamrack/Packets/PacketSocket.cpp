#include "Balsamrack/Packets/PacketSocket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>
#include <ctime>
#include <utility>

#include "Balsamrack/Core/DatagramSocket.h"

namespace balsamrack {

namespace {

/// Holds the packets of a small site for one second while the process is
/// delayed.
constexpr int BufferBytes = 1024 * 1024;

/// Buffers for the packets of one system call.
struct PacketBatch {
  PacketBatch() {
    for (size_t i = 0; i < PacketSocket::BatchSize; ++i) {
      Buffers[i] = {Bytes[i].data(), Bytes[i].size()};
      Messages[i].msg_hdr.msg_iov = &Buffers[i];
      Messages[i].msg_hdr.msg_iovlen = 1;
    }
  }
  std::array<std::array<uint8_t, PacketSocket::MaxPacketBytes>,
             PacketSocket::BatchSize>
      Bytes{};
  std::array<iovec, PacketSocket::BatchSize> Buffers{};
  std::array<mmsghdr, PacketSocket::BatchSize> Messages{};
  std::array<sockaddr_in, PacketSocket::BatchSize> Addresses{};
};

/// Room for the control messages of one received packet.
struct alignas(cmsghdr) ControlBuffer {
  std::array<uint8_t, CMSG_SPACE(sizeof(timespec))> Bytes{};
};

Duration toDuration(const timespec &time) {
  constexpr int64_t MicrosPerSecond = 1'000'000;
  constexpr int64_t NanosPerMicro = 1'000;
  return Duration(time.tv_sec * MicrosPerSecond + time.tv_nsec / NanosPerMicro);
}

class BatchSocket final : public PacketSocket {
public:
  BatchSocket(int fd, Address at) : Fd(fd), LocalAddress(std::move(at)) {}
  BatchSocket(const BatchSocket &) = delete;
  BatchSocket &operator=(const BatchSocket &) = delete;
  ~BatchSocket() override { close(Fd); }

  const Address &at() const override { return LocalAddress; }
  int fd() const override { return Fd; }
  size_t receive(const PacketCallback &got) override;
  std::optional<Duration> waited() const override;
  uint8_t *prepare(const Endpoint &to, size_t n) override;
  void flush() override;
  const PacketSocketCounters &counters() const override { return Counters; }

private:
  const int Fd;
  const Address LocalAddress;
  PacketBatch In;
  std::array<ControlBuffer, BatchSize> Controls;
  size_t Current = 0; ///< Index of the packet of the current callback.
  PacketBatch Out;
  size_t Prepared = 0;
  PacketSocketCounters Counters;
};

size_t BatchSocket::receive(const PacketCallback &got) {
  for (size_t i = 0; i < BatchSize; ++i) {
    In.Buffers[i].iov_len = MaxPacketBytes;
    In.Messages[i].msg_hdr.msg_control = Controls[i].Bytes.data();
    In.Messages[i].msg_hdr.msg_controllen = Controls[i].Bytes.size();
  }
  int n = recvmmsg(Fd, In.Messages.data(), BatchSize, MSG_DONTWAIT, nullptr);
  if (n <= 0)
    return 0;
  auto count = static_cast<size_t>(n);
  Counters.Received += count;
  for (size_t i = 0; i < count; ++i) {
    Current = i;
    if ((In.Messages[i].msg_hdr.msg_flags & MSG_TRUNC) != 0)
      ++Counters.TooLong;
    else
      got(In.Bytes[i].data(), In.Messages[i].msg_len);
  }
  return count;
}

std::optional<Duration> BatchSocket::waited() const {
  // CMSG_NXTHDR() takes no constant.
  msghdr head = In.Messages[Current].msg_hdr;
  for (cmsghdr *it = CMSG_FIRSTHDR(&head); it; it = CMSG_NXTHDR(&head, it)) {
    if (it->cmsg_level != SOL_SOCKET || it->cmsg_type != SCM_TIMESTAMPNS)
      continue;
    timespec arrived{}, now{};
    std::memcpy(&arrived, CMSG_DATA(it), sizeof arrived);
    clock_gettime(CLOCK_REALTIME, &now);
    // Negative if the time of day was set back since.
    return std::max(toDuration(now) - toDuration(arrived), Duration{0});
  }
  return std::nullopt;
}

uint8_t *BatchSocket::prepare(const Endpoint &to, size_t n) {
  assert(n <= MaxPacketBytes);
  if (Prepared == BatchSize)
    flush();
  sockaddr_in &end = Out.Addresses[Prepared];
  end.sin_family = AF_INET;
  end.sin_port = htons(to.Port);
  end.sin_addr.s_addr = htonl(to.Ip);
  Out.Buffers[Prepared].iov_len = n;
  Out.Messages[Prepared].msg_hdr.msg_name = &end;
  Out.Messages[Prepared].msg_hdr.msg_namelen = sizeof end;
  return Out.Bytes[Prepared++].data();
}

void BatchSocket::flush() {
  size_t done = 0;
  while (done < Prepared) {
    int n = sendmmsg(Fd, Out.Messages.data() + done,
                     static_cast<unsigned>(Prepared - done), MSG_DONTWAIT);
    if (n <= 0) {
      // The first packet could not be sent (no route, or the buffer is full).
      // Drop it, as datagrams may be lost, and continue with the rest.
      ++Counters.SendFailed;
      ++done;
      continue;
    }
    Counters.Sent += static_cast<uint64_t>(n);
    done += static_cast<size_t>(n);
  }
  Prepared = 0;
}

} // namespace

absl::StatusOr<std::unique_ptr<PacketSocket>>
PacketSocket::open(const Address &at) {
  auto fd = openDatagramSocket(at, BufferBytes);
  if (!fd.ok())
    return fd.status();
  // Without time stamps, waited() returns nothing.
  int one = 1;
  (void)setsockopt(*fd, SOL_SOCKET, SO_TIMESTAMPNS, &one, sizeof one);
  return std::unique_ptr<PacketSocket>(std::make_unique<BatchSocket>(*fd, at));
}

} // namespace balsamrack
