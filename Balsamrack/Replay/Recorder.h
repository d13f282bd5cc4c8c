#ifndef BALSAMRACK_REPLAY_RECORDER_H
#define BALSAMRACK_REPLAY_RECORDER_H

#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>

#include "Balsamrack/Flows/FlowToken.h"
#include "Balsamrack/Replay/TraceCodec.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Writes the events of the decision state machines to a file for replay. Stops
/// at a byte limit with a comment line. Thread-safe; the events of a machine
/// are written in the order of its steps, since the lock of its shard is held
/// during each call.
class Recorder {
public:
  /// Opens and truncates \p path. Tokens encoded with \p fleetKey are
  /// re-encoded with TraceTokenKey. Returns kNotFound (step record) if the file
  /// can't be opened.
  static absl::StatusOr<std::unique_ptr<Recorder>>
  create(const std::string &path, uint64_t maxBytes,
         const std::string &fleetKey);

  /// Writes one line. Thread-safe.
  void record(TraceLine line);

private:
  Recorder(std::ofstream file, uint64_t maxBytes, const std::string &fleetKey);
  std::string reencodeToken(const std::string &token) const;

  const FlowTokenCodec FleetTokens; ///< Decodes the fleet's tokens.
  const FlowTokenCodec TraceTokens; ///< Encodes the tokens in the trace.
  std::mutex Lock;                  ///< Guards the members below.
  std::ofstream File;
  uint64_t BytesLeft;
};

} // namespace balsamrack

#endif // BALSAMRACK_REPLAY_RECORDER_H
