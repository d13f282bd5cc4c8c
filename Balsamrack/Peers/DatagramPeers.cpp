#include "Balsamrack/Peers/DatagramPeers.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "Balsamrack/Core/DatagramSocket.h"
#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Peers/PeerCodec.h"

namespace balsamrack {

namespace {

/// First bytes of each datagram; a later layout gets another one.
constexpr uint32_t Magic = 0x62726431;
/// Magic, message number, piece number, number of pieces.
constexpr size_t HeadBytes = 12;
/// A burst of a whole configuration to a domain fits in.
constexpr int BufferBytes = 512 * 1024;

void put16(char *out, uint16_t v) {
  v = htons(v);
  std::memcpy(out, &v, sizeof v);
}
void put32(char *out, uint32_t v) {
  v = htonl(v);
  std::memcpy(out, &v, sizeof v);
}
uint16_t get16(const char *in) {
  uint16_t v = 0;
  std::memcpy(&v, in, sizeof v);
  return ntohs(v);
}
uint32_t get32(const char *in) {
  uint32_t v = 0;
  std::memcpy(&v, in, sizeof v);
  return ntohl(v);
}

} // namespace

absl::StatusOr<std::unique_ptr<DatagramPeers>>
DatagramPeers::open(const Address &at) {
  auto fd = openDatagramSocket(at, BufferBytes);
  if (!fd.ok())
    return fd.status();
  return std::unique_ptr<DatagramPeers>(new DatagramPeers(*fd));
}

DatagramPeers::~DatagramPeers() { close(Fd); }

absl::Status DatagramPeers::send(const Address &to,
                                 const PeerMessage &message) {
  return sendFrame(to, encodePeerMessage(message),
                   Counters.SentOf[message.index()]);
}

absl::Status DatagramPeers::sendAll(const std::vector<Address> &to,
                                    const PeerMessage &message) {
  std::string frame = encodePeerMessage(message);
  absl::Status first;
  for (const Address &it : to)
    first.Update(sendFrame(it, frame, Counters.SentOf[message.index()]));
  return first;
}

absl::Status DatagramPeers::sendFrame(const Address &to,
                                      const std::string &frame,
                                      MessageCount &count) {
  size_t pieces =
      std::max<size_t>(1, (frame.size() + PieceBytes - 1) / PieceBytes);
  if (pieces > MostPieces)
    return makeError(absl::StatusCode::kResourceExhausted, Step::SendToPeer,
                     to.str(), "the message is too long for datagrams");
  sockaddr_in end{};
  end.sin_family = AF_INET;
  end.sin_port = htons(to.Port);
  inet_pton(AF_INET, to.Ip.c_str(), &end.sin_addr);
  ++LastMessage;
  std::array<char, HeadBytes + PieceBytes> out{};
  for (size_t i = 0; i < pieces; ++i) {
    size_t n = std::min(PieceBytes, frame.size() - i * PieceBytes);
    put32(out.data(), Magic);
    put32(out.data() + 4, LastMessage);
    put16(out.data() + 8, static_cast<uint16_t>(i));
    put16(out.data() + 10, static_cast<uint16_t>(pieces));
    std::memcpy(out.data() + HeadBytes, frame.data() + i * PieceBytes, n);
    ssize_t sent = sendto(Fd, out.data(), HeadBytes + n, 0,
                          reinterpret_cast<sockaddr *>(&end), sizeof end);
    if (sent < 0) {
      ++Counters.SendFailed;
      return makeError(absl::StatusCode::kUnavailable, Step::SendToPeer,
                       to.str(), std::strerror(errno));
    }
    ++Counters.Sent;
    Counters.BytesSent += static_cast<uint64_t>(sent);
  }
  count.add(frame.size());
  return absl::OkStatus();
}

void DatagramPeers::receive(const Got &got) {
  std::array<char, HeadBytes + PieceBytes + 1> in{};
  for (;;) {
    sockaddr_in end{};
    socklen_t length = sizeof end;
    ssize_t n = recvfrom(Fd, in.data(), in.size(), 0,
                         reinterpret_cast<sockaddr *>(&end), &length);
    // An error of an earlier send (nobody listens there) is told here; what
    // waits behind it is read by the next call.
    if (n < 0)
      return;
    ++Counters.Received;
    Counters.BytesReceived += static_cast<uint64_t>(n);
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &end.sin_addr, text, sizeof text);
    take({text, ntohs(end.sin_port)}, in.data(), static_cast<size_t>(n), got);
  }
}

void DatagramPeers::take(const Address &from, const char *bytes, size_t n,
                         const Got &got) {
  size_t piece = n >= HeadBytes ? get16(bytes + 8) : 0;
  size_t pieces = n >= HeadBytes ? get16(bytes + 10) : 0;
  if (n < HeadBytes || n > HeadBytes + PieceBytes || get32(bytes) != Magic ||
      piece >= pieces || pieces > MostPieces) {
    ++Counters.Bad;
    return;
  }
  std::string content(bytes + HeadBytes, n - HeadBytes);
  if (pieces == 1) {
    complete(from, content, got);
    return;
  }
  PendingKey key{from, get32(bytes + 4)};
  if (Unfinished.count(key) == 0 && Unfinished.size() >= MostPending)
    dropOldest();
  Pending &pending = Unfinished[key];
  if (pending.Pieces.empty()) {
    pending.Began = ++Arrivals;
    pending.Pieces.resize(pieces);
  }
  if (pending.Pieces.size() != pieces || !pending.Pieces[piece].empty())
    return;
  pending.Pieces[piece] = std::move(content);
  if (++pending.Here < pieces)
    return;
  std::string frame;
  for (const std::string &it : pending.Pieces)
    frame += it;
  Unfinished.erase(key);
  complete(from, frame, got);
}

void DatagramPeers::dropOldest() {
  auto oldest = std::min_element(Unfinished.begin(), Unfinished.end(),
                                 [](const auto &a, const auto &b) {
                                   return a.second.Began < b.second.Began;
                                 });
  Unfinished.erase(oldest);
}

void DatagramPeers::complete(const Address &from, const std::string &frame,
                             const Got &got) {
  auto message = decodePeerMessage(frame);
  if (!message.ok()) {
    ++Counters.Bad;
    return;
  }
  Counters.ReceivedOf[message->index()].add(frame.size());
  got(from, *std::move(message));
}

} // namespace balsamrack
