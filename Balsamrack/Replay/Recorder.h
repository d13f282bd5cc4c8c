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

/// Writes the events of the core's machines to a file, for replay. Bounded: it
/// ends at a byte limit, with a comment that says so. Thread-safe; a machine's
/// events are written in the order of its steps, since its shard's lock is held
/// around each call.
class Recorder {
public:
  /// Opens \p path anew. Tokens made with \p fleetKey are written anew with
  /// TraceTokenKey. Error kNotFound (step record) when it can't be opened.
  static absl::StatusOr<std::unique_ptr<Recorder>>
  create(const std::string &path, uint64_t maxBytes,
         const std::string &fleetKey);

  /// Writes one line. Thread-safe.
  void record(TraceLine line);

private:
  Recorder(std::ofstream file, uint64_t maxBytes, const std::string &fleetKey);
  std::string reencodeToken(const std::string &token) const;

  const FlowTokenCodec FleetTokens; ///< Reads the fleet's tokens.
  const FlowTokenCodec TraceTokens; ///< Writes the trace's.
  std::mutex Lock;                  ///< Guards all below.
  std::ofstream File;
  uint64_t BytesLeft;
};

} // namespace balsamrack

#endif // BALSAMRACK_REPLAY_RECORDER_H
