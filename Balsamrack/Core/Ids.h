#ifndef BALSAMRACK_CORE_IDS_H
#define BALSAMRACK_CORE_IDS_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace balsamrack {

/// Returns a 64-bit hash (XXH3) of \p bytes that is the same on every VM and in
/// every run. Thread-safe.
uint64_t stableHash(std::string_view bytes, uint64_t seed = 0);

/// Combines two hashes into one; the order matters. Thread-safe.
uint64_t combineHash(uint64_t first, uint64_t second);

/// A name used as an id. \p Tag makes ids of different kinds distinct types.
/// Not thread-safe for writing; copies are independent.
template <class Tag> class NamedId {
public:
  NamedId() = default;
  explicit NamedId(std::string name) : Name(std::move(name)) {}

  /// The name as configured by operators.
  const std::string &str() const { return Name; }
  /// True if no id is set.
  bool empty() const { return Name.empty(); }
  /// Hash of the name, the same on every VM.
  uint64_t hash() const { return stableHash(Name); }

  friend bool operator==(const NamedId &a, const NamedId &b) {
    return a.Name == b.Name;
  }
  friend bool operator!=(const NamedId &a, const NamedId &b) {
    return a.Name != b.Name;
  }
  friend bool operator<(const NamedId &a, const NamedId &b) {
    return a.Name < b.Name;
  }
  template <class H> friend H AbslHashValue(H h, const NamedId &id) {
    return H::combine(std::move(h), id.Name);
  }

private:
  std::string Name; ///< Empty if no id is set.
};

/// A number used as an id. \p Tag makes ids of different kinds distinct types.
/// Not thread-safe for writing.
template <class Tag> struct NumberId {
  uint64_t Value = 0; ///< Zero if no id is set.

  friend constexpr bool operator==(NumberId a, NumberId b) {
    return a.Value == b.Value;
  }
  friend constexpr bool operator!=(NumberId a, NumberId b) {
    return a.Value != b.Value;
  }
  friend constexpr bool operator<(NumberId a, NumberId b) {
    return a.Value < b.Value;
  }
  friend constexpr bool operator>(NumberId a, NumberId b) {
    return a.Value > b.Value;
  }
  friend constexpr bool operator<=(NumberId a, NumberId b) {
    return a.Value <= b.Value;
  }
  friend constexpr bool operator>=(NumberId a, NumberId b) {
    return a.Value >= b.Value;
  }
  template <class H> friend H AbslHashValue(H h, NumberId id) {
    return H::combine(std::move(h), id.Value);
  }
};

using VmId = NamedId<struct VmTag>; ///< An entry VM, and the daemon on it.
using DomainId = NamedId<struct DomainTag>; ///< A failure domain.
using RegionId =
    NamedId<struct RegionTag>; ///< A region, a group of failure domains.
using ServiceId = NamedId<struct ServiceTag>; ///< A service that operators run.
using ServerId = NamedId<struct ServerTag>;   ///< A backend server.
using InstanceId =
    NamedId<struct InstanceTag>; ///< One run of a backend server process, as
                                 ///< reported by the process.

using FlowId = NumberId<struct FlowTag>;     ///< A flow: hash of the caller's
                                             ///< address, port and the service.
using CallerId = NumberId<struct CallerTag>; ///< A caller: hash of its address,
                                             ///< without the port.
using RequestId = NumberId<struct RequestTag>; ///< One attempt of a request,
                                               ///< unique across daemons.
using TicketNumber =
    NumberId<struct TicketTag>; ///< A change ticket; higher numbers are newer.
using Incarnation =
    NumberId<struct IncarnationTag>; ///< One run of a daemon; higher numbers
                                     ///< are newer on the same VM.

/// Digest of an Idempotency-Key field and the service that it was sent to.
struct KeyDigest {
  uint64_t High = 0; ///< Both halves are zero if there is no key.
  uint64_t Low = 0;

  /// True if the request has no key. Thread-safe.
  constexpr bool empty() const { return High == 0 && Low == 0; }
  friend constexpr bool operator==(KeyDigest a, KeyDigest b) {
    return a.High == b.High && a.Low == b.Low;
  }
  friend constexpr bool operator!=(KeyDigest a, KeyDigest b) {
    return !(a == b);
  }
  friend constexpr bool operator<(KeyDigest a, KeyDigest b) {
    return a.High != b.High ? a.High < b.High : a.Low < b.Low;
  }
  template <class H> friend H AbslHashValue(H h, KeyDigest d) {
    return H::combine(std::move(h), d.High, d.Low);
  }
};

/// Computes the digest of \p key as sent to \p service. Never empty for a
/// non-empty key. Thread-safe.
KeyDigest digestKey(const ServiceId &service, std::string_view key);

} // namespace balsamrack

#endif // BALSAMRACK_CORE_IDS_H
