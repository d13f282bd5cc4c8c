#ifndef BALSAMRACK_PUBLISHED_PUBLISHEDLIMITS_H
#define BALSAMRACK_PUBLISHED_PUBLISHEDLIMITS_H

#include "Balsamrack/Published/PublishedState.h"

namespace balsamrack {

// Ranges of what others publish. Decisions compute with these values and loop
// over counts, so values out of range must not get past the decoders of the
// publishing service and of peers.

/// Maximum number of slots of a backend server. A server has no more requests
/// in progress than an address has ports for their flows.
constexpr uint32_t MaxPublishedSlots = 65'536;
/// Maximum of published durations; times to which it is added don't overflow.
constexpr Duration MaxPublishedDuration{86'400'000'000};
/// Maximum rate of new flows of a cold server, per second.
constexpr double MaxColdPerSecond = 1e6;
/// Maximum length of names, in bytes. Peers reject messages with longer ones.
constexpr size_t MaxPublishedNameBytes = 1024;

/// Whether all values of \p server are within range. One that is out of range
/// names no server to use. Pure, thread-safe.
bool isWithinLimits(const PublishedServer &server);

/// Whether all names of \p configuration are within range. Pure, thread-safe.
bool isWithinLimits(const OperatorConfiguration &configuration);

/// Clamps the numbers of \p configuration to their ranges. Thread-safe for
/// different arguments.
void clampToLimits(OperatorConfiguration &configuration);

/// Converts \p count units of \p unitMicros microseconds to a duration, clamped
/// to the range from zero to MaxPublishedDuration. Precondition: \p count is
/// not NaN. Pure, thread-safe.
Duration publishedDuration(double count, int64_t unitMicros);

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_PUBLISHEDLIMITS_H
