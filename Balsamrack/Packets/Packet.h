#ifndef BALSAMRACK_PACKETS_PACKET_H
#define BALSAMRACK_PACKETS_PACKET_H

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// One endpoint of a flow: an IPv4 address and a port, both in host byte order.
/// Not thread-safe for writing.
struct Endpoint {
  uint32_t Ip = 0;   ///< 10.0.0.1 is 0x0a000001.
  uint16_t Port = 0; ///< Zero for "none".

  /// The endpoint at \p address; all zero when its Ip is not a dotted quad.
  /// Thread-safe.
  static Endpoint of(const Address &address);
  /// The endpoint as an address. Thread-safe.
  Address address() const;
  /// The endpoint as "ip:port". Thread-safe.
  std::string str() const { return address().str(); }

  friend bool operator==(const Endpoint &a, const Endpoint &b) {
    return a.Ip == b.Ip && a.Port == b.Port;
  }
  friend bool operator!=(const Endpoint &a, const Endpoint &b) {
    return !(a == b);
  }
  friend bool operator<(const Endpoint &a, const Endpoint &b) {
    return std::tie(a.Ip, a.Port) < std::tie(b.Ip, b.Port);
  }
  template <class H> friend H AbslHashValue(H h, const Endpoint &e) {
    return H::combine(std::move(h), e.Ip, e.Port);
  }
};

/// The addresses and ports that identify a flow.
struct FlowKey {
  Endpoint Caller;  ///< Endpoint that opened the flow.
  Endpoint Service; ///< Address that operators assigned to a service.

  friend bool operator==(const FlowKey &a, const FlowKey &b) {
    return a.Caller == b.Caller && a.Service == b.Service;
  }
  template <class H> friend H AbslHashValue(H h, const FlowKey &k) {
    return H::combine(std::move(h), k.Caller, k.Service);
  }
};

/// Decoded header of a caller's packet.
struct PacketHeader {
  FlowKey Flow; ///< Flow of the packet.
  uint32_t Token =
      0; ///< Token that a daemon wrote on the last packet of the flow that the
         ///< caller saw answered; zero on an opening.
  uint32_t Sequence = 0; ///< Sequence number of its first byte.
  uint32_t Acknowledged =
      0; ///< Bytes of the server that the caller has received.
  uint8_t CopyNumber =
      0;           ///< Copy number of an opening: zero for the first one.
  Duration Age{0}; ///< Time since the first copy of an opening was sent.
  Duration NextCopyAfter{
      0}; ///< Time from this copy to the next one, or after the last copy
          ///< until the caller gives up; zero if none follows.
  std::optional<Duration>
      Waited; ///< Time that the packet has waited in the socket, if known.
  uint16_t DataBytes = 0;    ///< Bytes after the header.
  bool Opens = false;        ///< First packet of a flow, or a copy of it.
  bool Acknowledges = false; ///< Acknowledged is valid.
  bool Ends = false;         ///< The caller sends no more data.
  bool Resets = false;       ///< The caller has reset the flow.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKET_H
