#include "Balsamrack/Replay/Recorder.h"

#include <utility>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

absl::StatusOr<std::unique_ptr<Recorder>>
Recorder::create(const std::string &path, uint64_t maxBytes,
                 const std::string &fleetKey) {
  std::ofstream file(path, std::ios::trunc);
  if (!file)
    return makeError(absl::StatusCode::kNotFound, Step::Record, path,
                     "cannot open the recording");
  return std::unique_ptr<Recorder>(
      new Recorder(std::move(file), maxBytes, fleetKey));
}

Recorder::Recorder(std::ofstream file, uint64_t maxBytes,
                   const std::string &fleetKey)
    : FleetTokens(fleetKey), TraceTokens(TraceTokenKey), File(std::move(file)),
      BytesLeft(maxBytes) {}

std::string Recorder::reencodeToken(const std::string &token) const {
  if (token.empty())
    return token;
  const auto decoded = FleetTokens.decode(token);
  return decoded ? TraceTokens.encode(*decoded) : "unreadable";
}

void Recorder::record(TraceLine line) {
  if (auto *event = std::get_if<EntryEvent>(&line.Payload))
    if (auto *packet = std::get_if<PacketArrived>(event))
      packet->Token = reencodeToken(packet->Token);
  const std::string text = encodeTraceLine(line);
  std::lock_guard<std::mutex> guard(Lock);
  if (BytesLeft == 0)
    return;
  if (text.size() + 1 > BytesLeft) {
    BytesLeft = 0;
    File << "# the recording's limit is reached" << std::endl;
    return;
  }
  BytesLeft -= text.size() + 1;
  // Flushed after each line, so that the trace of a killed daemon is readable.
  File << text << std::endl;
}

} // namespace balsamrack
