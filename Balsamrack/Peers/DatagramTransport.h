#ifndef BALSAMRACK_PEERS_DATAGRAMTRANSPORT_H
#define BALSAMRACK_PEERS_DATAGRAMTRANSPORT_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Peers/PeerMessage.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Number of messages of one type and their bytes, without datagram headers.
struct MessageCount {
  uint64_t Messages = 0; ///< One for each receiver.
  uint64_t Bytes = 0;    ///< Encoded size.

  /// Adds one message of \p bytes.
  void add(size_t bytes) {
    ++Messages;
    Bytes += bytes;
  }
};
/// Message counts by index in the PeerMessage variant.
using MessageCounts =
    std::array<MessageCount, std::variant_size_v<PeerMessage>>;

/// Counters of a DatagramTransport since its start.
struct DatagramCounters {
  uint64_t BytesSent = 0;         ///< Payload bytes of sent datagrams.
  uint64_t BytesReceived = 0;     ///< Payload bytes of received datagrams.
  uint64_t DatagramsSent = 0;     ///< Datagrams.
  uint64_t DatagramsReceived = 0; ///< As above.
  uint64_t Malformed = 0; ///< Datagrams or messages that could not be decoded.
  uint64_t SendFailures = 0;    ///< Datagrams rejected by the operating system.
  MessageCounts SentByType;     ///< Messages sent, by type.
  MessageCounts ReceivedByType; ///< Complete messages received, by type.
};

/// Carries messages between daemons as UDP datagrams. Long messages are split
/// into fragments; when a fragment is lost, so is its message. Everything sent
/// this way is repeated until its arrival is confirmed. Datagrams are used
/// instead of connections because a daemon sends a few hundred bytes per second
/// to peers that change all the time, and a stalled connection delays all later
/// messages on it. Not thread-safe.
class DatagramTransport {
public:
  /// Maximum message bytes per datagram; fits the usual MTU of 1,500 bytes.
  static constexpr size_t MaxFragmentBytes = 1'400;
  /// Maximum fragments per message: 700 KB, larger than any known
  /// configuration.
  static constexpr size_t MaxFragments = 512;
  /// Maximum number of messages in reassembly; the oldest is dropped first.
  static constexpr size_t MaxPartialMessages = 16;

  /// Called for each received message with the address of its sender.
  using MessageHandler =
      std::function<void(const Address &from, PeerMessage message)>;

  /// Opens the socket at \p at. Error (step listen, peer ip:port) if the
  /// address is in use or not local. Thread-safe.
  static absl::StatusOr<std::unique_ptr<DatagramTransport>>
  open(const Address &at);
  DatagramTransport(const DatagramTransport &) = delete;
  DatagramTransport &operator=(const DatagramTransport &) = delete;
  ~DatagramTransport();

  /// Readable when receive() has datagrams to read.
  int fd() const { return Fd; }
  /// Sends \p message. Error (step send-to-peer) if it is too long or the
  /// operating system rejects it. Success does not imply delivery.
  absl::Status send(const Address &to, const PeerMessage &message);
  /// Sends \p message, encoded once, to each of \p to. Returns the first error,
  /// as send() does; the remaining receivers are still sent to.
  absl::Status sendAll(const std::vector<Address> &to,
                       const PeerMessage &message);
  /// Receives all queued datagrams and passes each complete message to \p
  /// handler.
  void receive(const MessageHandler &handler);
  /// Counters since the start.
  const DatagramCounters &counters() const { return Counters; }

private:
  /// A message of which some fragments have been received.
  struct PartialMessage {
    uint64_t ArrivalOrder = 0;    ///< Order of the first fragments.
    size_t ReceivedFragments = 0; ///< Number of received fragments.
    std::vector<std::string> Fragments;
  };
  using PartialKey = std::pair<Address, uint32_t>;

  explicit DatagramTransport(int fd) : Fd(fd) {}
  absl::Status sendFrame(const Address &to, const std::string &frame,
                         MessageCount &count);
  void handleDatagram(const Address &from, const char *bytes, size_t size,
                      const MessageHandler &handler);
  void deliver(const Address &from, const std::string &frame,
               const MessageHandler &handler);
  void evictOldestPartial();

  const int Fd;
  uint32_t LastMessageNumber = 0;    ///< Number of the last message sent.
  uint64_t PartialMessagesBegun = 0; ///< Partial messages started.
  std::map<PartialKey, PartialMessage> PartialMessages;
  DatagramCounters Counters;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_DATAGRAMTRANSPORT_H
