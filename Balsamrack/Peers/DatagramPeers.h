#ifndef BALSAMRACK_PEERS_DATAGRAMPEERS_H
#define BALSAMRACK_PEERS_DATAGRAMPEERS_H

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
  uint64_t BytesSent = 0;     ///< Payload of datagrams.
  uint64_t BytesReceived = 0; ///< As above.
  uint64_t Sent = 0;          ///< Datagrams.
  uint64_t Received = 0;      ///< As above.
  uint64_t Bad = 0;           ///< Datagrams or messages that could not be read.
  uint64_t SendFailed = 0;    ///< Datagrams that the system did not take.
  MessageCounts SentOf;       ///< Messages sent, by type.
  MessageCounts ReceivedOf;   ///< Whole messages that came in, by type.
};

/// Carries messages between daemons as UDP datagrams; a long message goes in
/// pieces. A lost piece loses its message: everything sent this way is repeated
/// until it is known to have arrived. Datagrams rather than connections, since
/// a daemon says a few hundred bytes a second to peers that change all the
/// time, and a connection that falls silent holds up what is said next on it.
/// Not thread-safe.
class DatagramPeers {
public:
  /// Bytes of a message in one datagram: fits a usual link's 1,500.
  static constexpr size_t PieceBytes = 1'400;
  /// Pieces of one message: 700 KB, more than any configuration we know.
  static constexpr size_t MostPieces = 512;
  /// Messages that are being put together; the oldest gives way.
  static constexpr size_t MostPending = 16;

  /// Called for each message that came in, with its sender's address.
  using Got = std::function<void(const Address &from, PeerMessage message)>;

  /// Opens the socket at \p at. Error (step listen, peer ip:port) when the
  /// address is taken or not ours. Thread-safe.
  static absl::StatusOr<std::unique_ptr<DatagramPeers>> open(const Address &at);
  DatagramPeers(const DatagramPeers &) = delete;
  DatagramPeers &operator=(const DatagramPeers &) = delete;
  ~DatagramPeers();

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
  void receive(const Got &got);
  /// What it has carried so far.
  const DatagramCounters &counters() const { return Counters; }

private:
  /// A message of which some pieces are here.
  struct Pending {
    uint64_t Began = 0; ///< Order of arrival.
    size_t Here = 0;    ///< Pieces that have come.
    std::vector<std::string> Pieces;
  };
  using PendingKey = std::pair<Address, uint32_t>;

  explicit DatagramPeers(int fd) : Fd(fd) {}
  absl::Status sendFrame(const Address &to, const std::string &frame,
                         MessageCount &count);
  void take(const Address &from, const char *bytes, size_t n, const Got &got);
  void complete(const Address &from, const std::string &frame, const Got &got);
  void dropOldest();

  const int Fd;
  uint32_t LastMessage = 0; ///< Number of the last message sent.
  uint64_t Arrivals = 0;    ///< Counts messages begun.
  std::map<PendingKey, Pending> Unfinished;
  DatagramCounters Counters;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_DATAGRAMPEERS_H
