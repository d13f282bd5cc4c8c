#include "Balsamrack/Core/Random.h"

namespace balsamrack {

uint64_t SeededRandom::next() {
  State += 0x9E3779B97F4A7C15ULL;
  uint64_t x = State;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

} // namespace balsamrack
