#ifndef BALSAMRACK_PACKETS_LOADSETTINGS_H
#define BALSAMRACK_PACKETS_LOADSETTINGS_H

namespace balsamrack {

/// Optional decisions under load. Each is off unless the settings turn it on,
/// and then acts only where the published configuration has its inputs.
struct LoadSettings {
  /// New flows wait here, by priority, or are refused when there is not enough
  /// room at the servers.
  bool Admission = false;
  /// Placement uses the measured speed of each server.
  bool Speeds = false;
  /// Slot shares follow the measured demand of each failure domain.
  bool DomainDemand = false;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_LOADSETTINGS_H
