#include "Balsamrack/Peers/PeerCodec.h"

#include <array>
#include <cassert>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Peers/CborValidation.h"
#include "Balsamrack/Peers/PeerFields.h"
#include "nlohmann/json.hpp"

namespace balsamrack {

namespace {

/// Type names by index in the PeerMessage variant.
constexpr std::array<const char *, std::variant_size_v<PeerMessage>> TypeNames =
    {"Hello",
     "Ping",
     "PingRequest",
     "Ack",
     "StateRequest",
     "StateUpdate",
     "OwnershipHandOver",
     "Forward",
     "OutcomeReport",
     "CancelRequest",
     "FlowQuestion",
     "FlowReply",
     "FlowExceptions",
     "KeyClaim",
     "KeyReply",
     "KeySettled",
     "KeysHandedOver",
     "PublishedDigest",
     "PublishedRequest",
     "PublishedUpdate",
     "RelayedPacket"};

absl::Status fault(const std::string &message) {
  return makeError(absl::StatusCode::kInvalidArgument, Step::DecodePeerMessage,
                   "", message);
}

template <size_t I>
PeerMessage readAs(const nlohmann::json &map, std::string &error) {
  std::variant_alternative_t<I, PeerMessage> message;
  FieldReader reader(map, error);
  fields(reader, message);
  return message;
}

using Reader = PeerMessage (*)(const nlohmann::json &, std::string &);

template <size_t... I>
constexpr std::array<Reader, sizeof...(I)>
readerTable(std::index_sequence<I...> /*types*/) {
  return {&readAs<I>...};
}

constexpr auto Readers =
    readerTable(std::make_index_sequence<TypeNames.size()>());

size_t typeIndex(const std::string &name) {
  size_t i = 0;
  while (i < TypeNames.size() && name != TypeNames[i])
    ++i;
  return i;
}

bool isVersion(const nlohmann::json &root) {
  auto v = root.find("v");
  return v != root.end() && v->is_number_unsigned() &&
         v->get<uint64_t>() == PeerProtocolVersion;
}

} // namespace

const char *peerMessageName(const PeerMessage &message) {
  return peerMessageName(message.index());
}

const char *peerMessageName(size_t index) {
  assert(index < TypeNames.size());
  return TypeNames[index];
}

bool isDataMessage(const PeerMessage &message) {
  return std::holds_alternative<Forward>(message) ||
         std::holds_alternative<OutcomeReport>(message) ||
         std::holds_alternative<CancelRequest>(message);
}

std::string encodePeerMessage(const PeerMessage &message) {
  nlohmann::json body = nlohmann::json::object();
  FieldWriter writer(body);
  std::visit([&writer](const auto &m) { fields(writer, m); }, message);
  nlohmann::json root = nlohmann::json::object();
  root["v"] = PeerProtocolVersion;
  root["t"] = peerMessageName(message);
  root["m"] = std::move(body);
  std::string frame;
  nlohmann::json::to_cbor(root, frame);
  return frame;
}

absl::StatusOr<PeerMessage> decodePeerMessage(const std::string &frame) {
  absl::Status shape = validateCbor(frame, CborLimits{MaxPeerFrameBytes});
  if (!shape.ok())
    return addErrorContext(std::move(shape), Step::DecodePeerMessage, "");
  nlohmann::json root = nlohmann::json::from_cbor(frame, true, false);
  if (!root.is_object())
    return fault("not a CBOR map");
  if (!isVersion(root))
    return fault("unknown version");
  auto type = root.find("t");
  auto body = root.find("m");
  if (type == root.end() || !type->is_string() || body == root.end())
    return fault("type or content is missing");
  size_t index = typeIndex(type->get_ref<const std::string &>());
  if (index == TypeNames.size())
    return fault("unknown message type");
  std::string error;
  PeerMessage message = Readers[index](*body, error);
  if (!error.empty())
    return fault(std::string(TypeNames[index]) + ": " + error);
  return message;
}

} // namespace balsamrack
