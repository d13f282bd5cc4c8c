#ifndef BALSAMRACK_PACKETS_PACKETSOCKET_H
#define BALSAMRACK_PACKETS_PACKETSOCKET_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Packets/Packet.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Counters of a PacketSocket since it was opened.
struct PacketSocketCounters {
  uint64_t Received = 0; ///< Received packets, including those too long.
  uint64_t Sent = 0;     ///< Sent packets.
  uint64_t TooLong =
      0; ///< Received packets dropped for exceeding MaxPacketBytes.
  uint64_t SendFailed =
      0; ///< Packets dropped because the system refused to send them.
};

/// UDP socket that receives and forwards callers' packets, one batch per system
/// call, with preallocated buffers. Not thread-safe.
class PacketSocket {
public:
  /// Packets per system call.
  static constexpr size_t BatchSize = 32;
  /// Largest packet including its prefix, in bytes.
  static constexpr size_t MaxPacketBytes = 1'400;

  /// Called for each received packet; the bytes are valid during the call only.
  using PacketCallback = std::function<void(uint8_t *packet, size_t n)>;

  /// Opens a socket bound to \p at. Error (step listen, peer ip:port) when the
  /// address is in use or not local. Thread-safe.
  static absl::StatusOr<std::unique_ptr<PacketSocket>> open(const Address &at);
  virtual ~PacketSocket() = default;

  /// The bound address.
  virtual const Address &at() const = 0;
  /// The descriptor; readable when packets are available.
  virtual int fd() const = 0;
  /// Receives one batch; returns the number of packets.
  virtual size_t receive(const PacketCallback &got) = 0;
  /// Time that the packet of the current PacketCallback has waited in the
  /// socket; empty if the system does not tell. Precondition: called within a
  /// PacketCallback.
  virtual std::optional<Duration> waited() const = 0;
  /// Buffer for a packet of \p n bytes to \p to, which is sent by the next
  /// flush() at the latest. Precondition: n <= MaxPacketBytes.
  virtual uint8_t *prepare(const Endpoint &to, size_t n) = 0;
  /// Sends all prepared packets.
  virtual void flush() = 0;
  /// Counters since the socket was opened.
  virtual const PacketSocketCounters &counters() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETSOCKET_H
