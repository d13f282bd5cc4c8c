#ifndef BALSAMRACK_REPLAY_REPLAYER_H
#define BALSAMRACK_REPLAY_REPLAYER_H

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Balsamrack/Decisions/ServiceOwner.h"
#include "Balsamrack/Flows/EntryRouter.h"
#include "Balsamrack/Replay/TraceCodec.h"

namespace balsamrack {

/// Replays a trace with the decision state machines. Deterministic; not
/// thread-safe.
class Replayer {
public:
  /// Processes one line of a trace and returns the resulting actions as lines,
  /// in order; none for an empty line or a comment (#). Returns
  /// kInvalidArgument (step replay) for a malformed line, an unknown machine or
  /// a decreasing time.
  absl::StatusOr<std::vector<std::string>> processLine(const std::string &line);

private:
  struct Machine {
    TimePoint LastStepTime; ///< Time of the last step.
    std::variant<std::unique_ptr<EntryRouter>, std::unique_ptr<ServiceOwner>>
        Impl;
  };

  absl::Status open(const TraceLine &line);
  absl::StatusOr<std::vector<std::string>> step(Machine &machine,
                                                const TraceLine &line);

  std::map<std::string, Machine> Machines; ///< By name.
};

/// First difference between the actions of a replay and the expected ones.
struct ReplayDifference {
  size_t Line = 0; ///< Line number in the expected outcomes, from 1.
  std::string
      ExpectedLine; ///< Empty if the replay has more actions than expected.
  std::string ActualLine; ///< Empty if the replay has fewer actions.
};

/// Compares actions with the lines of an outcomes file, byte for byte. Returns
/// nothing if they are equal. Empty lines and comments (#) are skipped.
/// Thread-safe.
std::optional<ReplayDifference>
compareOutcomes(const std::vector<std::string> &actual,
                const std::vector<std::string> &expected);

} // namespace balsamrack

#endif // BALSAMRACK_REPLAY_REPLAYER_H
