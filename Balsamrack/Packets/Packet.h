#ifndef BALSAMRACK_PACKETS_PACKET_H
#define BALSAMRACK_PACKETS_PACKET_H

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// One end of a flow: an IPv4 address and a port, both in host byte order. Not
/// thread-safe for writing.
struct Endpoint {
  uint32_t Ip = 0;   ///< 10.0.0.1 is 0x0a000001.
  uint16_t Port = 0; ///< Zero for "none".

  /// The end at \p address; all zero when its Ip is no dotted quad.
  /// Thread-safe.
  static Endpoint of(const Address &address);
  /// The end as an address. Thread-safe.
  Address address() const;
  /// The end as "ip:port". Thread-safe.
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

/// The four addresses and ports that name a flow.
struct FlowKey {
  Endpoint Caller;  ///< The end that opened it.
  Endpoint Service; ///< The address that operators gave to a service.

  friend bool operator==(const FlowKey &a, const FlowKey &b) {
    return a.Caller == b.Caller && a.Service == b.Service;
  }
  template <class H> friend H AbslHashValue(H h, const FlowKey &k) {
    return H::combine(std::move(h), k.Caller, k.Service);
  }
};

/// What the head of a caller's packet says.
struct PacketHeader {
  FlowKey Flow;              ///< Whose packet it is.
  uint32_t Token = 0;        ///< What we wrote on the flow's last packet that
                             ///< the caller saw answered; zero on an opening.
  uint32_t Sequence = 0;     ///< Of its first byte.
  uint32_t Acknowledged = 0; ///< Bytes of the server that the caller has.
  uint8_t CopyNumber = 0;    ///< Of an opening: zero for the first one.
  Duration Age{0};           ///< Of an opening: since its first copy was sent.
  uint16_t DataBytes = 0;    ///< Bytes that follow the head.
  bool Opens = false;        ///< First packet of a flow, or a copy of it.
  bool Acknowledges = false; ///< Acknowledged counts.
  bool Ends = false;         ///< The caller sends no more data.
  bool Resets = false;       ///< The caller has given the flow up.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKET_H
