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

/// Messages of one type, and their bytes without heads of datagrams.
struct MessageCount {
  uint64_t Messages = 0; ///< Each receiver counts.
  uint64_t Bytes = 0;    ///< As encoded.

  /// Adds one message of \p bytes.
  void add(size_t bytes) {
    ++Messages;
    Bytes += bytes;
  }
};
/// By index in the PeerMessage variant.
using MessageCounts =
    std::array<MessageCount, std::variant_size_v<PeerMessage>>;

/// Counts of a DatagramPeers since its start.
struct DatagramCounters {
  uint64_t BytesSent = 0;         ///< Payload of datagrams.
  uint64_t BytesReceived = 0;     ///< As above.
  uint64_t DatagramsSent = 0;     ///< Datagrams.
  uint64_t DatagramsReceived = 0; ///< As above.
  uint64_t Malformed = 0;    ///< Datagrams or messages that could not be read.
  uint64_t SendFailures = 0; ///< Datagrams that the system did not take.
  MessageCounts SentByType;  ///< Messages sent, by type.
  MessageCounts ReceivedByType; ///< Whole messages that came in, by type.
};

/// Carries messages between daemons as UDP datagrams; a long message goes in
/// pieces. A lost piece loses its message: everything sent this way is repeated
/// until it is known to have arrived. Datagrams rather than connections, since
/// a daemon says a few hundred bytes a second to peers that change all the
/// time, and a connection that falls silent holds up what is said next on it.
/// Not thread-safe.
class DatagramTransport {
public:
  /// Bytes of a message in one datagram: fits a usual link's 1,500.
  static constexpr size_t MaxFragmentBytes = 1'400;
  /// Pieces of one message: 700 KB, more than any configuration we know.
  static constexpr size_t MaxFragments = 512;
  /// Messages that are being put together; the oldest gives way.
  static constexpr size_t MaxPartialMessages = 16;

  /// Called for each message that came in, with its sender's address.
  using MessageHandler =
      std::function<void(const Address &from, PeerMessage message)>;

  /// Opens the socket at \p at. Error (step listen, peer ip:port) when the
  /// address is taken or not ours. Thread-safe.
  static absl::StatusOr<std::unique_ptr<DatagramTransport>>
  open(const Address &at);
  DatagramTransport(const DatagramTransport &) = delete;
  DatagramTransport &operator=(const DatagramTransport &) = delete;
  ~DatagramTransport();

  /// Readable when receive() has something.
  int fd() const { return Fd; }
  /// Sends \p message. Error (step send-to-peer) when it is too long or the
  /// system does not take it; ok promises nothing about arrival.
  absl::Status send(const Address &to, const PeerMessage &message);
  /// Sends \p message to each of \p to; it is encoded once. The first error, as
  /// of send(); the others get it all the same.
  absl::Status sendAll(const std::vector<Address> &to,
                       const PeerMessage &message);
  /// Takes in all that waits.
  void receive(const MessageHandler &handler);
  /// What it has carried so far.
  const DatagramCounters &counters() const { return Counters; }

private:
  /// A message of which some pieces are here.
  struct PartialMessage {
    uint64_t ArrivalOrder = 0;    ///< Order of arrival.
    size_t ReceivedFragments = 0; ///< Pieces that have come.
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
  uint64_t PartialMessagesBegun = 0; ///< Counts messages begun.
  std::map<PartialKey, PartialMessage> PartialMessages;
  DatagramCounters Counters;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_DATAGRAMTRANSPORT_H
