#ifndef BALSAMRACK_CORE_ADDRESSSET_H
#define BALSAMRACK_CORE_ADDRESSSET_H

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace balsamrack {

/// A set of IPv4 addresses from which peers or operators may connect. Immutable
/// and therefore thread-safe.
class AddressSet {
public:
  /// Parses dotted quads and CIDR ranges (a.b.c.d/bits). Returns
  /// kInvalidArgument for anything else. Thread-safe.
  static absl::StatusOr<AddressSet> parse(const std::vector<std::string> &list);

  /// True if the set contains \p ip, a dotted quad. False for any other text.
  bool contains(const std::string &ip) const;

private:
  /// A CIDR range: addresses that are equal under the mask.
  struct Range {
    uint32_t First; ///< First address, in host byte order.
    uint32_t Mask;  ///< In host byte order.
  };

  std::vector<Range> Ranges; ///< Few, so linear search is sufficient.
};

} // namespace balsamrack

#endif // BALSAMRACK_CORE_ADDRESSSET_H
