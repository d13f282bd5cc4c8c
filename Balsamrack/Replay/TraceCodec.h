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

/// Fleet key of every replay. A recording holds tokens made with it instead of
/// the fleet's own, so that a trace gives no secret away.
constexpr const char *TraceTokenKey = "trace";

/// A machine of the core begins: an entry's router.
struct RouterOpened {
  EntrySettings Settings; ///< Its TokenKey is not written.
  uint64_t Seed = 0;      ///< As given to EntryRouter::create.
};

/// A machine of the core begins: a service's owner, with default settings.
struct OwnerOpened {
  ServiceId Service; ///< As given to ServiceOwner::create.
  uint64_t Seed = 0; ///< As given to ServiceOwner::create.
};

/// One line of a trace.
struct TraceLine {
  std::string Machine; ///< Name of the machine, such as "entry-3".
  TimePoint At;        ///< Time of the step.
  std::variant<RouterOpened, OwnerOpened, EntryEvent, OwnerEvent>
      Payload; ///< What happened.
};

/// One action of a machine in a replay.
struct ActionLine {
  std::string Machine;                           ///< Which machine.
  TimePoint At;                                  ///< Time of the step.
  std::variant<EntryAction, OwnerAction> Action; ///< What it asked for.
};

/// The line as JSON, without a line break. Thread-safe.
std::string encodeTraceLine(const TraceLine &line);

/// Reads a line of a trace. Error kInvalidArgument (step replay) names the
/// field that can't be read. Thread-safe.
absl::StatusOr<TraceLine> decodeTraceLine(const std::string &text);

/// The action as JSON, without a line break. Thread-safe.
std::string encodeActionLine(const ActionLine &line);

} // namespace balsamrack

#endif // BALSAMRACK_REPLAY_TRACECODEC_H
