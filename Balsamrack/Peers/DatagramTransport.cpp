#include "Balsamrack/Peers/DatagramTransport.h"

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

/// First bytes of each datagram; identifies the layout. A changed layout needs
/// another value.
constexpr uint32_t Magic = 0x62726431;
/// Size of the header: magic, message number, fragment index and fragment
/// count.
constexpr size_t HeaderBytes = 12;
/// Socket buffer size; holds the burst of a whole configuration sent to a
/// failure domain.
constexpr int SocketBufferBytes = 512 * 1024;

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

absl::StatusOr<std::unique_ptr<DatagramTransport>>
DatagramTransport::open(const Address &at) {
  auto fd = openDatagramSocket(at, SocketBufferBytes);
  if (!fd.ok())
    return fd.status();
  return std::unique_ptr<DatagramTransport>(new DatagramTransport(*fd));
}

DatagramTransport::~DatagramTransport() { close(Fd); }

absl::Status DatagramTransport::send(const Address &to,
                                     const PeerMessage &message) {
  return sendFrame(to, encodePeerMessage(message),
                   Counters.SentByType[message.index()]);
}

absl::Status DatagramTransport::sendAll(const std::vector<Address> &to,
                                        const PeerMessage &message) {
  std::string frame = encodePeerMessage(message);
  absl::Status first;
  for (const Address &it : to)
    first.Update(sendFrame(it, frame, Counters.SentByType[message.index()]));
  return first;
}

absl::Status DatagramTransport::sendFrame(const Address &to,
                                          const std::string &frame,
                                          MessageCount &count) {
  size_t fragments = std::max<size_t>(1, (frame.size() + MaxFragmentBytes - 1) /
                                             MaxFragmentBytes);
  if (fragments > MaxFragments)
    return makeError(absl::StatusCode::kResourceExhausted, Step::SendToPeer,
                     to.str(), "the message is too long for datagrams");
  sockaddr_in destination{};
  destination.sin_family = AF_INET;
  destination.sin_port = htons(to.Port);
  inet_pton(AF_INET, to.Ip.c_str(), &destination.sin_addr);
  ++LastMessageNumber;
  std::array<char, HeaderBytes + MaxFragmentBytes> out{};
  for (size_t i = 0; i < fragments; ++i) {
    size_t n = std::min(MaxFragmentBytes, frame.size() - i * MaxFragmentBytes);
    put32(out.data(), Magic);
    put32(out.data() + 4, LastMessageNumber);
    put16(out.data() + 8, static_cast<uint16_t>(i));
    put16(out.data() + 10, static_cast<uint16_t>(fragments));
    std::memcpy(out.data() + HeaderBytes, frame.data() + i * MaxFragmentBytes,
                n);
    ssize_t sent =
        sendto(Fd, out.data(), HeaderBytes + n, 0,
               reinterpret_cast<sockaddr *>(&destination), sizeof destination);
    if (sent < 0) {
      ++Counters.SendFailures;
      return makeError(absl::StatusCode::kUnavailable, Step::SendToPeer,
                       to.str(), std::strerror(errno));
    }
    ++Counters.DatagramsSent;
    Counters.BytesSent += static_cast<uint64_t>(sent);
  }
  count.add(frame.size());
  return absl::OkStatus();
}

void DatagramTransport::receive(const MessageHandler &handler) {
  std::array<char, HeaderBytes + MaxFragmentBytes + 1> in{};
  for (;;) {
    sockaddr_in source{};
    socklen_t length = sizeof source;
    ssize_t n = recvfrom(Fd, in.data(), in.size(), 0,
                         reinterpret_cast<sockaddr *>(&source), &length);
    // This may be the error of an earlier send (no process listens there).
    // Datagrams queued behind it are read by the next call.
    if (n < 0)
      return;
    ++Counters.DatagramsReceived;
    Counters.BytesReceived += static_cast<uint64_t>(n);
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &source.sin_addr, text, sizeof text);
    handleDatagram({text, ntohs(source.sin_port)}, in.data(),
                   static_cast<size_t>(n), handler);
  }
}

void DatagramTransport::handleDatagram(const Address &from, const char *bytes,
                                       size_t size,
                                       const MessageHandler &handler) {
  size_t index = size >= HeaderBytes ? get16(bytes + 8) : 0;
  size_t fragments = size >= HeaderBytes ? get16(bytes + 10) : 0;
  if (size < HeaderBytes || size > HeaderBytes + MaxFragmentBytes ||
      get32(bytes) != Magic || index >= fragments || fragments > MaxFragments) {
    ++Counters.Malformed;
    return;
  }
  std::string content(bytes + HeaderBytes, size - HeaderBytes);
  if (fragments == 1) {
    deliver(from, content, handler);
    return;
  }
  PartialKey key{from, get32(bytes + 4)};
  if (PartialMessages.count(key) == 0 &&
      PartialMessages.size() >= MaxPartialMessages)
    evictOldestPartial();
  PartialMessage &partial = PartialMessages[key];
  if (partial.Fragments.empty()) {
    partial.ArrivalOrder = ++PartialMessagesBegun;
    partial.Fragments.resize(fragments);
  }
  if (partial.Fragments.size() != fragments ||
      !partial.Fragments[index].empty())
    return;
  partial.Fragments[index] = std::move(content);
  if (++partial.ReceivedFragments < fragments)
    return;
  std::string frame;
  for (const std::string &it : partial.Fragments)
    frame += it;
  PartialMessages.erase(key);
  deliver(from, frame, handler);
}

void DatagramTransport::evictOldestPartial() {
  auto oldest =
      std::min_element(PartialMessages.begin(), PartialMessages.end(),
                       [](const auto &a, const auto &b) {
                         return a.second.ArrivalOrder < b.second.ArrivalOrder;
                       });
  PartialMessages.erase(oldest);
}

void DatagramTransport::deliver(const Address &from, const std::string &frame,
                                const MessageHandler &handler) {
  auto message = decodePeerMessage(frame);
  if (!message.ok()) {
    ++Counters.Malformed;
    return;
  }
  Counters.ReceivedByType[message->index()].add(frame.size());
  handler(from, *std::move(message));
}

} // namespace balsamrack
