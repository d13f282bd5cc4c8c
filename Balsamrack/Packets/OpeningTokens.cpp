#include "Balsamrack/Packets/OpeningTokens.h"

namespace balsamrack {

namespace {

/// The upper bits of a token hold the tag of a daemon, the lower ones a hash.
constexpr int HashBits = 20;
constexpr uint32_t HashMask = (1U << HashBits) - 1;
constexpr uint32_t TagCount = 1U << (32 - HashBits);

} // namespace

DaemonTag DaemonTag::of(const VmId &vm) {
  return {1 + static_cast<uint32_t>(vm.hash() % (TagCount - 1))};
}

uint32_t openingToken(DaemonTag by, uint32_t salt, const FlowKey &flow,
                      uint64_t server) {
  uint64_t ends = combineHash(combineHash(flow.Caller.Ip, flow.Caller.Port),
                              combineHash(flow.Service.Ip, flow.Service.Port));
  uint64_t hash = combineHash(combineHash(ends, salt), server);
  return by.Value << HashBits | (static_cast<uint32_t>(hash) & HashMask);
}

DaemonTag daemonOfToken(uint32_t token) { return {token >> HashBits}; }

} // namespace balsamrack
