#ifndef BALSAMRACK_SETTINGS_PACKETSETTINGS_H
#define BALSAMRACK_SETTINGS_PACKETSETTINGS_H

#include <string>
#include <vector>

#include "Balsamrack/Packets/LoadSettings.h"
#include "Balsamrack/Settings/Settings.h"

namespace balsamrack {

/// Settings of a packet daemon. Plain data.
struct PacketSettings {
  std::string Name;      ///< Name of the VM, for logs.
  DomainId Domain;       ///< The VM's failure domain.
  Address PacketAddress; ///< Listen address for callers' packets.
  Address ReadyAddress;  ///< Listen address of the fabric's readiness checks.
  std::string ReadyPath; ///< Path of the readiness checks.
  Address PeerAddress;   ///< Listen address for messages of other daemons; the
                         ///< port is the same on all VMs.
  std::vector<Address> Seeds; ///< Addresses of daemons that may exist.
  Address PublishedAddress;   ///< Address of the publishing service.
  Address MetricsAddress; ///< Listen address for Prometheus metrics; port zero:
                          ///< none.
  Duration ShutdownGrace{6'000'000}; ///< Time from SIGTERM to SIGKILL.
  uint32_t MaxFlows = 100'000;       ///< Capacity of the flow table.
  LoadSettings Load;                 ///< Decisions under load.

  /// This daemon as known to its peers: its id is its address, which is unique
  /// in the fleet at any time. Thread-safe.
  EntryVm self() const;
  /// The seeds as peers, without this daemon. Thread-safe.
  std::vector<EntryVm> seedPeers() const;
};

/// Settings, or all faults found.
struct PacketSettingsResult {
  PacketSettings Values;             ///< Valid only without faults.
  std::vector<SettingsFault> Faults; ///< Empty if the settings are valid.
};

/// Parses \p text and checks it against the schema. All errors are reported as
/// faults. Thread-safe.
PacketSettingsResult parsePacketSettings(const std::string &text);

/// The JSON schema of these settings. Thread-safe.
const char *packetSettingsSchema();

} // namespace balsamrack

#endif // BALSAMRACK_SETTINGS_PACKETSETTINGS_H
