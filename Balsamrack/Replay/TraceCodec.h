#ifndef BALSAMRACK_REPLAY_TRACECODEC_H
#define BALSAMRACK_REPLAY_TRACECODEC_H

#include <cstdint>
#include <string>
#include <variant>

#include "Balsamrack/Decisions/OwnerActions.h"
#include "Balsamrack/Decisions/OwnerEvents.h"
#include "Balsamrack/Flows/EntryEvents.h"
#include "Balsamrack/Flows/EntrySettings.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Fleet key of all replays. Recordings contain tokens encoded with it instead
/// of the fleet's own key, so that a trace reveals no secret.
constexpr const char *TraceTokenKey = "trace";

/// Creates a state machine: the router of an entry.
struct RouterOpened {
  EntrySettings Settings; ///< Settings of the router; TokenKey is not written.
  uint64_t Seed = 0;      ///< As given to EntryRouter::create.
};

/// Creates a state machine: the owner of a service, with default settings.
struct OwnerOpened {
  ServiceId Service; ///< As given to ServiceOwner::create.
  uint64_t Seed = 0; ///< As given to ServiceOwner::create.
};

/// One line of a trace.
struct TraceLine {
  std::string Machine; ///< Name of the machine, such as "entry-3".
  TimePoint At;        ///< Time of the step.
  std::variant<RouterOpened, OwnerOpened, EntryEvent, OwnerEvent>
      Payload; ///< Event of the machine, or its creation.
};

/// An action of a state machine in a replay.
struct ActionLine {
  std::string Machine;                           ///< Name of the machine.
  TimePoint At;                                  ///< Time of the step.
  std::variant<EntryAction, OwnerAction> Action; ///< The action.
};

/// Encodes a line as JSON, without a line break. Thread-safe.
std::string encodeTraceLine(const TraceLine &line);

/// Decodes a line of a trace. Returns kInvalidArgument (step replay) with the
/// name of the field that can't be read. Thread-safe.
absl::StatusOr<TraceLine> decodeTraceLine(const std::string &text);

/// Encodes an action as JSON, without a line break. Thread-safe.
std::string encodeActionLine(const ActionLine &line);

} // namespace balsamrack

#endif // BALSAMRACK_REPLAY_TRACECODEC_H
