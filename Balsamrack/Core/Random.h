#ifndef BALSAMRACK_CORE_RANDOM_H
#define BALSAMRACK_CORE_RANDOM_H

#include <cstdint>

namespace balsamrack {

/// Source of random numbers. Passed as a parameter to code that needs one, so
/// that a replay makes the same choices.
class RandomSource {
public:
  virtual ~RandomSource() = default;
  /// Returns the next 64 random bits. Not thread-safe: each shard has its own
  /// source.
  virtual uint64_t next() = 0;
  /// Returns a number in [0, \p bound). Precondition: \p bound > 0. Not
  /// thread-safe.
  uint64_t below(uint64_t bound) { return next() % bound; }
  /// Returns a number in [0, 1). Not thread-safe.
  double nextDouble() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
};

/// splitmix64 (Steele, Lea, Flood 2014): small state, sufficient for jitter and
/// probing order.
class SeededRandom final : public RandomSource {
public:
  explicit SeededRandom(uint64_t seed) : State(seed) {}
  uint64_t next() override;

private:
  uint64_t State; ///< Incremented by a constant on each call.
};

} // namespace balsamrack

#endif // BALSAMRACK_CORE_RANDOM_H
