#ifndef BALSAMRACK_PEERS_LOADREPORTFIELDS_H
#define BALSAMRACK_PEERS_LOADREPORTFIELDS_H

#include <cstdint>
#include <optional>
#include <vector>

#include "Balsamrack/Published/LoadReports.h"

namespace balsamrack {

/// Converts \p reports to a flat list of numbers: for each of the first
/// MaxReports reports the hashes of service and domain, rate, load, age,
/// estimated rate and estimated load. Rates and loads are in thousandths, the
/// age is in milliseconds; each number is bounded to 32 bits. A list takes half
/// of the bytes of a map for each report. Thread-safe.
std::vector<uint32_t> packLoadReports(const LoadReports &reports);

/// Reverses packLoadReports(). Returns nothing if \p numbers is not made of
/// whole reports, or holds more than MaxReports. Thread-safe.
std::optional<LoadReports>
unpackLoadReports(const std::vector<uint32_t> &numbers);

/// The field of a PublishedDigest with its load reports; see PeerFields.h. An
/// invalid field does not make the digest invalid.
template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<LoadReports> m) {
  if constexpr (Ar::Reads) {
    std::vector<uint32_t> numbers;
    bool isValid = ar.optional("d", numbers);
    auto reports = unpackLoadReports(numbers);
    m = reports.value_or(LoadReports());
    m.Invalid = !isValid || !reports;
  } else {
    ar.optional("d", packLoadReports(m));
  }
}

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_LOADREPORTFIELDS_H
