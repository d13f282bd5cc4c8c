#include "Balsamrack/Core/Ids.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace balsamrack {

uint64_t stableHash(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t combineHash(uint64_t first, uint64_t second) {
  // Finalizer of splitmix64 over a non-commutative sum.
  uint64_t x = first * 0x9E3779B97F4A7C15ULL + second;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

KeyDigest digestKey(const ServiceId &service, std::string_view key) {
  if (key.empty())
    return {};
  XXH128_hash_t h =
      XXH3_128bits_withSeed(key.data(), key.size(), service.hash());
  if (h.high64 == 0 && h.low64 == 0)
    h.low64 = 1;
  return {h.high64, h.low64};
}

} // namespace balsamrack
