#ifndef BALSAMRACK_PACKETS_PACKETSOCKET_H
#define BALSAMRACK_PACKETS_PACKETSOCKET_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Packets/Packet.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Counts of a PacketSocket since its start.
struct PacketSocketCounters {
  uint64_t Received = 0;   ///< Packets.
  uint64_t Sent = 0;       ///< As above.
  uint64_t TooLong = 0;    ///< Packets that did not fit, dropped.
  uint64_t SendFailed = 0; ///< Packets that the system did not take, dropped.
};

/// The socket on which callers' packets come in and from which they are passed
/// on, a batch a system call, with buffers that are allocated once. Not
/// thread-safe.
class PacketSocket {
public:
  /// Packets a system call.
  static constexpr size_t BatchSize = 32;
  /// Largest packet, its prefix included, in bytes.
  static constexpr size_t MaxPacketBytes = 1'400;

  /// Called for each packet that came in; the bytes hold during the call.
  using PacketCallback = std::function<void(uint8_t *packet, size_t n)>;

  /// Opens the socket at \p at. Error (step listen, peer ip:port) when the
  /// address is taken or not ours. Thread-safe.
  static absl::StatusOr<std::unique_ptr<PacketSocket>> open(const Address &at);
  virtual ~PacketSocket() = default;

  /// Where it is bound.
  virtual const Address &at() const = 0;
  /// Readable when receive() has something.
  virtual int fd() const = 0;
  /// Takes in one batch; returns how many packets came.
  virtual size_t receive(const PacketCallback &got) = 0;
  /// Room for a packet of \p n bytes to \p to, sent by the next flush() at the
  /// latest. Precondition: n <= MaxPacketBytes.
  virtual uint8_t *prepare(const Endpoint &to, size_t n) = 0;
  /// Sends what was prepared.
  virtual void flush() = 0;
  /// What it has carried so far.
  virtual const PacketSocketCounters &counters() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETSOCKET_H
