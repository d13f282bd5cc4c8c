#include "Balsamrack/Packets/OpeningTokens.h"

#include "Balsamrack/Core/Ids.h"

namespace balsamrack {

namespace {

/// The value 2 was used by earlier versions, whose tokens other daemons follow.
enum class MaskKind : uint8_t { FirstPacket = 1, FurtherTry = 3 };

uint32_t mask(MaskKind kind, const FlowKey &flow, uint32_t number) {
  uint64_t ends = combineHash(combineHash(flow.Caller.Ip, flow.Caller.Port),
                              combineHash(flow.Service.Ip, flow.Service.Port));
  constexpr int NumberBits = 32;
  uint64_t use = static_cast<uint64_t>(kind) << NumberBits | number;
  return static_cast<uint32_t>(combineHash(ends, use));
}

} // namespace

uint32_t firstPacketToken(uint32_t serverToken, const FlowKey &flow,
                          uint32_t sequence) {
  return serverOfFirstPacket(serverToken, flow, sequence + 1);
}

uint32_t serverOfFirstPacket(uint32_t token, const FlowKey &flow,
                             uint32_t sequence) {
  return token ^ mask(MaskKind::FirstPacket, flow, sequence);
}

uint32_t furtherTryToken(uint32_t serverToken, const FlowKey &flow,
                         uint32_t attempt) {
  return serverToken ^ mask(MaskKind::FurtherTry, flow, attempt);
}

} // namespace balsamrack
