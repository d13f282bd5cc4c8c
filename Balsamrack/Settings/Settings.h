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

/// Where callers' packets come in.
struct CallerSettings {
  std::string Ip = "127.0.0.1";       ///< The entry VM's address.
  uint16_t PortOffset = 0;            ///< Added to each service port.
  uint32_t MaxBodyBytes = 1 << 20;    ///< Larger messages are refused.
  uint32_t MaxHeaderBytes = 16 << 10; ///< Larger envelopes are refused.
  uint32_t MaxInProgress = 2000;      ///< Requests held at the same time.
};

/// How the daemon meets its peers.
struct PeerSettings {
  Address Listen;                   ///< Where peers connect to.
  std::string FleetKey;             ///< Shared by all daemons of the fleet.
  std::vector<std::string> Allowed; ///< Addresses or a.b.c.d/bits let in.
  std::vector<EntryVm> Seeds;       ///< Known before the platform answers.
};

/// How operators are let in.
struct OperatorSettings {
  Address Listen;                   ///< Where operators connect to.
  std::vector<std::string> Allowed; ///< Addresses or a.b.c.d/bits let in.
};

/// How the platform is read.
struct PlatformSettings {
  Address At;                      ///< The configuration service.
  Duration Watch{20'000'000};      ///< How long one watch waits.
  Duration MinBackoff{200'000};    ///< After a first failure.
  Duration MaxBackoff{10'000'000}; ///< After many.
};

/// How idempotency keys are remembered.
struct KeySettings {
  Duration Memory{600'000'000}; ///< How long a key is remembered.
  uint32_t KeyReplicas = 2;     ///< Daemons that remember each key.
  uint32_t MaxKeys = 400'000;   ///< Bound of keys held by this daemon.
  bool AssumeNoEarlierKeysAtStart = false; ///< True on a first install only.
  UnreachableReplicaPolicy OnUnreachableReplica =
      UnreachableReplicaPolicy::Refuse; ///< See UnreachableReplicaPolicy.
};

/// How the daemon tells what it does.
struct ObservabilitySettings {
  std::string LogLevel = "info";      ///< debug, info, warning or error.
  std::string LogFormat = "text";     ///< text or json.
  std::string LogFile;                ///< Empty: standard error.
  std::string TraceFile;              ///< OTLP/JSON lines; empty: memory only.
  std::string RecordFile;             ///< Events for replay; empty: none.
  uint64_t RecordMaxBytes = 64 << 20; ///< Recording ends there.
  uint32_t JournalDecisions = 20'000; ///< Decisions kept in memory.
};

/// All settings of one daemon. Plain data: apart from what it creates.
struct Settings {
  VmId Vm;                     ///< Name of this entry VM.
  DomainId Domain;             ///< The failure domain that it stands in.
  CallerSettings Callers;      ///< Callers' side.
  PeerSettings Peers;          ///< Between daemons.
  OperatorSettings Operators;  ///< Operators' side.
  PlatformSettings Platform;   ///< The platform.
  KeySettings Keys;            ///< Idempotency keys.
  MembershipSettings Timing;   ///< Membership, ownership and its fence.
  uint32_t ServerThreads = 64; ///< Dispatches at the same time.
  Duration ServerConnectTimeout{500'000}; ///< To a backend server.
  Duration HealthPeriod{1'000'000};       ///< Between health questions.
  uint32_t MaxFlows = 400'000;            ///< Flows remembered.
  ObservabilitySettings Observability;    ///< Logs, traces, records.
  Duration ShutdownLimit{10'000'000};     ///< A graceful shutdown's bound.

  /// The entry VM that these settings describe. Thread-safe.
  EntryVm self() const { return EntryVm{Vm, Domain, Peers.Listen, false}; }
};

/// One fault of a settings file.
struct SettingsFault {
  std::string Pointer; ///< JSON pointer of the field.
  std::string Found;   ///< What stands there.
  std::string Allowed; ///< What may stand there.

  /// The fault as one line. Thread-safe.
  std::string str() const;
};

/// Settings, or every fault that was found.
struct SettingsResult {
  Settings Values;                   ///< Meaningful only without faults.
  std::vector<SettingsFault> Faults; ///< Empty when all is well.
};

/// Checks \p text against the schema and the rules between fields. Never
/// fails otherwise. Thread-safe.
SettingsResult parseSettings(const std::string &text);

/// Reads the file at \p path as text. Error kNotFound (step read-settings).
/// Thread-safe.
absl::StatusOr<std::string> readSettingsText(const std::string &path);

/// Reads and checks the file at \p path. Error kNotFound (step read-settings)
/// when it can't be read; faults are in the result. Thread-safe.
absl::StatusOr<SettingsResult> readSettings(const std::string &path);

/// The JSON schema of the settings, for editors and the docs. Thread-safe.
const char *settingsSchema();

} // namespace balsamrack

#endif // BALSAMRACK_SETTINGS_SETTINGS_H
