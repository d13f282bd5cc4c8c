#include "Balsamrack/Core/Errors.h"

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr const char *StepUrl = "balsamrack/step";
constexpr const char *PeerUrl = "balsamrack/peer";

std::string payloadOf(const absl::Status &status, const char *url) {
  auto payload = status.GetPayload(url);
  return payload ? std::string(*payload) : std::string();
}

} // namespace

const char *stepName(Step step) {
  switch (step) {
  case Step::ReadSettings:
    return "read-settings";
  case Step::Listen:
    return "listen";
  case Step::DecodeEnvelope:
    return "decode-envelope";
  case Step::Place:
    return "place";
  case Step::ForwardToOwner:
    return "forward-to-owner";
  case Step::Admit:
    return "admit";
  case Step::Dispatch:
    return "dispatch";
  case Step::AwaitResponse:
    return "await-answer";
  case Step::DecodePeerMessage:
    return "decode-peer-message";
  case Step::SendToPeer:
    return "send-to-peer";
  case Step::ReadPlatform:
    return "read-platform";
  case Step::CheckTicket:
    return "check-ticket";
  case Step::Probe:
    return "probe";
  case Step::HandOver:
    return "hand-over";
  case Step::HandleOperatorRequest:
    return "answer-operator";
  case Step::Record:
    return "record";
  case Step::Replay:
    return "replay";
  }
  return "unknown-step";
}

absl::Status makeError(absl::StatusCode code, Step step,
                       const std::string &peer, const std::string &message) {
  return addErrorContext(absl::Status(code, message), step, peer);
}

absl::Status addErrorContext(absl::Status status, Step step,
                             const std::string &peer) {
  if (status.ok() || status.GetPayload(StepUrl))
    return status;
  status.SetPayload(StepUrl, absl::Cord(stepName(step)));
  status.SetPayload(PeerUrl, absl::Cord(peer));
  return status;
}

std::string stepOf(const absl::Status &status) {
  return payloadOf(status, StepUrl);
}

std::string peerOf(const absl::Status &status) {
  return payloadOf(status, PeerUrl);
}

std::string describe(const absl::Status &status) {
  if (status.ok())
    return "ok";
  return absl::StrCat(absl::StatusCodeToString(status.code()), ": ",
                      status.message(), " (step ", stepOf(status), ", peer ",
                      peerOf(status), ")");
}

} // namespace balsamrack
