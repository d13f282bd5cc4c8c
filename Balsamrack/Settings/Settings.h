#ifndef BALSAMRACK_SETTINGS_SETTINGS_H
#define BALSAMRACK_SETTINGS_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Flows/EntrySettings.h"
#include "Balsamrack/Membership/MembershipSettings.h"
#include "Balsamrack/World/World.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// How callers connect.
struct CallerSettings {
  std::string Ip = "127.0.0.1";       ///< The entry VM's address.
  uint16_t PortOffset = 0;            ///< Added to the port of each service.
  uint32_t MaxBodyBytes = 1 << 20;    ///< Larger bodies are refused.
  uint32_t MaxHeaderBytes = 16 << 10; ///< Larger headers are refused.
  uint32_t MaxInProgress = 2000; ///< Maximum number of concurrent requests.
};

/// Connections between daemons.
struct PeerSettings {
  Address Listen;       ///< Listen address for peers.
  std::string FleetKey; ///< Shared by all daemons of the fleet.
  std::vector<std::string>
      Allowed; ///< Allowed addresses: IPv4 addresses or a.b.c.d/bits.
  std::vector<EntryVm> Seeds; ///< Peers to contact before the platform answers.
};

/// Access of operators.
struct OperatorSettings {
  Address Listen; ///< Listen address for operators.
  std::vector<std::string>
      Allowed; ///< Allowed addresses: IPv4 addresses or a.b.c.d/bits.
};

/// Reading from the platform.
struct PlatformSettings {
  Address At;                      ///< Address of the configuration service.
  Duration Watch{20'000'000};      ///< Timeout of one watch request.
  Duration MinBackoff{200'000};    ///< Delay after a first failure.
  Duration MaxBackoff{10'000'000}; ///< Maximum delay after repeated failures.
};

/// Retention of idempotency keys.
struct KeySettings {
  Duration Memory{600'000'000}; ///< Retention time of a key.
  uint32_t KeyReplicas = 2;     ///< Number of daemons that remember each key.
  uint32_t MaxKeys = 400'000;   ///< Maximum number of keys held by this daemon.
  bool AssumeNoEarlierKeysAtStart =
      false; ///< Set to true only on a first installation.
  UnreachableReplicaPolicy OnUnreachableReplica =
      UnreachableReplicaPolicy::Refuse; ///< See UnreachableReplicaPolicy.
};

/// Logs, traces and recordings.
struct ObservabilitySettings {
  std::string LogLevel = "info";      ///< debug, info, warning or error.
  std::string LogFormat = "text";     ///< text or json.
  std::string LogFile;                ///< Empty: standard error.
  std::string TraceFile;              ///< OTLP/JSON lines; empty: memory only.
  std::string RecordFile;             ///< Events for replay; empty: none.
  uint64_t RecordMaxBytes = 64 << 20; ///< Recording stops at this size.
  uint32_t JournalDecisions = 20'000; ///< Decisions kept in memory.
};

/// All settings of one daemon. Plain data, separate from the objects created
/// from it.
struct Settings {
  VmId Vm;                     ///< Name of this entry VM.
  DomainId Domain;             ///< The VM's failure domain.
  CallerSettings Callers;      ///< Connections of callers.
  PeerSettings Peers;          ///< Connections between daemons.
  OperatorSettings Operators;  ///< Access of operators.
  PlatformSettings Platform;   ///< The platform.
  KeySettings Keys;            ///< Idempotency keys.
  MembershipSettings Timing;   ///< Membership, ownership and its fence.
  uint32_t ServerThreads = 64; ///< Maximum number of concurrent dispatches.
  Duration ServerConnectTimeout{
      500'000}; ///< Timeout of a connect to a backend server.
  Duration HealthPeriod{1'000'000};    ///< Interval of health checks.
  uint32_t MaxFlows = 400'000;         ///< Capacity of the flow table.
  ObservabilitySettings Observability; ///< Logs, traces and recordings.
  Duration ShutdownLimit{
      10'000'000}; ///< Maximum duration of a graceful shutdown.

  /// The entry VM that these settings describe. Thread-safe.
  EntryVm self() const { return EntryVm{Vm, Domain, Peers.Listen, false}; }
};

/// One fault of a settings file.
struct SettingsFault {
  std::string Pointer; ///< JSON pointer of the field.
  std::string Found;   ///< Value found.
  std::string Allowed; ///< Values allowed.

  /// The fault as one line. Thread-safe.
  std::string str() const;
};

/// Settings, or all faults found.
struct SettingsResult {
  Settings Values;                   ///< Valid only without faults.
  std::vector<SettingsFault> Faults; ///< Empty if the settings are valid.
};

/// Parses \p text and checks it against the schema and the rules between
/// fields. All errors are reported as faults. Thread-safe.
SettingsResult parseSettings(const std::string &text);

/// Reads the file at \p path as text. Error kNotFound (step read-settings).
/// Thread-safe.
absl::StatusOr<std::string> readSettingsText(const std::string &path);

/// Reads and checks the file at \p path. Error kNotFound (step read-settings)
/// if it can't be read; all other errors are faults in the result. Thread-safe.
absl::StatusOr<SettingsResult> readSettings(const std::string &path);

/// The JSON schema of the settings, for editors and documentation. Thread-safe.
const char *settingsSchema();

} // namespace balsamrack

#endif // BALSAMRACK_SETTINGS_SETTINGS_H
