#ifndef BALSAMRACK_CORE_ADDRESS_H
#define BALSAMRACK_CORE_ADDRESS_H

#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/statusor.h"

namespace balsamrack {

/// An IPv4 address as a dotted quad, with a port. Not thread-safe for writing.
struct Address {
  std::string Ip;    ///< Dotted quad; host names are never resolved.
  uint16_t Port = 0; ///< Zero if there is none.

  /// Parses "ip:port". Returns kInvalidArgument for anything else. Thread-safe.
  static absl::StatusOr<Address> parse(const std::string &text);
  /// Formats the address as "ip:port". Thread-safe.
  std::string str() const;

  friend bool operator==(const Address &a, const Address &b) {
    return a.Port == b.Port && a.Ip == b.Ip;
  }
  friend bool operator!=(const Address &a, const Address &b) {
    return !(a == b);
  }
  friend bool operator<(const Address &a, const Address &b) {
    return a.Ip != b.Ip ? a.Ip < b.Ip : a.Port < b.Port;
  }
  template <class H> friend H AbslHashValue(H h, const Address &a) {
    return H::combine(std::move(h), a.Ip, a.Port);
  }
};

} // namespace balsamrack

#endif // BALSAMRACK_CORE_ADDRESS_H
