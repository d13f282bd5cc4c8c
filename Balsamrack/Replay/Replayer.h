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

/// Runs a trace through the machines of the core. Deterministic; not
/// thread-safe.
class Replayer {
public:
  /// Takes one line of a trace and returns the actions as lines, in order; none
  /// for an empty line or a comment (#). Error kInvalidArgument (step replay)
  /// for a line that can't be read, a machine that was not opened, or a time
  /// that goes back.
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

/// First difference between what a replay did and what was stated.
struct ReplayDifference {
  size_t Line = 0;          ///< In the stated outcomes, from 1.
  std::string ExpectedLine; ///< Empty: the replay did more than was stated.
  std::string ActualLine;   ///< Empty: it did less.
};

/// Compares actions with the lines of an outcomes file; nothing when they are
/// the same, byte for byte. Empty lines and comments (#) are passed over.
/// Thread-safe.
std::optional<ReplayDifference>
compareOutcomes(const std::vector<std::string> &actual,
                const std::vector<std::string> &expected);

} // namespace balsamrack

#endif // BALSAMRACK_REPLAY_REPLAYER_H
