#ifndef BALSAMRACK_SETTINGS_PACKETSETTINGS_H
#define BALSAMRACK_SETTINGS_PACKETSETTINGS_H

#include <string>
#include <vector>

#include "Balsamrack/Settings/Settings.h"

namespace balsamrack {

/// Settings of a daemon of the packet carrier. Plain data.
struct PacketSettings {
  std::string Name;           ///< For logs; the VM's own name.
  DomainId Domain;            ///< The failure domain that it stands in.
  Address PacketAddress;      ///< Where callers' packets come in.
  Address ReadyAddress;       ///< Where the fabric asks whether to send.
  std::string ReadyPath;      ///< What it asks for.
  Address PeerAddress;        ///< Where other daemons send to; the port is the
                              ///< same on all VMs.
  std::vector<Address> Seeds; ///< Daemons that may be there.
  Address PublishedAddress;   ///< Where operators and servers publish.
  Address MetricsAddress;     ///< Prometheus text; port zero: nowhere.
  Duration ShutdownGrace{6'000'000}; ///< From SIGTERM to SIGKILL.
  uint32_t MaxFlows = 100'000;       ///< Flows remembered.

  /// This daemon as its peers know it: by its address, which is unique in the
  /// fleet at any time. Thread-safe.
  EntryVm self() const;
  /// The seeds as peers, without this daemon. Thread-safe.
  std::vector<EntryVm> seedPeers() const;
};

/// Settings, or every fault that was found.
struct PacketSettingsResult {
  PacketSettings Values;             ///< Meaningful only without faults.
  std::vector<SettingsFault> Faults; ///< Empty when all is well.
};

/// Checks \p text against the schema. Never fails otherwise. Thread-safe.
PacketSettingsResult parsePacketSettings(const std::string &text);

/// The JSON schema of these settings. Thread-safe.
const char *packetSettingsSchema();

} // namespace balsamrack

#endif // BALSAMRACK_SETTINGS_PACKETSETTINGS_H
