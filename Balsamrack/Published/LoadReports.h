#ifndef BALSAMRACK_PUBLISHED_LOADREPORTS_H
#define BALSAMRACK_PUBLISHED_LOADREPORTS_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Demand and load of one service in one failure domain, each as the mean of
/// the domain's daemons. See DemandReport.
struct LoadReport {
  uint32_t Service = 0; ///< Low bits of ServiceId::hash().
  uint32_t Domain = 0;  ///< Low bits of DomainId::hash().
  double Rate = 0; ///< Issued requests started per second; zero: not issued.
  double Load = 0; ///< Issued load per slot.
  Duration Age{0}; ///< Time since these were issued.
  double EstimatedRate = 0; ///< The sender's estimate for its own domain; zero
                            ///< for other domains.
  double EstimatedLoad = 0; ///< As EstimatedRate.
};

/// The load reports that a digest carries.
struct LoadReports {
  /// Maximum number of reports in one message: two services in four domains.
  /// They take at most 240 bytes.
  static constexpr size_t MaxReports = 8;

  std::vector<LoadReport> Reports; ///< At most MaxReports.
  bool Invalid = false; ///< Received in a form that could not be read.
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_LOADREPORTS_H
